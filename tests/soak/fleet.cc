#include "tests/soak/fleet.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <span>
#include <utility>

#include "platform/config_document.h"
#include "platform/header_names.h"
#include "src/base/http_status.h"

namespace dewcrank::soak {

struct Fleet::Service {
    const char* name;
    Duration work;
    std::uint32_t slots;
    bool calls_internal;
};

namespace {

using Json = nlohmann::json;

const std::string kLoopback = "127.0.0.1";
constexpr std::uint16_t kFirstPort = 7101;
constexpr const char* kReadinessPath = "/dewcrank/readiness";
constexpr const char* kHost = "fleet.example";
constexpr const char* kInternalHost = "inner.example";
constexpr const char* kInternalRoute = "/inner/";
constexpr std::int64_t kRouteTimeoutMs = 1500;
/// Timeout of the routes of timed work in every second table.
constexpr std::int64_t kShortRouteTimeoutMs = 1300;
/// Keeps the load of timed work near the limit of slots.
constexpr std::uint32_t kTimedSlots = 8;
constexpr Duration kPollInterval = 1s;
/// Delay before an instance restarts after a crashing request.
constexpr Duration kInstanceRestart = 1500ms;
constexpr Duration kReadinessTimeout = 900ms;
constexpr const char* kZones[] = {"north", "east", "south"};
/// Routes that tables add over time; they are not removed again.
constexpr std::uint64_t kMaxExtraRoutes = 20;

/// A tenant of the table. The rotating tenant's key is replaced with every second table.
struct SoakTenant {
    const char* name;
    double rate;         ///< Quota in requests per second, also the burst; 0: unlimited.
    double share;        ///< Fraction of all requests.
    bool exceeds_limit;  ///< Its requests exceed the quota.
};
constexpr SoakTenant kTenants[] = {{"large", 200, 0.5, false}, {"hot", 3, 0.25, true}, {"rotating", 0, 0.22, false}};
constexpr const char* kRotating = "rotating";
constexpr std::uint64_t kTablesPerKey = 2;
/// Key of no tenant, for the requests outside the tenants' shares.
constexpr const char* kUnknownKey = "key-of-nobody";
constexpr double kRevokedShare = 0.3;
/// Window of the quota check in seconds, and the tolerance over the quota.
constexpr double kQuotaWindow = 5;
constexpr double kQuotaOverage = 1.1;
constexpr double kQuotaSlack = 20;

std::string keyOf(const std::string& tenant, std::uint64_t table_version) {
    const auto number = tenant == kRotating ? table_version / kTablesPerKey : 0;
    return "key-of-" + tenant + "-" + std::to_string(number);
}

/// Two services for callers, both of which call the third.
constexpr Fleet::Service kServices[] = {
    {"browse", 40ms, 20, true}, {"desk", 60ms, 20, true}, {"leaf", 20ms, 12, false}};

/// A loopback address per node: outgoing connections use ports of 127.0.0.1 and cannot occupy the node's ports.
/// The process id keeps concurrent soaks apart.
std::string ipOf(std::size_t number) {
    constexpr int first = 16;
    constexpr int spread = 200;
    const int process = getpid();
    return "127." + std::to_string(first + process % spread) + "." + std::to_string(process / spread % spread) + "." +
           std::to_string(number + 1);
}

Json routeOf(const char* host, const std::string& path, const std::string& service, bool is_idempotent, int priority) {
    return {{"Host", host},
            {"PathPrefix", path},
            {"Kind", is_idempotent ? "safe" : "unsafe"},
            {"TimeoutMs", kRouteTimeoutMs},
            {"TargetLatencyMs", 1000},
            {"Priority", priority},
            {"Service", service},
            {"MaxAttempts", 2},
            {"Anonymous", host == std::string(kInternalHost)}};
}

/// The service of each route of timed work.
constexpr std::pair<const char*, const char*> kTimedServices[] = {
    {kTimedRoute, "desk"}, {kTimedChainRoute, "browse"}, {kTimedSecondRoute, "leaf"}, {kTimedThirdRoute, "desk"}};

bool isCalledByInstances(const std::string& path) {
    return path == kTimedSecondRoute || path == kTimedThirdRoute;
}

Json timedRouteOf(const std::string& path, const std::string& service, std::int64_t timeout_ms) {
    auto route = routeOf(isCalledByInstances(path) ? standins::kChainedHost : kHost, path, service, false, 1);
    route["TimeoutMs"] = timeout_ms;
    route["Anonymous"] = true;
    return route;
}

}  // namespace

Fleet::Fleet(adapters::EventLoop& loop, std::string directory, std::uint64_t seed, std::size_t copies, bool has_tenants,
             bool has_timed_work)
    : loop_(loop),
      directory_(std::move(directory)),
      copies_(copies),
      has_tenants_(has_tenants),
      has_timed_work_(has_timed_work),
      random_(seed),
      key_random_(seed + 1),
      observations_(loop, platform::headerNames()),
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
    poll();
    return {};
}

