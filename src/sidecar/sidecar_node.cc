#include "src/sidecar/sidecar_node.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "src/base/http_status.h"
#include "src/relay/relay_wire.h"

namespace dewcrank::sidecar {

namespace {

/// Reason of a call that no instance could take.
constexpr std::string_view kNoInstanceReason = "no-instance";

HttpResponse textResponse(int status, const std::string& text) {
    return makeResponse(status, "text/plain", text + "\n");
}

/// Parses the value of a header, a number of milliseconds. @return nothing if the value is invalid.
std::optional<Duration> parseMilliseconds(std::string_view text) {
    std::int64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size() || value < 0) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(value);
}

/// Passes the switches of the overload control on to the parts that they concern.
Settings withOverloadSwitches(Settings settings) {
    auto& knobs = settings.knobs;
    const auto& overload = knobs.overload;
    knobs.selector.balancing.cost.uses_pace = overload.pace_balancing;
    knobs.selector.balancing.cost.uses_zones = overload.zone_balancing;
    knobs.relay.queue.uses_pace = overload.pace_balancing;
    knobs.relay.retry_admission = overload.retry_admission;
    // Retry admission reckons with the calls of whole trees.
    knobs.relay.samples_calls = overload.call_samples || overload.retry_admission;
    knobs.relay.rejects_too_late = overload.return_priority;
    knobs.bottlenecks.includes_retries = overload.retry_admission;
    return settings;
}

}  // namespace

wire::NodeRecord SidecarNode::initialRecord(const Settings& settings) {
    wire::NodeRecord record;
    record.set_name(settings.name);
    record.set_incarnation(settings.incarnation);
    record.set_zone(settings.zone);
    record.set_address(settings.address);
    return record;
}

SidecarNode::SidecarNode(const Ports& ports, Settings settings)
    : ports_(ports),
      settings_(withOverloadSwitches(std::move(settings))),
      table_(settings_.incarnation),
      lease_(settings_.knobs.table_lease),
      directory_(ports.clock, initialRecord(settings_)),
      gossip_(ports.clock, ports.random, ports.log, ports.nodes, directory_, table_, lease_, settings_.knobs.gossip),
      failure_detector_(ports.clock, directory_, gossip_, settings_.knobs.failure_detector),
      instance_(ports.clock, settings_.knobs.instance_timeout),
      heartbeat_check_(
          ports.clock, ports.log, ports.instances, settings_.header_names, settings_.instance_address,
          [this](const instance::Heartbeat& heartbeat) { instance_.onHeartbeat(heartbeat); },
          settings_.knobs.heartbeat_check),
      quarantine_(ports.clock, settings_.knobs.quarantine),
      quarantine_exchange_(ports.clock, ports.random, ports.log, ports.nodes, directory_, quarantine_,
                           settings_.service, settings_.knobs.quarantine_exchange),
      relay_(
          ports.clock, ports.log, ports.instances, instance_, quarantine_, settings_.header_names,
          settings_.instance_address, [this](const std::string& service) { return hostShare(service); },
          settings_.knobs.relay),
      bottlenecks_(settings_.knobs.bottlenecks),
      selector_(ports.clock, ports.random, directory_, settings_.knobs.selector),
      admission_({ports.clock, ports.random, ports.log, bottlenecks_, relay_.callGraph(),
                  [this](const std::string& tenant) { return fleetRateOf(tenant); }},
                 settings_.knobs.admission, settings_.knobs.overload),
      entry_services_{
          ports.clock,
          ports.random,
          ports.log,
          ReconnectingSender(ports.clock, ports.nodes),
          selector_,
          relay_,
          directory_,
          gossip_,
          failure_detector_,
          table_,
          lease_,
          settings_.header_names,
          settings_.knobs.entry,
          [this](const entry::EntryPlan& plan, const std::string& relay, const relay::RelayResult& result) {
              onRelayResult(plan, relay, result);
          },
          [this](const entry::EntryPlan& plan) { return admission_.isOverloaded(plan); },
          [this](const entry::EntryPlan& plan, Duration elapsed) { return admission_.reserveReturn(plan, elapsed); },
          [this](const entry::EntryPlan& plan) { return endsBeforeStop(plan); },
          settings_.knobs.disabled},
      store_session_(ports.clock, ports.random, ports.log, ports.store, directory_, gossip_, table_, lease_, settings_),
      shard_lease_manager_(ports.clock, ports.log, ports.store, directory_, table_, settings_.knobs.quota_shards),
      quota_(ports.clock, ports.random, ports.log, ports.nodes, directory_, table_, shard_lease_manager_,
             settings_.knobs.quota_client, settings_.knobs.overload),
      intake_({ports.clock, table_, lease_, quota_, settings_.header_names, settings_.knobs.access}),
      load_logger_(ports.clock, ports.log, settings_.service, relay_, bottlenecks_, settings_.knobs.relay.retry_limit),
      stop_(ports.clock, ports.log,
            {[this] { return inFlight(); }, [this] { relay_.close(); },
             [this](std::size_t limit) { return describeUnfinished(limit); }},
            settings_.knobs.stop, settings_.knobs.disabled) {
    instance_.signalChanged().connect([this] { onInstanceChanged(); });
    instance_.signalLeavesChanged().connect([this] {
        has_uncopied_leaves_ = true;
        publishSelf();
    });
    gossip_.signalLeavesRecovered().connect(
        [this](const std::vector<wire::InstanceLeave>& leaves) { onLeavesRecovered(leaves); });
    relay_.signalCrashed().connect(
        [this](const quarantine::CrashNotice& notice) { quarantine_exchange_.broadcast(notice); });
    relay_.setReplicaView([this] { return fleet::replicasOf(directory_, settings_.service); });
    quarantine_exchange_.signalInstanceCrashed().connect([this] { relay_.onRemoteCrash(); });
    table_.signalAdopted().connect([this] { onTableAdopted(); });
    failure_detector_.signalUnresponsive().connect([this](const std::string& name) { onNodeUnresponsive(name); });
    directory_.signalChanged().connect(
        [this](const std::string&) { relay_.setRelayCount(selector_.relayCount(settings_.service)); });
}

