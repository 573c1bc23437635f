#include "tests/soak/fleet.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <utility>

#include "platform/config_document.h"
#include "platform/header_names.h"
#include "src/base/http_status.h"

namespace dewcrank::soak {

struct Fleet::Service {
    const char* name;
    Duration work;
    std::uint32_t slots;
    bool calls_inner;
};

namespace {

using Json = nlohmann::json;

const std::string kLoopback = "127.0.0.1";
constexpr std::uint16_t kFirstPort = 7101;
constexpr const char* kReadinessPath = "/dewcrank/readiness";
constexpr const char* kHost = "fleet.example";
constexpr const char* kInnerHost = "inner.example";
constexpr const char* kInnerRoute = "/inner/";
constexpr Duration kLookInterval = 1s;
/// From the end of an instance by one of its runs to its next start.
constexpr Duration kInstanceRestart = 1500ms;
constexpr Duration kReadinessTimeout = 900ms;
constexpr const char* kZones[] = {"north", "east", "south"};
/// Routes that come with a new table and stay.
constexpr std::uint64_t kMostExtraRoutes = 20;

/// Who may call. The rotating one gets another key with every second table, and loses the one before.
struct SoakTenant {
    const char* name;
    double rate;     ///< And burst; 0: no limit.
    double share;    ///< Of the callers.
    bool is_beyond;  ///< Its callers ask for more than its limit.
};
constexpr SoakTenant kTenants[] = {{"large", 200, 0.5, false}, {"hot", 3, 0.25, true}, {"rotating", 0, 0.22, false}};
constexpr const char* kRotating = "rotating";
constexpr std::uint64_t kTablesAKey = 2;
/// A key that no table holds is shown by what is left of the callers.
constexpr const char* kUnknownKey = "key-of-nobody";
constexpr double kRevokedShare = 0.3;
/// In a window of 5 s: the limit, a tenth and 20 beyond it.
constexpr double kQuotaWindow = 5;
constexpr double kQuotaOverage = 1.1;
constexpr double kQuotaSlack = 20;

std::string keyOf(const std::string& tenant, std::uint64_t table_version) {
    const auto number = tenant == kRotating ? table_version / kTablesAKey : 0;
    return "key-of-" + tenant + "-" + std::to_string(number);
}

/// Two that callers ask, which both call a third.
constexpr Fleet::Service kServices[] = {
    {"browse", 40ms, 20, true}, {"desk", 60ms, 20, true}, {"leaf", 20ms, 12, false}};

/// Each node has an address of its own on loopback, which no outgoing connection takes a port of: such
/// connections come from 127.0.0.1. The process's id keeps soaks that run side by side apart.
std::string ipOf(std::size_t number) {
    constexpr int first = 16;
    constexpr int spread = 200;
    const int process = getpid();
    return "127." + std::to_string(first + process % spread) + "." + std::to_string(process / spread % spread) + "." +
           std::to_string(number + 1);
}

Json routeOf(const char* host, const std::string& path, const std::string& service, bool is_repeatable, int priority) {
    return {{"Host", host},       {"PathPrefix", path},      {"Kind", is_repeatable ? "safe" : "unsafe"},
            {"TimeoutMs", 1500},  {"TargetLatencyMs", 1000}, {"Priority", priority},
            {"Service", service}, {"MaxAttempts", 2},        {"Anonymous", host == std::string(kInnerHost)}};
}

}  // namespace

Fleet::Fleet(adapters::EventLoop& loop, std::string directory, std::uint64_t seed, std::size_t copies)
    : loop_(loop),
      directory_(std::move(directory)),
      copies_(copies),
      random_(seed),
      key_random_(seed + 1),
      seen_(loop, platform::headerNames()),
      client_(loop, adapters::HttpLimits{}),
      store_(loop, random_) {}

// Preparation ------------------------------------------------------------------

Result<void> Fleet::prepare() {
    BOOST_LEAF_ASSIGN(store_address_, store_.listen({kLoopback, 0}));
    for (std::size_t copy = 0; copy < copies_; ++copy) {
        for (const auto& service : kServices) {
            for (const auto* zone : kZones) {
                BOOST_LEAF_CHECK(addNode(service, zone, copy));
            }
        }
    }
    putTable();
    std::ofstream list(directory_ + "/nodes.new");
    for (const auto& node : nodes_) {
        list << node->name << '\n';
    }
    list.close();
    std::filesystem::rename(directory_ + "/nodes.new", directory_ + "/nodes");
    look();
    return {};
}

Result<void> Fleet::addNode(const Service& service, const std::string& zone, std::size_t copy) {
    auto node = std::make_unique<FleetNode>();
    node->name = std::string(service.name) + "-" + zone + (copy == 0 ? "" : "-" + std::to_string(copy));
    node->zone = zone;
    node->instance_options.service = service.name;
    node->instance_options.zone = zone;
    node->instance_options.slots = service.slots;
    node->instance_options.work = service.work;
    node->instance_options.inner_host = service.calls_inner ? kInnerHost : "";
    node->instance_options.inner_path = kInnerRoute;
    nodes_.push_back(std::move(node));
    return prepareNode(nodes_.size() - 1);
}

Result<void> Fleet::prepareNode(std::size_t number) {
    auto& node = *nodes_[number];
    auto port = kFirstPort;
    for (auto* address : {&node.callers, &node.nodes, &node.heartbeats, &node.readiness, &node.instance_address}) {
        *address = {ipOf(number), port++};
    }
    node.to_node = std::make_unique<FaultProxy>(loop_, node.nodes);
    node.to_instance = std::make_unique<FaultProxy>(loop_, node.instance_address);
    node.to_store = std::make_unique<FaultProxy>(loop_, store_address_);
    node.instance =
        std::make_unique<standins::Instance>(loop_, random_, "i" + std::to_string(number), node.heartbeats.text(),
                                             node.callers.text(), platform::headerNames(), seen_);
    node.instance->onCrash([this, number] {
        nodes_[number]->restart = loop_.startTimer(kInstanceRestart, [this, number] {
            if (!nodes_[number]->instance->isUp()) {
                startInstance(number);
            }
        });
    });
    BOOST_LEAF_AUTO(told, node.to_node->listen({kLoopback, 0}));
    BOOST_LEAF_AUTO(instance, node.to_instance->listen({kLoopback, 0}));
    BOOST_LEAF_AUTO(store, node.to_store->listen({kLoopback, 0}));
    node.told_address = told.text();
    node.instance_link = instance.text();
    node.store_link = store.text();
    writeSettings(number, node.name);
    startInstance(number);
    return {};
}

/// @param name that the node goes by from its next start on.
void Fleet::writeSettings(std::size_t number, const std::string& name) {
    const auto& node = *nodes_[number];
    std::ofstream settings(directory_ + "/" + node.name + ".toml");
    settings << "name = \"" << name << "\"\nzone = \"" << node.zone << "\"\nservice = \""
             << node.instance_options.service << "\"\n[listen]\ncallers = \"" << node.callers.text() << "\"\nnodes = \""
             << node.nodes.text() << "\"\nnodes_advertised = \"" << node.told_address << "\"\nheartbeats = \""
             << node.heartbeats.text() << "\"\nreadiness = \"" << node.readiness.text()
             << "\"\n[instance]\naddress = \"" << node.instance_link << "\"\nheartbeat_ms = 1000\n[store]\naddress = \""
             << node.store_link << "\"\n[retries]\nratio = " << kRepeats.ratio << "\nslack = " << kRepeats.slack
             << "\nwindow_s = " << kRepeats.window / 1s << "\n[keys]\nrevocation_ms = 5000\n";
}

bool Fleet::allTakeCallers() const {
    return std::all_of(nodes_.begin(), nodes_.end(), [](const auto& node) { return node->readiness_misses == 0; });
}

// Nodes and instances ------------------------------------------------------------

void Fleet::startInstance(std::size_t number) {
    auto& node = *nodes_[number];
    const bool is_started =
        runOrReport([&] { return node.instance->start(node.instance_address, node.instance_options); },
                    [](const StepError& error) { std::fprintf(stderr, "%s\n", error.text().c_str()); });
    if (is_started) {
        seen_.node_of_instance[node.instance->id()] = number;
    }
}

void Fleet::signal(std::size_t number, int signal_number, bool ends) {
    std::ifstream file(directory_ + "/" + nodes_[number]->name + ".pid");
    int process = 0;
    if (!(file >> process) || process <= 1 || ended_.contains(process)) {
        return;
    }
    if (ends) {
        ended_.insert(process);
    }
    ::kill(process, signal_number);
}

void Fleet::hold(std::size_t number, bool is_held) {
    const auto file = directory_ + "/" + nodes_[number]->name + ".held";
    if (is_held) {
        std::ofstream(file) << "held\n";
    } else {
        std::filesystem::remove(file);
    }
}

void Fleet::look() {
    look_timer_ = loop_.startTimer(kLookInterval, [this] { look(); });
    for (std::size_t number = 0; number < nodes_.size(); ++number) {
        askReadiness(number);
        readExits(*nodes_[number]);
    }
}

void Fleet::askReadiness(std::size_t number) {
    auto& node = *nodes_[number];
    HttpRequest request;
    request.method = "GET";
    request.path = kReadinessPath;
    node.readiness_probe = client_.send(
        node.readiness.text(), std::move(request), kReadinessTimeout, [&node](const AttemptResult& result) {
            const bool is_ready = result.outcome == AttemptOutcome::kResponded && result.response.status == kHttpOk;
            node.readiness_misses = is_ready ? 0 : node.readiness_misses + 1;
        });
}

/// An end that this soak has not brought about is one of the node's own.
void Fleet::readExits(FleetNode& node) {
    std::ifstream file(directory_ + "/" + node.name + ".exits");
    int process = 0;
    int code = 0;
    std::size_t line = 0;
    while (file >> process >> code) {
        if (line++ < node.exits_read) {
            continue;
        }
        ++node.exits_read;
        if (!ended_.contains(process)) {
            seen_.onUnexpectedExit(node.name + " ended with " + std::to_string(code));
        }
    }
}

// The table ----------------------------------------------------------------------

/// One route swings between two services with each version, and some versions add a route.
std::uint64_t Fleet::putTable() {
    ++table_version_;
    const std::string swing = table_version_ % 2 == 0 ? "browse" : "desk";
    std::map<std::string, std::string> services = {{"/work/", "browse"}, {"/sign/", "desk"}, {"/swing/", swing}};
    for (std::uint64_t extra = 1; extra <= std::min(table_version_ / 2, kMostExtraRoutes); ++extra) {
        services["/extra-" + std::to_string(extra) + "/"] = "browse";
    }
    Json routes = {{"inner", routeOf(kInnerHost, kInnerRoute, "leaf", true, 1)}};
    caller_routes_.clear();
    for (const auto& [path, service] : services) {
        routes["r" + path.substr(1, path.size() - 2)] =
            routeOf(kHost, path, service, path != "/sign/", path == "/sign/" ? 0 : 2);
        caller_routes_.push_back(path);
    }
    Json table_services;
    for (const auto& service : kServices) {
        table_services[service.name] = {{"HealthPath", "/health"}, {"MaxConnections", 200}};
    }
    Json tenants;
    std::map<std::string, std::string> tenants_by_key;
    for (const auto& tenant : kTenants) {
        const auto key = keyOf(tenant.name, table_version_);
        tenants[tenant.name] = {{"ApiKeys", {key}}, {"RatePerS", tenant.rate}, {"Burst", tenant.rate}};
        tenants_by_key[key] = tenant.name;
    }
    char version[16];
    std::snprintf(version, sizeof version, "%08llx", static_cast<unsigned long long>(table_version_));
    store_.put(platform::kConfigKind, platform::kConfigName,
               {{"Version", version},
                {"Routes", routes},
                {"Services", table_services},
                {"Tenants", tenants},
                {"Limits",
                 {{"MaxHeaderBytes", 16384},
                  {"MaxBodyBytes", 1048576},
                  {"HeaderTimeoutMs", 3000},
                  {"IdleTimeoutMs", 15000}}}});
    seen_.onTable(table_version_, std::move(services), std::move(tenants_by_key));
    return table_version_;
}

std::string Fleet::pickKey() {
    double left = key_random_.unit();
    for (const auto& tenant : kTenants) {
        left -= tenant.share;
        if (left < 0) {
            const bool is_former = key_random_.unit() < kRevokedShare;
            return keyOf(tenant.name, is_former ? key_random_.below(table_version_ + 1) : table_version_);
        }
    }
    return kUnknownKey;
}

bool Fleet::isOwed(const std::string& key) const {
    return std::any_of(std::begin(kTenants), std::end(kTenants), [&](const SoakTenant& tenant) {
        return !tenant.is_beyond && keyOf(tenant.name, table_version_) == key;
    });
}

std::map<std::string, double> Fleet::mostRuns() {
    std::map<std::string, double> most;
    for (const auto& tenant : kTenants) {
        if (tenant.rate > 0) {
            most[tenant.name] = (tenant.rate * kQuotaWindow + tenant.rate) * kQuotaOverage + kQuotaSlack;
        }
    }
    return most;
}

}  // namespace dewcrank::soak