Result<void> Fleet::addNode(const Service& service, const std::string& zone, std::size_t copy) {
    auto node = std::make_unique<FleetNode>();
    node->name = std::string(service.name) + "-" + zone + (copy == 0 ? "" : "-" + std::to_string(copy));
    node->zone = zone;
    node->instance_options.service = service.name;
    node->instance_options.zone = zone;
    node->instance_options.slots = has_timed_work_ ? kTimedSlots : service.slots;
    node->instance_options.chained_path = service.calls_internal ? kTimedSecondRoute : kTimedThirdRoute;
    node->instance_options.work = service.work;
    node->instance_options.internal_host = service.calls_internal ? kInternalHost : "";
    node->instance_options.internal_path = kInternalRoute;
    nodes_.push_back(std::move(node));
    return prepareNode(nodes_.size() - 1);
}

Result<void> Fleet::prepareNode(std::size_t number) {
    auto& node = *nodes_[number];
    auto port = kFirstPort;
    for (auto* address : {&node.callers, &node.nodes, &node.heartbeats, &node.readiness, &node.instance_address}) {
        *address = {ipOf(number), port++};
    }
    node.node_proxy = std::make_unique<FaultProxy>(loop_, node.nodes);
    node.instance_proxy = std::make_unique<FaultProxy>(loop_, node.instance_address);
    node.store_proxy = std::make_unique<FaultProxy>(loop_, store_address_);
    node.instance =
        std::make_unique<standins::Instance>(loop_, random_, "i" + std::to_string(number), node.heartbeats.text(),
                                             node.callers.text(), platform::headerNames(), observations_);
    node.instance->onCrash([this, number] {
        nodes_[number]->restart = loop_.startTimer(kInstanceRestart, [this, number] {
            if (!nodes_[number]->instance->isUp()) {
                startInstance(number);
            }
        });
    });
    BOOST_LEAF_AUTO(advertised, node.node_proxy->listen({kLoopback, 0}));
    BOOST_LEAF_AUTO(instance, node.instance_proxy->listen({kLoopback, 0}));
    BOOST_LEAF_AUTO(store, node.store_proxy->listen({kLoopback, 0}));
    node.advertised_address = advertised.text();
    node.instance_link = instance.text();
    node.store_link = store.text();
    writeSettings(number, node.name);
    startInstance(number);
    return {};
}

void Fleet::writeSettings(std::size_t number, const std::string& name) {
    const auto& node = *nodes_[number];
    std::ofstream settings(directory_ + "/" + node.name + ".toml");
    settings << "name = \"" << name << "\"\nzone = \"" << node.zone << "\"\nservice = \""
             << node.instance_options.service << "\"\n[listen]\ncallers = \"" << node.callers.text() << "\"\nnodes = \""
             << node.nodes.text() << "\"\nnodes_advertised = \"" << node.advertised_address << "\"\nheartbeats = \""
             << node.heartbeats.text() << "\"\nreadiness = \"" << node.readiness.text()
             << "\"\n[instance]\naddress = \"" << node.instance_link << "\"\nheartbeat_ms = 1000\n[store]\naddress = \""
             << node.store_link << "\"\n[retries]\nratio = " << kRetryLimit.ratio << "\nslack = " << kRetryLimit.slack
             << "\nwindow_s = " << kRetryLimit.window / 1s << "\n[keys]\nrevocation_ms = 5000\n";
}

bool Fleet::allReady() const {
    return std::all_of(nodes_.begin(), nodes_.end(), [](const auto& node) { return node->readiness_misses == 0; });
}

// Nodes and instances ------------------------------------------------------------

void Fleet::startInstance(std::size_t number) {
    auto& node = *nodes_[number];
    const bool is_started =
        runOrReport([&] { return node.instance->start(node.instance_address, node.instance_options); },
                    [](const StepError& error) { std::fprintf(stderr, "%s\n", error.text().c_str()); });
    if (is_started) {
        observations_.node_by_instance[node.instance->id()] = number;
    }
}

void Fleet::signal(std::size_t number, int signal_number, bool expects_exit) {
    std::ifstream file(directory_ + "/" + nodes_[number]->name + ".pid");
    int process = 0;
    if (!(file >> process) || process <= 1 || terminated_processes_.contains(process)) {
        return;
    }
    if (expects_exit) {
        terminated_processes_.insert(process);
    }
    if (signal_number == SIGKILL || signal_number == SIGTERM || signal_number == SIGSTOP) {
        observations_.beginRestart(number);
    } else if (signal_number == SIGCONT) {
        observations_.endRestart(number);
    }
    ::kill(process, signal_number);
}

void Fleet::reloadStopping(std::size_t number) {
    std::ifstream file(directory_ + "/" + nodes_[number]->name + ".pid");
    int process = 0;
    if (file >> process && process > 1) {
        ::kill(process, SIGHUP);
    }
}