SidecarNode::~SidecarNode() {
    calls_.clear();
    ended_calls_.clear();
}

void SidecarNode::start() {
    gossip_.start();
    quarantine_exchange_.start();
    store_session_.start();
    shard_lease_manager_.start();
    load_logger_.start();
}

decision::Bottleneck SidecarNode::tightestBottleneck() const {
    return bottlenecks_.worstBottleneck(ports_.clock.now());
}

bool SidecarNode::isReady() const {
    return table_.isKnown() && !isStopping() && store_session_.isJoined();
}

void SidecarNode::onInstanceChanged() {
    const auto& record = instance_.record();
    ports_.log.write(Event("instance_changed")
                         .with("instance", instance::incarnationName(record))
                         .with("service", record.service())
                         .with("state", wire::InstanceState_Name(record.state()))
                         .with("slots", record.slots()));
    publishSelf();
}

void SidecarNode::publishSelf() {
    auto record = instance_.record();
    if (settings_.knobs.disabled.drain_check && record.state() == wire::INSTANCE_DRAINING) {
        record.set_state(wire::INSTANCE_READY);
    }
    directory_.updateSelf(record, instance_.leaves(), isStopping());
    relay_.setRelayCount(selector_.relayCount(settings_.service));
}

void SidecarNode::whenLeavesCopied(std::function<void()> done) {
    if (std::exchange(has_uncopied_leaves_, false)) {
        gossip_.awaitCopies(settings_.knobs.leave_copies, settings_.knobs.leave_copy_limit, std::move(done));
    } else {
        done();
    }
}

/// An acknowledged leave binds this node also if an earlier process of it has acknowledged it.
void SidecarNode::onLeavesRecovered(const std::vector<wire::InstanceLeave>& leaves) {
    if (instance_.restoreLeaves(leaves)) {
        has_uncopied_leaves_ = false;  // Other nodes have told this one.
        ports_.log.write(Event("leaves_recovered").with("count", leaves.size()));
    }
}

/// The relay keeps the previous path if the table does not contain the instance's service.
void SidecarNode::onTableAdopted() {
    std::string health_path;
    for (const auto& service : table_.contents().services()) {
        if (service.name() == settings_.service) {
            health_path = service.health_path();
        }
    }
    if (!health_path.empty()) {
        relay_.setProbePath(health_path);
    }
    heartbeat_check_.onTable(health_path);
}

bool SidecarNode::onHeartbeat(const instance::Heartbeat& heartbeat, bool is_at_fresh_address) {
    if (heartbeat.service != settings_.service && !table_.referencesService(heartbeat.service)) {
        return false;
    }
    ++counters_.heartbeats;
    heartbeat_check_.onHeartbeat(heartbeat, {instance_.knows(heartbeat.id, heartbeat.start_ms), is_at_fresh_address});
    return true;
}

