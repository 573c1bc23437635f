#include "sim/sidecar_fleet.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <utility>

#include "src/base/http_status.h"

namespace dewcrank::sim {

namespace {

constexpr std::size_t kZones = 3;
/// A process that is done lets its last answers leave, as the daemon does.
constexpr Duration kFlushTime = 100ms;
constexpr Duration kRestartPause = 500ms;
constexpr std::uint32_t kTimeoutMs = 1500;
constexpr std::uint32_t kObjectiveMs = 1000;
constexpr Duration kReadinessInterval = 1s;
constexpr int kMissesToLeave = 2;
const char* const kHost = "fleet.example";
const char* const kInnerHost = "inner.example";

std::string zoneOf(std::size_t machine) {
    return "zone" + std::to_string(machine % kZones);
}

}  // namespace

/// Of one machine. Nothing is kept unless a trace is asked for; but what holds a caller's key is counted.
class SidecarFleet::Log : public EventLog {
public:
    Log(EventQueue& queue, std::string machine, const std::vector<wire::Tenant>& tenants, std::ofstream& trace)
        : queue_(queue), machine_(std::move(machine)), trace_(trace) {
        for (const auto& tenant : tenants) {
            keys_.insert(keys_.end(), tenant.keys().begin(), tenant.keys().end());
        }
    }
    void write(const Event& event) override {
        for (const auto& key : keys_) {
            with_key_ += event.line().find(key) == std::string::npos ? 0 : 1;
        }
        if (trace_.is_open()) {
            trace_ << "t_ms=" << toMilliseconds(queue_.now().time_since_epoch()) << " node=" << machine_ << ' '
                   << event.line() << '\n';
        }
    }
    [[nodiscard]] std::size_t withKey() const { return with_key_; }

private:
    EventQueue& queue_;
    std::string machine_;
    std::vector<std::string> keys_;
    std::size_t with_key_ = 0;
    std::ofstream& trace_;
};

struct SidecarFleet::Machine {
    std::string name;
    std::unique_ptr<Log> log;
    std::string node_address;
    std::string caller_address;
    std::string instance_address;
    std::string service;
    std::unique_ptr<Host> host;
    std::unique_ptr<SimHttpPort> http;
    std::unique_ptr<SimControlStore> store;
    std::unique_ptr<sidecar::SidecarNode> node;
    std::vector<std::unique_ptr<sidecar::SidecarNode>> dead;  ///< May still be on the stack.
    std::unique_ptr<SidecarInstance> instance;
    std::uint64_t starts = 0;
    int readiness_misses = 0;
};

std::size_t SidecarFleet::logLinesWithKey() const {
    std::size_t count = 0;
    for (const auto& machine : machines_) {
        count += machine->log->withKey();
    }
    return count;
}

SidecarFleet::SidecarFleet(std::uint64_t seed, const std::vector<FleetService>& services,
                           const DisabledMechanisms& disabled, std::vector<wire::Tenant> tenants, std::size_t seeds)
    : disabled_(disabled),
      tenants_(std::move(tenants)),
      random_(seed),
      network_(queue_, random_, NetworkOptions{}),
      store_(queue_),
      seeds_(seeds) {
    if (const char* path = std::getenv(kTraceVariable); path != nullptr) {
        trace_.open(path, std::ios::app);
        trace_ << "event=fleet_started seed=" << seed << " services=" << services.size() << '\n';
    }
    queue_.runUntil(TimePoint(1s));  // The epoch stands for "never".
    for (std::size_t zone = 0; zone < kZones; ++zone) {
        owned_hosts_.push_back(std::make_unique<Host>(queue_, clientZone(zoneOf(zone))));
        caller_hosts_.push_back(owned_hosts_.back().get());
    }
    for (const auto& service : services) {
        for (std::size_t count = 0; count < service.machines; ++count) {
            addMachine(service.instance, machines_.size());
        }
    }
}

/// @param place of its addresses and its zone: those of an earlier machine if that has ended.
void SidecarFleet::addMachine(const InstanceOptions& options, std::size_t place) {
    auto machine = std::make_unique<Machine>();
    const auto number = machines_.size();
    const auto address = "m" + std::to_string(place);
    machine->name = "m" + std::to_string(number);
    machine->log = std::make_unique<Log>(queue_, machine->name, tenants_, trace_);
    machine->node_address = address + ":nodes";
    machine->caller_address = address + ":callers";
    machine->instance_address = address + ":instance";
    machine->service = options.service;
    machine->host = std::make_unique<Host>(queue_, zoneOf(place));
    auto* raw = machine.get();
    const InstanceNode link{[this, raw](const instance::Heartbeat& heartbeat, const std::string& life) {
                                if (raw->node == nullptr || !raw->host->isUp()) {
                                    return false;
                                }
                                raw->node->onHeartbeat(heartbeat);
                                if (heartbeat.is_draining) {
                                    drained_.try_emplace(life, queue_.now());
                                }
                                return true;
                            },
                            [this, raw](const std::string& id, std::uint64_t born_ms, const std::string& life) {
                                if (raw->node == nullptr || !raw->host->isUp()) {
                                    return false;
                                }
                                raw->node->onInstanceLeave(id, born_ms);
                                drained_.try_emplace(life, queue_.now());
                                return true;
                            }};
    machine->instance = std::make_unique<SidecarInstance>(
        queue_, network_, random_, zoneOf(place), machine->instance_address, machine->caller_address, link, records_);
    machines_.push_back(std::move(machine));
    startNode(number);
    machines_[number]->instance->start(options);
    askReadiness(number);
}

void SidecarFleet::endMachine(std::size_t number) {
    killNode(number);
    machines_[number]->instance->crash();
}

SidecarFleet::~SidecarFleet() {
    attempts_.clear();
}

sidecar::SidecarNode* SidecarFleet::node(std::size_t machine) {
    return machines_[machine]->node.get();
}

Host& SidecarFleet::machineClock(std::size_t machine) {
    return *machines_[machine]->host;
}

SidecarInstance& SidecarFleet::instance(std::size_t machine) {
    return *machines_[machine]->instance;
}

void SidecarFleet::askReadiness(std::size_t number) {
    auto& machine = *machines_[number];
    const bool is_ready = machine.node != nullptr && machine.node->isReady();
    machine.readiness_misses = is_ready ? 0 : machine.readiness_misses + 1;
    queue_.schedule(queue_.now() + kReadinessInterval, nullptr, [this, number] { askReadiness(number); });
}

void SidecarFleet::startNode(std::size_t number) {
    auto& machine = *machines_[number];
    if (machine.node != nullptr) {
        return;
    }
    machine.host->restart();
    machine.http = std::make_unique<SimHttpPort>(network_, *machine.host);
    machine.store = std::make_unique<SimControlStore>(store_, *machine.host);
    sidecar::Settings settings;
    settings.name = machine.name;
    settings.zone = machine.host->zone();
    settings.address = machine.node_address;
    settings.instance_address = machine.instance_address;
    settings.service = machine.service;
    settings.incarnation = ++machine.starts;
    for (std::size_t seed = 0; seed < std::min(seeds_, machines_.size()); ++seed) {
        settings.seeds.push_back(machines_[seed]->node_address);
    }
    settings.knobs.relay.retry_limit = kRepeats;
    settings.knobs.disabled = disabled_;
    settings.knobs.relay.disabled = disabled_;
    settings.knobs.gossip.disabled = disabled_;
    settings.knobs.table_lease.disabled = disabled_;
    settings.knobs.quota_client.disabled = disabled_;
    settings.knobs.quota_shards.disabled = disabled_;
    settings.knobs.table_lease.revocation = tenants_.empty() ? Duration::zero() : kRevocation;
    if (disabled_.crash_quarantine) {
        settings.knobs.quarantine.suspicion_timeout = Duration::zero();
    }
    machine.node = std::make_unique<sidecar::SidecarNode>(
        sidecar::Ports{*machine.host, random_, *machine.http, *machine.http, *machine.store, *machine.log}, settings);
    auto* node = machine.node.get();
    const auto left = [node](std::uint64_t call) { node->cancelCall(call); };
    network_.addServer(machine.node_address, Server{machine.host.get(),
                                                    [node](HttpRequest request, const Server::Reply& reply) {
                                                        return node->handleNodeRequest(std::move(request), reply);
                                                    },
                                                    left});
    network_.addServer(machine.caller_address, Server{machine.host.get(),
                                                      [node](HttpRequest request, Server::Reply reply) {
                                                          return node->handleCall(std::move(request), std::move(reply));
                                                      },
                                                      left});
    node->start();
}

void SidecarFleet::killNode(std::size_t number) {
    if (machines_[number]->node != nullptr) {
        excuse(machines_[number]->name);
        endNode(number);
    }
}

/// Requests at an entry that is killed may get no answer.
void SidecarFleet::excuse(const std::string& entry) {
    for (const auto& request : requests_) {
        if (request->entry == entry && request->status == 0 && request->ended == TimePoint{}) {
            request->entry_lost = true;
        }
    }
}

void SidecarFleet::endNode(std::size_t number) {
    auto& machine = *machines_[number];
    machine.host->kill();
    network_.onHostKilled(*machine.host);
    machine.dead.push_back(std::move(machine.node));
}

void SidecarFleet::cycleNode(std::size_t number) {
    auto& machine = *machines_[number];
    if (machine.node == nullptr || machine.node->isStopping()) {
        return;
    }
    machine.node->stop([this, number] { network_.stopAccepting(machines_[number]->caller_address); },
                       [this, number] {
                           queue_.schedule(queue_.now() + kFlushTime, nullptr, [this, number] { endNode(number); });
                           queue_.schedule(queue_.now() + kRestartPause, nullptr,
                                           [this, number] { startNode(number); });
                       });
}

void SidecarFleet::suspendMachine(std::size_t number, Duration duration) {
    auto& machine = *machines_[number];
    if (machine.node == nullptr) {
        return;
    }
    excuse(machine.name);
    for (const auto& request : requests_) {
        // Its caller's leave may be on its way: it is read on waking only.
        const bool has_just_left = request->has_left && request->ended + kGrace > queue_.now();
        request->entry_lost = request->entry_lost || (has_just_left && request->entry == machine.name);
    }
    suspensions_.push_back({machine.instance->life(), queue_.now(), queue_.now() + duration});
    machine.host->suspend();
    machine.instance->host().suspend();
    after(duration, [this, number, duration] {
        auto& it = *machines_[number];
        it.instance->host().wake();
        it.host->wake();
        if (it.node != nullptr && it.host->countsSuspension()) {
            queue_.schedule(queue_.now(), it.host.get(), [&it, duration] { it.node->onHostResumed(duration); });
        }
    });
}

std::uint64_t SidecarFleet::putTable(const std::string& work, const std::string& sign, const std::string& inner) {
    wire::RouteTable table;
    table.set_version(++table_version_);
    const auto add = [&](const char* host, const char* prefix, const std::string& service, bool is_repeatable,
                         std::uint32_t priority) {
        auto* route = table.add_routes();
        route->set_name(prefix);
        route->set_host(host);
        route->set_prefix(prefix);
        route->set_is_repeatable(is_repeatable);
        route->set_max_attempts(2);
        route->set_timeout_ms(kTimeoutMs);
        route->set_objective_ms(kObjectiveMs);
        route->set_priority(priority);
        auto* part = route->add_parts();
        part->set_service(service);
        part->set_weight(1);
        allowed_.insert(std::string(prefix) + " " + service);
    };
    add(kHost, "/work/", work, true, 2);
    add(kHost, "/sign/", sign, false, 0);
    add(kInnerHost, "/inner/", inner, true, 1);
    table.mutable_routes(2)->set_is_open(true);
    for (const auto& tenant : tenants_) {
        *table.add_tenants() = tenant;
    }
    routed_to_ = {work, sign, inner};
    recordTenants();
    store_.putTable(table);
    return table_version_;
}

void SidecarFleet::recordTenants() {
    for (auto& term : tenant_terms_) {
        term.ended = std::min(term.ended, queue_.now());
    }
    for (const auto& tenant : tenants_) {
        tenant_terms_.push_back({tenant, TimePoint::max()});
    }
}

void SidecarFleet::changeTenants(const std::function<void(std::vector<wire::Tenant>*)>& change) {
    change(&tenants_);
    putTable(routed_to_[0], routed_to_[1], routed_to_[2]);
}

void SidecarFleet::send(std::size_t number, const std::string& path, bool is_repeatable, Duration leaves_after,
                        const std::string& key) {
    const HeaderNames names;
    auto& machine = *machines_[number];
    auto record = std::make_unique<CallerRequest>();
    auto* request = record.get();
    request->id = "r" + std::to_string(requests_.size());
    request->path = path;
    request->is_repeatable = is_repeatable;
    request->entry = machine.name;
    request->sent = queue_.now();
    request->table_version = table_version_;
    request->key = key;
    request->entry_lost = machine.node == nullptr || machine.host->isFrozen();
    requests_.push_back(std::move(record));
    HttpRequest message;
    message.method = is_repeatable ? "GET" : "POST";
    message.path = path;
    message.headers.set("Host", kHost);
    message.headers.set(names.request_id, request->id);
    message.headers.set(names.deadline_ms, std::to_string(toMilliseconds(kCallerDeadline)));
    if (!key.empty()) {
        message.headers.set("Authorization", names.auth_scheme + " " + key);
        message.headers.set(names.tenant, "forged");
    }
    const auto slot = attempts_.size();
    attempts_.push_back(network_.call(*caller_hosts_[number % kZones], machine.caller_address, std::move(message),
                                      kCallerDeadline, [this, request](const AttemptResult& result) {
                                          request->ended = queue_.now();
                                          request->not_taken = result.outcome == AttemptOutcome::kNotSent;
                                          request->status = result.response.status;
                                          request->body = result.response.body;
                                      }));
    if (leaves_after > Duration::zero()) {
        queue_.schedule(queue_.now() + leaves_after, nullptr, [this, request, slot] {
            if (request->status == 0 && request->ended == TimePoint{}) {
                request->has_left = true;
                request->ended = queue_.now();
                attempts_[slot].reset();
            }
        });
    }
}

void SidecarFleet::generateLoad(double per_second, TimePoint end, double sign_share, double leave_share) {
    generateNext(per_second, end, sign_share, leave_share);
}

void SidecarFleet::generateNext(double per_second, TimePoint end, double sign_share, double leave_share) {
    const double gap = -std::log(1 - random_.unit()) / per_second;
    queue_.schedule(queue_.now() + Duration(static_cast<std::int64_t>(gap * 1e6)), nullptr, [=, this] {
        if (queue_.now() >= end) {
            return;
        }
        const auto machine = static_cast<std::size_t>(random_.below(machines_.size()));
        if (machines_[machine]->readiness_misses < kMissesToLeave) {
            const bool is_sign = random_.unit() < sign_share;
            const bool leaves = random_.unit() < leave_share;
            const auto leaves_after = leaves ? Duration(static_cast<std::int64_t>(1 + random_.below(80'000))) : 0us;
            send(machine, is_sign ? "/sign/x" : "/work/x", !is_sign, leaves_after);
        }
        generateNext(per_second, end, sign_share, leave_share);
    });
}

void SidecarFleet::generateKeyedLoad(const std::string& key, double per_second, TimePoint end) {
    const double gap = -std::log(1 - random_.unit()) / per_second;
    queue_.schedule(queue_.now() + fromSeconds(gap), nullptr, [=, this] {
        if (queue_.now() >= end) {
            return;
        }
        const auto machine = static_cast<std::size_t>(random_.below(machines_.size()));
        if (machines_[machine]->readiness_misses < kMissesToLeave) {
            send(machine, "/work/x", true, {}, key);
        }
        generateKeyedLoad(key, per_second, end);
    });
}

std::size_t SidecarFleet::answered(int status) const {
    return static_cast<std::size_t>(std::count_if(requests_.begin(), requests_.end(),
                                                  [status](const auto& request) { return request->status == status; }));
}

}  // namespace dewcrank::sim