void Fleet::setHeld(std::size_t number, bool is_held) {
    const auto file = directory_ + "/" + nodes_[number]->name + ".held";
    if (is_held) {
        std::ofstream(file) << "held\n";
    } else {
        std::filesystem::remove(file);
    }
}

void Fleet::poll() {
    const auto due = loop_.now() + kPollInterval;
    poll_timer_ = loop_.startTimer(kPollInterval, [this, due] {
        max_lateness_ = std::max(max_lateness_, loop_.now() - due);
        poll();
    });
    for (std::size_t number = 0; number < nodes_.size(); ++number) {
        probeReadiness(number);
        readExits(number);
    }
}

void Fleet::probeReadiness(std::size_t number) {
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

/// Records exits of processes that no fault has terminated.
void Fleet::readExits(std::size_t number) {
    auto& node = *nodes_[number];
    std::ifstream file(directory_ + "/" + node.name + ".exits");
    int process = 0;
    int code = 0;
    std::size_t line = 0;
    while (file >> process >> code) {
        if (line++ < node.exits_read) {
            continue;
        }
        ++node.exits_read;
        observations_.endRestart(number);
        if (!terminated_processes_.contains(process)) {
            observations_.onUnexpectedExit(node.name + " exited with code " + std::to_string(code));
        }
    }
}

// Routing table ------------------------------------------------------------------

/// One route alternates between two services, and every second version adds a route, up to kMaxExtraRoutes.
std::uint64_t Fleet::putTable() {
    ++table_version_;
    const std::string alternating_service = table_version_ % 2 == 0 ? "browse" : "desk";
    std::map<std::string, std::string> services = {
        {"/work/", "browse"}, {"/sign/", "desk"}, {"/swing/", alternating_service}};
    for (std::uint64_t extra = 1; extra <= std::min(table_version_ / 2, kMaxExtraRoutes); ++extra) {
        services["/extra-" + std::to_string(extra) + "/"] = "browse";
    }
    Json routes = {{"inner", routeOf(kInternalHost, kInternalRoute, "leaf", true, 1)}};
    caller_routes_.clear();
    for (const auto& [path, service] : services) {
        routes["r" + path.substr(1, path.size() - 2)] =
            routeOf(kHost, path, service, path != "/sign/", path == "/sign/" ? 0 : 2);
        caller_routes_.push_back(path);
    }
    std::map<std::string, Duration> timeouts = {{kInternalRoute, std::chrono::milliseconds(kRouteTimeoutMs)}};
    for (const auto& [path, service] : services) {
        timeouts[path] = std::chrono::milliseconds(kRouteTimeoutMs);
    }
    if (has_timed_work_) {
        const auto timeout_ms = table_version_ % 2 == 0 ? kShortRouteTimeoutMs : kRouteTimeoutMs;
        for (const auto& [path, service] : kTimedServices) {
            routes["r" + std::string(path).substr(1, std::string(path).size() - 2)] =
                timedRouteOf(path, service, timeout_ms);
            services[path] = service;
            timeouts[path] = std::chrono::milliseconds(timeout_ms);
        }
    }
    Json table_services;
    for (const auto& service : kServices) {
        table_services[service.name] = {{"HealthPath", "/health"}, {"MaxConnections", 200}};
    }
    Json tenants = Json::object();
    std::map<std::string, std::string> tenants_by_key;
    for (const auto& tenant : has_tenants_ ? std::span<const SoakTenant>(kTenants) : std::span<const SoakTenant>()) {
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
    observations_.onTable(table_version_, std::move(services), std::move(tenants_by_key), std::move(timeouts));
    return table_version_;
}

std::string Fleet::pickKey() {
    if (!has_tenants_) {
        return "";
    }
    double remaining = key_random_.unit();
    for (const auto& tenant : kTenants) {
        remaining -= tenant.share;
        if (remaining < 0) {
            const bool uses_older_key = key_random_.unit() < kRevokedShare;
            return keyOf(tenant.name, uses_older_key ? key_random_.below(table_version_ + 1) : table_version_);
        }
    }
    return kUnknownKey;
}

std::string Fleet::currentKey() const {
    return has_tenants_ ? keyOf(kTenants[0].name, table_version_) : "";
}

bool Fleet::mustBeServed(const std::string& key) const {
    return !has_tenants_ || std::any_of(std::begin(kTenants), std::end(kTenants), [&](const SoakTenant& tenant) {
        return !tenant.exceeds_limit && keyOf(tenant.name, table_version_) == key;
    });
}

std::map<std::string, double> Fleet::maxRuns() {
    std::map<std::string, double> limits;
    for (const auto& tenant : kTenants) {
        if (tenant.rate > 0) {
            limits[tenant.name] = (tenant.rate * kQuotaWindow + tenant.rate) * kQuotaOverage + kQuotaSlack;
        }
    }
    return limits;
}

}  // namespace dewcrank::soak