void SidecarNode::onInstanceLeave(const std::string& id, std::uint64_t start_ms) {
    instance_.onLeave(id, start_ms);
}

/// The directory is out of date, so that gossip starts at once. The instance was suspended too: its missing heartbeats
/// do not count.
void SidecarNode::onHostResumed(Duration suspended) {
    ports_.log.write(Event("machine_suspended").with("for_ms", toMilliseconds(suspended)));
    instance_.onHostResumed();
    gossip_.announceSelf();
}

// Calls --------------------------------------------------------------------

SidecarNode::CallId SidecarNode::handleCall(HttpRequest request, ReplyCallback reply) {
    const auto call_id = ++last_call_id_;
    intake_.start(call_id, std::move(request),
                  [this, call_id, reply = std::move(reply)](HttpRequest checked, entry::CallIntake::Outcome outcome) {
                      onIntake(call_id, std::move(checked), std::move(outcome), reply);
                  });
    return calls_.contains(call_id) || intake_.isWaiting(call_id) ? call_id : 0;
}

void SidecarNode::onIntake(CallId call_id, HttpRequest request, entry::CallIntake::Outcome outcome,
                           const ReplyCallback& reply) {
    if (const auto* rejected = std::get_if<entry::Rejected>(&outcome)) {
        reject(request, *rejected, reply);
    } else {
        beginCall(call_id, std::move(request), std::get<entry::Admitted>(outcome), reply);
    }
}

void SidecarNode::reject(const HttpRequest& request, const entry::Rejected& rejected, const ReplyCallback& reply) {
    const auto& rejection = rejected.rejection;
    const auto route = rejected.route == nullptr ? std::string("none") : rejected.route->name();
    if (ports_.log.accepts("request_turned_away")) {
        ports_.log.write(Event("request_turned_away")
                             .with("request", request.headers.get(settings_.header_names.request_id))
                             .with("route", route)
                             .with("reason", rejection.reason)
                             .with("status", rejection.status)
                             .with("table", table_.version())
                             .with("table_age_ms", tableAge() ? toMilliseconds(*tableAge()) : -1));
    }
    auto response = textResponse(rejection.status, rejection.reason);
    if (rejection.retry_after > Duration::zero()) {
        response.headers.set("Retry-After", entry::secondsText(rejection.retry_after));
    }
    reply(std::move(response));
    signal_call_ended_.emit(
        {entry::EntryEnd::kRejected, route, "none", rejection.reason, Duration::zero(), rejection.status});
}

void SidecarNode::beginCall(CallId call_id, HttpRequest request, const entry::Admitted& admitted,
                            const ReplyCallback& reply) {
    auto entry_plan = makePlan(std::move(request), admitted);
    const bool is_admitted = admission_.admit(&entry_plan);
    if (admitted.token) {
        spent_tokens_[call_id] = {admitted.tenant->name(), *admitted.token};
    }
    auto call = std::make_unique<entry::EntryCall>(
        entry_services_, std::move(entry_plan), reply,
        [this, call_id](const entry::EntryReport& report) { onCallEnded(call_id, report); });
    auto& started = *(calls_[call_id] = std::move(call));
    if (is_admitted) {
        started.start();
    } else {
        started.reject("bottleneck");
    }
}

entry::EntryPlan SidecarNode::makePlan(HttpRequest request, const entry::Admitted& admitted) {
    const auto& names = settings_.header_names;
    const auto& route = admitted.route;
    const auto* tenant = admitted.tenant.get();
    const Duration max_time = std::chrono::milliseconds(route->timeout_ms());
    const auto requested_time = parseMilliseconds(request.headers.get(names.deadline_ms)).value_or(max_time);
    removeHopByHopHeaders(request.headers);
    request.headers.removePrefix(relay::kRelayHeaderPrefix);
    request.headers.remove("expect");
    request.headers.remove(names.expected_instance);
    request.headers.set(names.caller_service, settings_.service);
    if (!settings_.knobs.disabled.credential_removal) {
        entry::replaceKeyWithTenant(table_, names, tenant, &request.headers);
    }
    entry::EntryPlan plan;
    plan.route = route;
    plan.priority = route->priority();
    plan.rank = policy::rankOf(*route, tenant);
    plan.tenant = tenant == nullptr ? "" : tenant->name();
    plan.caller_timeout = requested_time;
    plan.service = selectService(*route);
    plan.deadline =
        ports_.clock.now() + (route->timeout_ms() == 0 ? requested_time : std::min(requested_time, max_time));
    plan.request = std::move(request);
    return plan;
}

