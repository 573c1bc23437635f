#include "sim/sidecar_fleet.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <utility>

#include "src/base/http_status.h"

namespace dewcrank::sim {

namespace {

/// A caller waits for the response to a retry, whose deadline the node keeps itself, for this much longer.
constexpr Duration kRetryGrace = 100ms;
constexpr std::size_t kZones = 3;
/// Time from the end of a graceful stop to the exit, in which the last responses are sent.
constexpr Duration kFlushTime = 100ms;
constexpr Duration kRestartDelay = 500ms;
constexpr std::uint32_t kTimeoutMs = 1500;
constexpr std::uint32_t kObjectiveMs = 1000;
constexpr Duration kReadinessInterval = 1s;
constexpr int kMaxFailedReadinessPolls = 2;
const char* const kHost = "fleet.example";
const char* const kInternalHost = "inner.example";

std::string zoneOf(std::size_t machine) {
    return "zone" + std::to_string(machine % kZones);
}

}  // namespace

/// Event log of one machine: counts lines that contain a caller's key, and writes all lines to the trace if it is open.
class SidecarFleet::MachineLog : public EventLog {
public:
    MachineLog(EventQueue& queue, std::string machine, const std::vector<wire::Tenant>& tenants, std::ofstream& trace)
        : queue_(queue), machine_(std::move(machine)), trace_(trace) {
        for (const auto& tenant : tenants) {
            keys_.insert(keys_.end(), tenant.keys().begin(), tenant.keys().end());
        }
    }
    void write(const Event& event) override {
        for (const auto& key : keys_) {
            lines_with_key_ += event.line().find(key) == std::string::npos ? 0 : 1;
        }
        if (trace_.is_open()) {
            trace_ << "t_ms=" << toMilliseconds(queue_.now().time_since_epoch()) << " node=" << machine_ << ' '
                   << event.line() << '\n';
        }
    }
    [[nodiscard]] std::size_t linesWithKey() const { return lines_with_key_; }

private:
    EventQueue& queue_;
    std::string machine_;
    std::vector<std::string> keys_;
    std::size_t lines_with_key_ = 0;
    std::ofstream& trace_;
};

struct SidecarFleet::Machine {
    std::string name;
    std::unique_ptr<MachineLog> log;
    std::string node_address;
    std::string caller_address;
    std::string instance_address;
    std::string service;
    std::unique_ptr<Host> host;
    std::unique_ptr<SimHttpPort> http;
    std::unique_ptr<SimControlStore> store;
    std::unique_ptr<sidecar::SidecarNode> node;
    /// Kept alive, since a callback of a node may be running when the node is stopped.
    std::vector<std::unique_ptr<sidecar::SidecarNode>> stopped_nodes;
    std::unique_ptr<SidecarInstance> instance;
    std::uint64_t starts = 0;
    int failed_readiness_polls = 0;
};

std::size_t SidecarFleet::logLinesWithKey() const {
    std::size_t count = 0;
    for (const auto& machine : machines_) {
        count += machine->log->linesWithKey();
    }
    return count;
}

SidecarFleet::SidecarFleet(std::uint64_t seed, const std::vector<FleetService>& services,
                           const DisabledMechanisms& disabled, std::vector<wire::Tenant> tenants, std::size_t seeds,
                           const OverloadFeatures& overload)
    : disabled_(disabled),
      overload_(overload),
      tenants_(std::move(tenants)),
      random_(seed),
      network_(queue_, random_, NetworkOptions{}),
      store_(queue_),
      seeds_(seeds) {
    if (const char* path = std::getenv(kTraceVariable); path != nullptr) {
        trace_.open(path, std::ios::app);
        trace_ << "event=fleet_started seed=" << seed << " services=" << services.size() << '\n';
    }
    queue_.runUntil(TimePoint(1s));  // So that no event has the time of the epoch, which means "never".
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

void SidecarFleet::addMachine(const InstanceOptions& options, std::size_t address_index) {
    auto machine = std::make_unique<Machine>();
    const auto index = machines_.size();
    const auto address = "m" + std::to_string(address_index);
    machine->name = "m" + std::to_string(index);
    machine->log = std::make_unique<MachineLog>(queue_, machine->name, tenants_, trace_);
    machine->node_address = address + ":nodes";
    machine->caller_address = address + ":callers";
    machine->instance_address = address + ":instance";
    machine->service = options.service;
    machine->host = std::make_unique<Host>(queue_, zoneOf(address_index));
    auto* target = machine.get();
    const auto acknowledge = [this, target](const std::string& incarnation, bool is_leaving,
                                            const NodeLink::Acknowledged& acknowledged) {
        target->node->whenLeavesCopied([this, incarnation, is_leaving, acknowledged] {
            if (is_leaving) {
                drained_at_.try_emplace(incarnation, queue_.now());
            }
            acknowledged();
        });
    };
    const NodeLink link{
        [target, acknowledge](const instance::Heartbeat& heartbeat, FreshAddress address,
                              const std::string& incarnation, const NodeLink::HeartbeatAcknowledged& acknowledged) {
            if (target->node != nullptr && target->host->isUp()) {
                target->node->onHeartbeat(heartbeat, address == target->starts);
                const FreshAddress named = target->node->namesFreshAddress() ? target->starts : 0;
                acknowledge(incarnation, heartbeat.is_draining, [acknowledged, named] { acknowledged(named); });
            }
        },
        [target, acknowledge](const std::string& id, std::uint64_t start_ms, const std::string& incarnation,
                              const NodeLink::Acknowledged& acknowledged) {
            if (target->node != nullptr && target->host->isUp()) {
                target->node->onInstanceLeave(id, start_ms);
                acknowledge(incarnation, true, acknowledged);
            }
        }};
    machine->instance =
        std::make_unique<SidecarInstance>(queue_, network_, random_, zoneOf(address_index), machine->instance_address,
                                          machine->caller_address, link, records_);
    machines_.push_back(std::move(machine));
    startNode(index);
    machines_[index]->instance->start(options);
    pollReadiness(index);
}

void SidecarFleet::removeMachine(std::size_t index) {
    killNode(index);
    machines_[index]->instance->crash();
}

SidecarFleet::~SidecarFleet() {
    attempts_.clear();
}

sidecar::SidecarNode* SidecarFleet::node(std::size_t machine) {
    return machines_[machine]->node.get();
}

Host& SidecarFleet::host(std::size_t machine) {
    return *machines_[machine]->host;
}

SidecarInstance& SidecarFleet::instance(std::size_t machine) {
    return *machines_[machine]->instance;
}

void SidecarFleet::pollReadiness(std::size_t index) {
    auto& machine = *machines_[index];
    const bool is_ready = machine.node != nullptr && machine.node->isReady();
    machine.failed_readiness_polls = is_ready ? 0 : machine.failed_readiness_polls + 1;
    queue_.schedule(queue_.now() + kReadinessInterval, nullptr, [this, index] { pollReadiness(index); });
}

void SidecarFleet::startNode(std::size_t index) {
    auto& machine = *machines_[index];
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
    settings.knobs.relay.retry_limit = kRetryLimit;
    settings.knobs.overload = overload_;
    settings.knobs.disabled = disabled_;
    settings.knobs.relay.disabled = disabled_;
    settings.knobs.gossip.disabled = disabled_;
    settings.knobs.table_lease.disabled = disabled_;
    settings.knobs.table_refresher.disabled = disabled_;
    settings.knobs.quota_client.disabled = disabled_;
    settings.knobs.quota_shards.disabled = disabled_;
    settings.knobs.table_lease.revocation = tenants_.empty() ? Duration::zero() : kRevocationBound;
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

void SidecarFleet::killNode(std::size_t index) {
    if (machines_[index]->node != nullptr) {
        markEntryFailed(machines_[index]->name);
        endNode(index);
    }
}

void SidecarFleet::markEntryFailed(const std::string& entry) {
    for (const auto& request : requests_) {
        if (request->entry == entry && request->status == 0 && request->ended == TimePoint{}) {
            request->entry_failed = true;
        }
    }
}

void SidecarFleet::endNode(std::size_t index) {
    auto& machine = *machines_[index];
    entry_restarts_.push_back({machine.caller_address, queue_.now()});
    machine.host->kill();
    network_.onHostKilled(*machine.host);
    machine.stopped_nodes.push_back(std::move(machine.node));
}

void SidecarFleet::restartNode(std::size_t index) {
    auto& machine = *machines_[index];
    if (machine.node == nullptr || machine.node->isStopping()) {
        return;
    }
    machine.node->stop({[this, index] { network_.stopAccepting(machines_[index]->caller_address); },
                        [] { return true; },  // The model's connections deliver a reply at once.
                        [this, index] {
                            queue_.schedule(queue_.now() + kFlushTime, nullptr, [this, index] { endNode(index); });
                            queue_.schedule(queue_.now() + kRestartDelay, nullptr, [this, index] { startNode(index); });
                        }});
}

void SidecarFleet::suspendMachine(std::size_t index, Duration duration) {
    auto& machine = *machines_[index];
    if (machine.node == nullptr) {
        return;
    }
    markEntryFailed(machine.name);
    for (const auto& request : requests_) {
        // The cancellation may still be in flight; the node reads it only after waking.
        const bool has_just_left = request->is_cancelled && request->ended + kCancellationGrace > queue_.now();
        request->entry_failed = request->entry_failed || (has_just_left && request->entry == machine.name);
    }
    suspensions_.push_back({machine.instance->incarnationName(), queue_.now(), queue_.now() + duration});
    machine.host->suspend();
    machine.instance->host().suspend();
    after(duration, [this, index, duration] {
        auto& it = *machines_[index];
        entry_restarts_.push_back({it.caller_address, queue_.now()});
        it.instance->host().wake();
        it.host->wake();
        if (it.node != nullptr && it.host->countsSuspension()) {
            queue_.schedule(queue_.now(), it.host.get(), [&it, duration] { it.node->onHostResumed(duration); });
        }
    });
}

std::uint64_t SidecarFleet::putTable(const std::string& work, const std::string& sign, const std::string& internal) {
    wire::RouteTable table;
    table.set_version(++table_version_);
    const auto add = [&](const char* host, const char* prefix, const std::string& service, bool is_idempotent,
                         std::uint32_t priority) {
        auto* route = table.add_routes();
        route->set_name(prefix);
        route->set_host(host);
        route->set_prefix(prefix);
        route->set_is_repeatable(is_idempotent);
        route->set_max_attempts(2);
        route->set_timeout_ms(kTimeoutMs);
        route->set_objective_ms(kObjectiveMs);
        route->set_priority(priority);
        auto* part = route->add_parts();
        part->set_service(service);
        part->set_weight(1);
        allowed_routes_.insert(std::string(prefix) + " " + service);
    };
    add(kHost, "/work/", work, true, 2);
    add(kHost, "/sign/", sign, false, 0);
    add(kInternalHost, "/inner/", internal, true, 1);
    table.mutable_routes(2)->set_is_open(true);
    for (const auto& [prefix, service] : extra_routes_) {
        add(kHost, prefix.c_str(), service, true, 2);
    }
    for (const auto& tenant : tenants_) {
        *table.add_tenants() = tenant;
    }
    routed_services_ = {work, sign, internal};
    for (const auto& service : std::set<std::string>(routed_services_.begin(), routed_services_.end())) {
        if (has_health_paths_) {
            auto* entry = table.add_services();
            entry->set_name(service);
            entry->set_health_path("/health");
        }
    }
    recordTenants();
    store_.putTable(table);
    return table_version_;
}

void SidecarFleet::silenceNodeConnections() {
    std::set<const Host*> nodes;
    for (const auto& machine : machines_) {
        nodes.insert(machine->host.get());
    }
    network_.silenceConnections([&](const ConnectionEnds& ends) { return nodes.contains(&ends.client); });
}

void SidecarFleet::setIsolated(std::size_t index, bool is_isolated) {
    const auto& own = *machines_[index]->host;
    for (const auto& machine : machines_) {
        if (machine->host.get() != &own) {
            network_.setCut(own, *machine->host, is_isolated);
            network_.setCut(*machine->host, own, is_isolated);
        }
    }
}

void SidecarFleet::recordTenants() {
    for (auto& version : tenant_versions_) {
        version.superseded_at = std::min(version.superseded_at, queue_.now());
    }
    for (const auto& tenant : tenants_) {
        tenant_versions_.push_back({tenant, TimePoint::max()});
    }
}

void SidecarFleet::changeTenants(const std::function<void(std::vector<wire::Tenant>*)>& change) {
    change(&tenants_);
    putTable(routed_services_[0], routed_services_[1], routed_services_[2]);
}

void SidecarFleet::send(std::size_t index, const std::string& path, bool is_idempotent, Duration cancel_after,
                        const std::string& key, const CallerAttempt& attempt) {
    const HeaderNames names;
    auto& machine = *machines_[index];
    auto record = std::make_unique<CallerRequest>();
    auto* request = record.get();
    request->id = "r" + std::to_string(requests_.size());
    request->path = path;
    request->is_idempotent = is_idempotent;
    request->entry = machine.name;
    request->entry_address = machine.caller_address;
    request->sent = queue_.now();
    request->table_version = table_version_;
    request->key = key;
    request->attempt = attempt;
    request->entry_failed = machine.node == nullptr || machine.host->isFrozen();
    requests_.push_back(std::move(record));
    HttpRequest message;
    message.method = is_idempotent ? "GET" : "POST";
    message.path = path;
    message.headers.set("Host", kHost);
    message.headers.set(names.request_id, request->id);
    message.headers.set(names.deadline_ms, std::to_string(toMilliseconds(attempt.deadline)));
    if (!key.empty()) {
        message.headers.set("Authorization", names.auth_scheme + " " + key);
        message.headers.set(names.tenant, "forged");
    }
    const auto slot = attempts_.size();
    attempts_.push_back(network_.call(*caller_hosts_[index % kZones], machine.caller_address, std::move(message),
                                      attempt.number == 1 ? kCallerDeadline : attempt.deadline + kRetryGrace,
                                      [this, request, entry = machine.caller_address](const AttemptResult& result) {
                                          recordPassedSignals(result.response, entry, queue_.now(), &records_);
                                          request->ended = queue_.now();
                                          request->not_sent = result.outcome == AttemptOutcome::kNotSent;
                                          request->status = result.response.status;
                                          request->body = result.response.body;
                                          scheduleRetry(*request, result.response);
                                      }));
    if (cancel_after > Duration::zero()) {
        queue_.schedule(queue_.now() + cancel_after, nullptr, [this, request, slot] {
            if (request->status == 0 && request->ended == TimePoint{}) {
                request->is_cancelled = true;
                request->ended = queue_.now();
                attempts_[slot].reset();
            }
        });
    }
}

/// A caller waits for a third of its remaining time at most.
void SidecarFleet::scheduleRetry(const CallerRequest& request, const HttpResponse& response) {
    const std::string retry_after(response.headers.get("Retry-After"));
    if (!client_retries_ || request.status != kHttpServiceUnavailable || retry_after.empty()) {
        return;
    }
    auto next = request.attempt;
    next.returns_at_once = next.number == 1 ? random_.unit() < client_retries_->at_once_share : next.returns_at_once;
    if (next.number > (next.returns_at_once ? client_retries_->at_once_retries : 1)) {
        return;
    }
    next.deadline -= request.ended - request.sent;
    const auto told = std::min(fromSeconds(std::stod(retry_after)), next.deadline / 3);
    const auto wait = next.returns_at_once ? client_retries_->at_once_gap : told;
    next.deadline -= wait;
    ++next.number;
    if (next.deadline <= Duration::zero()) {
        return;
    }
    after(wait, [this, path = request.path, is_idempotent = request.is_idempotent, key = request.key, next] {
        send(random_.below(machines_.size()), path, is_idempotent, {}, key, next);
    });
}

void SidecarFleet::generateLoad(double per_second, TimePoint end, double sign_share, double cancel_share) {
    scheduleNextRequest(per_second, end, sign_share, cancel_share);
}

void SidecarFleet::scheduleNextRequest(double per_second, TimePoint end, double sign_share, double cancel_share) {
    const double gap = -std::log(1 - random_.unit()) / per_second;
    queue_.schedule(queue_.now() + Duration(static_cast<std::int64_t>(gap * 1e6)), nullptr, [=, this] {
        if (queue_.now() >= end) {
            return;
        }
        const auto machine = static_cast<std::size_t>(random_.below(machines_.size()));
        if (machines_[machine]->failed_readiness_polls < kMaxFailedReadinessPolls) {
            const bool is_sign = random_.unit() < sign_share;
            const bool is_cancelled = random_.unit() < cancel_share;
            const auto cancel_after =
                is_cancelled ? Duration(static_cast<std::int64_t>(1 + random_.below(80'000))) : 0us;
            send(machine, is_sign ? "/sign/x" : "/work/x", !is_sign, cancel_after);
        }
        scheduleNextRequest(per_second, end, sign_share, cancel_share);
    });
}

void SidecarFleet::generateKeyedLoad(const std::string& key, double per_second, TimePoint end) {
    const double gap = -std::log(1 - random_.unit()) / per_second;
    queue_.schedule(queue_.now() + fromSeconds(gap), nullptr, [=, this] {
        if (queue_.now() >= end) {
            return;
        }
        const auto machine = static_cast<std::size_t>(random_.below(machines_.size()));
        if (machines_[machine]->failed_readiness_polls < kMaxFailedReadinessPolls) {
            send(machine, "/work/x", true, {}, key);
        }
        generateKeyedLoad(key, per_second, end);
    });
}

std::size_t SidecarFleet::countResponses(int status) const {
    return static_cast<std::size_t>(std::count_if(requests_.begin(), requests_.end(),
                                                  [status](const auto& request) { return request->status == status; }));
}

}  // namespace dewcrank::sim