/// @return the next service by the weights of the route's parts, or another part's if that one has no known instance.
std::string SidecarNode::selectService(const wire::Route& route) {
    const auto found = traffic_splitters_.try_emplace(route.name(), ports_.random.unit()).first;
    auto service = route.parts(static_cast<int>(found->second.next(route))).service();
    if (selector_.hasRelay(service)) {
        return service;
    }
    const auto other = std::find_if(route.parts().begin(), route.parts().end(), [this](const auto& part) {
        return part.weight() > 0 && selector_.hasRelay(part.service());
    });
    return other == route.parts().end() ? service : other->service();
}

/// @return nothing for a tenant whose row is no longer in the table.
std::optional<FleetRate> SidecarNode::fleetRateOf(const std::string& tenant) const {
    const auto* row = table_.tenantNamed(tenant);
    return row == nullptr ? std::nullopt : quota_.fleetRate(*row);
}

/// Share of all nodes with an instance that host `service`. This node counts even before its first heartbeat.
double SidecarNode::hostShare(const std::string& service) const {
    const auto hosts = directory_.othersWithService(service).size() + (settings_.service == service ? 1 : 0);
    return static_cast<double>(hosts) / static_cast<double>(directory_.otherInstanceCount() + 1);
}

/// A route whose times are not known may take all the time that the request has.
bool SidecarNode::endsBeforeStop(const entry::EntryPlan& plan) const {
    const auto remaining = plan.deadline - ports_.clock.now();
    return stop_.leavesTimeFor(std::min(remaining, call_times_.upperBound(plan.route->name()).value_or(remaining)));
}

void SidecarNode::onRelayResult(const entry::EntryPlan& plan, const std::string& relay,
                                const relay::RelayResult& result) {
    auto report = result.report;
    if (relay == settings_.name) {
        report.downstream = bottlenecks_.bottleneckOfCalls(ports_.clock.now(), plan.route->name(), relay_.callGraph());
        countWasted(plan.route->name(), result, report.downstream.service);
    }
    bottlenecks_.onReport(ports_.clock.now(), plan.route->name(), plan.service, relay, report);
}

void SidecarNode::countWasted(const std::string& route, const relay::RelayResult& result,
                              const std::string& bottleneck) {
    if (result.failed_downstream) {
        ++counters_.wasted_executions[{route, bottleneck}];
    }
}

void SidecarNode::onNodeUnresponsive(const std::string& name) {
    ports_.log.write(Event("node_silent").with("peer", name));
    std::vector<CallId> call_ids;
    for (const auto& [call_id, call] : calls_) {
        call_ids.push_back(call_id);
    }
    for (const auto call_id : call_ids) {
        if (const auto found = calls_.find(call_id); found != calls_.end()) {
            found->second->onNodeUnresponsive(name);
        }
    }
}

/// Destroys the call from a timer, since its member functions are still on the stack.
void SidecarNode::onCallEnded(CallId call_id, const entry::EntryReport& report) {
    signal_call_ended_.emit(report);
    if (report.end != entry::EntryEnd::kRejected) {
        call_times_.onEnded(report.route, report.elapsed);
    }
    const bool found_instance = report.reason != kNoInstanceReason;
    if (report.end == entry::EntryEnd::kResponded || !found_instance) {
        bottlenecks_.onCallEnded(ports_.clock.now(), report.service, found_instance);
    }
    if (!isSuccess(report.status) && bottlenecks_.isInternal(report.route)) {
        relay_.callGraph().onCallFailed(ports_.clock.now());
    }
    if (const auto spent = spent_tokens_.extract(call_id); !spent.empty() && report.end == entry::EntryEnd::kRejected) {
        quota_.returnToken(spent.mapped().tenant, spent.mapped().token);
    }
    auto ended = calls_.extract(call_id);
    if (!ended.empty()) {
        ended_calls_.push_back(std::move(ended.mapped()));
    }
    if (ended_calls_.size() == 1) {
        ended_timer_ = ports_.clock.startTimer(Duration::zero(), [this] { ended_calls_.clear(); });
    }
}

/// The method, path and body of a relayed call are those of a caller, and may look like a message. Only its header
/// tells the two apart: entries set it on every call, and remove it from what callers send.
SidecarNode::CallId SidecarNode::handleNodeRequest(HttpRequest request, const ReplyCallback& reply) {
    if (!relay::isRelayed(request)) {
        reply(handleMessage(request));
        return 0;
    }
    auto received = relay::fromHttp(std::move(request), ports_.clock.now());
    gossip_.onTableVersionSeen(received.sender.name, received.sender.table_version);
    return relayCall(std::move(received.request), reply);
}

HttpResponse SidecarNode::handleMessage(const HttpRequest& request) {
    const bool is_post = request.method == "POST";
    if (is_post && request.path == fleet::kGossipPath) {
        return gossip_.handle(request);
    }
    if (is_post && request.path == quarantine::kExchangePath) {
        return quarantine_exchange_.handle(request);
    }
    if (is_post && request.path == quota::kQuotaPath) {
        return quota_.handle(request);
    }
    return textResponse(kHttpNotFound, "neither a message of a node nor a relayed call");
}

SidecarNode::CallId SidecarNode::relayCall(relay::RelayRequest request, const ReplyCallback& reply) {
    ++counters_.relayed;
    const auto call_id = ++last_call_id_;
    const std::string request_id(request.request.headers.get(settings_.header_names.request_id));
    const auto route = request.route;
    relayed_calls_[call_id] =
        relay_.start(std::move(request), [this, call_id, request_id, route, reply](relay::RelayResult result) {
            relayed_calls_.erase(call_id);
            logRelayed(request_id, result);
            result.report.downstream = bottlenecks_.bottleneckOfCalls(ports_.clock.now(), route, relay_.callGraph());
            countWasted(route, result, result.report.downstream.service);
            reply(relay::toHttp(std::move(result), {settings_.name, table_.version(), tableAge()}));
        });
    return call_id;
}

void SidecarNode::logRelayed(const std::string& request_id, const relay::RelayResult& result) {
    const bool has_response = result.outcome == relay::RelayOutcome::kResponded;
    if (!ports_.log.accepts(has_response ? "relayed" : "relay_refused")) {
        return;
    }
    auto event = has_response ? Event("relayed") : Event("relay_refused");
    event.with("request", request_id)
        .with("instance", instance::incarnationName(instance_.record()))
        .with("reason", relay::reasonText(result.reason))
        .with("offered", result.was_sent ? "yes" : "no")
        .with("running", result.load.running)
        .with("waiting", result.load.waiting)
        .with("limit", result.load.limit)
        .with("level", result.report.load.admitRatio());
    if (const auto& rate = result.load.rate_limit) {
        const auto age = ports_.clock.now() - relay_.signals().rateLimit().namedAt();
        event.with("rate_limit", *rate)
            .with("rate_limit_age_ms", toMilliseconds(age))
            .with("rate_wait_ms", toMilliseconds(result.load.rate_wait));
    }
    ports_.log.write(event);
}

void SidecarNode::cancelCall(CallId call_id) {
    if (settings_.knobs.disabled.caller_cancellation) {
        return;
    }
    intake_.cancel(call_id);
    calls_.erase(call_id);
    spent_tokens_.erase(call_id);
    if (const auto relayed = relayed_calls_.extract(call_id); !relayed.empty()) {
        relay_.cancel(relayed.mapped());
    }
}

// Stop ---------------------------------------------------------------------

void SidecarNode::stop(StopCallbacks callbacks) {
    if (isStopping()) {
        return;
    }
    stop_.start(std::move(callbacks));
    relay_.stop(stop_.runDeadline());
    shard_lease_manager_.release();
    directory_.updateSelf(instance_.record(), instance_.leaves(), true);
    if (instance_.record().state() == wire::INSTANCE_GONE) {
        store_session_.withdraw();
    }
}

std::vector<Event> SidecarNode::describeUnfinished(std::size_t limit) const {
    std::vector<Event> events;
    for (const auto& request : intake_.waitingRequests(limit)) {
        events.push_back(Event("request_unfinished").with("request", request).with("hop", "quota"));
    }
    for (const auto& [call_id, call] : calls_) {
        if (events.size() >= limit) {
            return events;
        }
        events.push_back(call->describe("request_unfinished"));
    }
    const auto relayed = relay_.describeUnfinished("request_unfinished", limit - events.size());
    events.insert(events.end(), relayed.begin(), relayed.end());
    return events;
}

}  // namespace dewcrank::sidecar
