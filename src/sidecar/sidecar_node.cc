#include "src/sidecar/sidecar_node.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "src/base/http_status.h"
#include "src/relay/relay_wire.h"

namespace dewcrank::sidecar {

namespace {

constexpr Duration kStopCheck = 50ms;
/// A request stands for at most the inverse of this many, so that a level near zero is no outlier.
constexpr double kLeastLevel = 0.02;

HttpAnswer plainAnswer(int status, const std::string& text) {
    HttpAnswer answer;
    answer.status = status;
    answer.headers.set("Content-Type", "text/plain");
    answer.body = text + "\n";
    return answer;
}

/// Milliseconds in a header; nothing if it holds no number.
std::optional<Duration> millisecondsIn(std::string_view text) {
    std::int64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size() || value < 0) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(value);
}

}  // namespace

wire::NodeRecord SidecarNode::firstRecord(const Settings& settings) {
    wire::NodeRecord record;
    record.set_name(settings.name);
    record.set_incarnation(settings.incarnation);
    record.set_zone(settings.zone);
    record.set_address(settings.address);
    return record;
}

SidecarNode::SidecarNode(const Ports& ports, Settings settings)
    : ports_(ports),
      settings_(std::move(settings)),
      table_(settings_.incarnation),
      lease_(settings_.knobs.table_lease),
      directory_(ports.clock, firstRecord(settings_)),
      gossip_(ports.clock, ports.random, ports.log, ports.nodes, directory_, table_, lease_, settings_.knobs.gossip),
      failure_detector_(ports.clock, directory_, gossip_, settings_.knobs.failure_detector),
      instance_(ports.clock, settings_.knobs.longest_silence),
      quarantine_(ports.clock, settings_.knobs.quarantine),
      quarantine_exchange_(ports.clock, ports.random, ports.log, ports.nodes, directory_, quarantine_,
                           settings_.service, settings_.knobs.quarantine_exchange),
      relay_(
          ports.clock, ports.log, ports.instances, instance_, quarantine_, settings_.header_names,
          settings_.instance_address, [this](const std::string& service) { return machineShare(service); },
          settings_.knobs.relay),
      bottlenecks_(settings_.knobs.bottlenecks),
      selector_(ports.clock, ports.random, directory_, settings_.knobs.selector),
      admission_(ports.random, settings_.knobs.admission),
      entry_services_{ports.clock,
                      ports.random,
                      ports.log,
                      ports.nodes,
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
                      [this](const entry::EntryPlan& plan) { return isOverloaded(plan); },
                      settings_.knobs.weakening},
      store_session_(ports.clock, ports.random, ports.log, ports.store, directory_, gossip_, table_, lease_, settings_),
      shard_keeper_(ports.clock, ports.log, ports.store, directory_, table_, settings_.knobs.quota_shards),
      quota_(ports.clock, ports.random, ports.log, ports.nodes, directory_, table_, shard_keeper_,
             settings_.knobs.quota_client),
      intake_({ports.clock, table_, lease_, quota_, settings_.header_names, settings_.knobs.access}),
      load_log_(ports.clock, ports.log, settings_.service, relay_, bottlenecks_, settings_.knobs.relay.repeats) {
    instance_.signalChanged().connect([this] { publishSelf(); });
    relay_.signalCrashed().connect(
        [this](const quarantine::CrashNotice& notice) { quarantine_exchange_.broadcast(notice); });
    relay_.setReplicaView([this] { return fleet::replicasOf(directory_, settings_.service); });
    quarantine_exchange_.signalInstanceCrashed().connect([this] { relay_.onInstanceEndedElsewhere(); });
    table_.signalAdopted().connect([this] { setProbePath(); });
    failure_detector_.signalSilent().connect([this](const std::string& name) { onNodeUnresponsive(name); });
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
    shard_keeper_.start();
    load_log_.start();
}

decision::Bottleneck SidecarNode::leastBottleneck() const {
    return bottlenecks_.leastOfAll(ports_.clock.now());
}

bool SidecarNode::isReady() const {
    return table_.isKnown() && !is_stopping_ && store_session_.isJoined();
}

void SidecarNode::publishSelf() {
    auto record = instance_.record();
    ports_.log.write(Event("instance_changed")
                         .with("instance", instance::lifeName(record))
                         .with("service", record.service())
                         .with("state", wire::InstanceState_Name(record.state()))
                         .with("slots", record.slots()));
    if (settings_.knobs.weakening.serves_draining && record.state() == wire::INSTANCE_DRAINING) {
        record.set_state(wire::INSTANCE_READY);
    }
    directory_.updateSelf(record, is_stopping_);
    relay_.setRelayCount(selector_.relayCount(settings_.service));
}

/// An instance whose service the table does not name is probed where it was before.
void SidecarNode::setProbePath() {
    for (const auto& service : table_.whole().services()) {
        if (service.name() == settings_.service && !service.health_path().empty()) {
            relay_.setProbePath(service.health_path());
        }
    }
}

bool SidecarNode::onHeartbeat(const instance::Heartbeat& heartbeat) {
    if (heartbeat.service != settings_.service && !table_.namesService(heartbeat.service)) {
        return false;
    }
    ++counters_.heartbeats;
    instance_.onHeartbeat(heartbeat);
    return true;
}

void SidecarNode::onInstanceLeave(const std::string& id, std::uint64_t born_ms) {
    instance_.onLeave(id, born_ms);
}

/// What is known here is as old as that: others are asked at once. The instance was suspended as well, so that its
/// silence says nothing: taken for dead, it would get no call until its next heartbeat, 1.5 s later.
void SidecarNode::onWoken(Duration suspended) {
    ports_.log.write(Event("machine_suspended").with("for_ms", toMilliseconds(suspended)));
    instance_.onWoken();
    gossip_.introduceSelf();
}

// Calls --------------------------------------------------------------------

SidecarNode::CallNumber SidecarNode::handleCall(HttpRequest request, ReplyCallback reply) {
    const auto number = ++last_call_;
    intake_.start(number, std::move(request),
                  [this, number, reply = std::move(reply)](HttpRequest taken, entry::CallIntake::Outcome outcome) {
                      onIntake(number, std::move(taken), std::move(outcome), reply);
                  });
    return calls_.contains(number) || intake_.isWaiting(number) ? number : 0;
}

void SidecarNode::onIntake(CallNumber number, HttpRequest request, entry::CallIntake::Outcome outcome,
                           const ReplyCallback& reply) {
    if (const auto* turned = std::get_if<entry::Rejected>(&outcome)) {
        turnAway(request, *turned, reply);
    } else {
        beginCall(number, std::move(request), std::get<entry::Admitted>(outcome), reply);
    }
}

void SidecarNode::turnAway(const HttpRequest& request, const entry::Rejected& turned, const ReplyCallback& reply) {
    const auto& rejection = turned.rejection;
    const auto route = turned.route == nullptr ? std::string("none") : turned.route->name();
    if (ports_.log.takes("request_turned_away")) {
        ports_.log.write(Event("request_turned_away")
                             .with("request", request.headers.get(settings_.header_names.request_id))
                             .with("route", route)
                             .with("reason", rejection.reason)
                             .with("status", rejection.status)
                             .with("table", table_.version())
                             .with("table_age_ms", tableAge() ? toMilliseconds(*tableAge()) : -1));
    }
    auto answer = plainAnswer(rejection.status, rejection.reason);
    if (rejection.retry_after > Duration::zero()) {
        answer.headers.set("Retry-After", entry::secondsText(rejection.retry_after));
    }
    reply(std::move(answer));
    signal_call_ended_.emit(
        {entry::EntryEnd::kRefused, route, "none", rejection.reason, Duration::zero(), rejection.status});
}

void SidecarNode::beginCall(CallNumber number, HttpRequest request, const entry::Admitted& admitted,
                            const ReplyCallback& reply) {
    auto planned = plan(std::move(request), admitted);
    const bool is_admitted = admit(&planned);
    if (admitted.token) {
        spent_[number] = {admitted.tenant->name(), *admitted.token};
    }
    auto call = std::make_unique<entry::EntryCall>(
        entry_services_, std::move(planned), reply,
        [this, number](const entry::EntryReport& report) { onCallEnded(number, report); });
    auto& started = *(calls_[number] = std::move(call));
    if (is_admitted) {
        started.start();
    } else {
        started.reject("bottleneck");
    }
}

entry::EntryPlan SidecarNode::plan(HttpRequest request, const entry::Admitted& admitted) {
    const auto& names = settings_.header_names;
    const auto& route = admitted.route;
    const auto* tenant = admitted.tenant.get();
    const Duration longest = std::chrono::milliseconds(route->timeout_ms());
    const auto wanted = millisecondsIn(request.headers.get(names.deadline_ms)).value_or(longest);
    removeHopByHopHeaders(request.headers);
    request.headers.removePrefix(relay::kRelayHeaderPrefix);
    request.headers.remove("expect");
    request.headers.remove(names.expected_instance);
    request.headers.set(names.caller_service, settings_.service);
    if (!settings_.knobs.weakening.hands_on_keys) {
        entry::replaceKeyWithTenant(table_, names, tenant, &request.headers);
    }
    entry::EntryPlan plan;
    plan.route = route;
    plan.priority = route->priority();
    plan.rank = policy::rankOf(*route, tenant);
    plan.caller_deadline = wanted;
    plan.service = serviceFor(*route);
    plan.deadline = ports_.clock.now() + (route->timeout_ms() == 0 ? wanted : std::min(wanted, longest));
    plan.request = std::move(request);
    return plan;
}

/// The part whose turn it is; another one if no instance of it is known.
std::string SidecarNode::serviceFor(const wire::Route& route) {
    const auto found = dividers_.try_emplace(route.name(), ports_.random.unit()).first;
    auto chosen = route.parts(static_cast<int>(found->second.next(route))).service();
    if (selector_.hasRelay(chosen)) {
        return chosen;
    }
    const auto other = std::find_if(route.parts().begin(), route.parts().end(), [this](const auto& part) {
        return part.weight() > 0 && selector_.hasRelay(part.service());
    });
    return other == route.parts().end() ? chosen : other->service();
}

/// Inner calls are never refused here: what was done for them would be wasted.
bool SidecarNode::admit(entry::EntryPlan* plan) {
    const auto now = ports_.clock.now();
    const auto& route = plan->route->name();
    const bool is_repeat = deadlines_.isShortened(now, route, plan->caller_deadline);
    if (bottlenecks_.isInner(route)) {
        plan->lineage = relay_.callGraph().onCall(now, route, plan->caller_deadline);
        return true;
    }
    const auto bottleneck = bottlenecks_.least(now, route);
    plan->lineage.represents = 1 / std::max(kLeastLevel, bottleneck.level);
    return admission_.admits(now, bottleneck, plan->rank, is_repeat);
}

/// This node counts as one with an instance also before the first heartbeat.
double SidecarNode::machineShare(const std::string& service) const {
    const auto same = directory_.othersWith(service).size() + (settings_.service == service ? 1 : 0);
    return static_cast<double>(same) / static_cast<double>(directory_.othersWithInstance() + 1);
}

bool SidecarNode::isOverloaded(const entry::EntryPlan& plan) const {
    return bottlenecks_.least(ports_.clock.now(), plan.route->name()).level < decision::kUnloadedLevel;
}

void SidecarNode::onRelayResult(const entry::EntryPlan& plan, const std::string& relay,
                                const relay::RelayResult& result) {
    auto report = result.report;
    if (relay == settings_.name) {
        report.below = bottlenecks_.leastBelow(ports_.clock.now(), plan.route->name(), relay_.callGraph());
    }
    bottlenecks_.onReport(ports_.clock.now(), plan.route->name(), plan.service, relay, report);
}

void SidecarNode::onNodeUnresponsive(const std::string& name) {
    ports_.log.write(Event("node_silent").with("peer", name));
    std::vector<CallNumber> numbers;
    for (const auto& [number, call] : calls_) {
        numbers.push_back(number);
    }
    for (const auto number : numbers) {
        if (const auto found = calls_.find(number); found != calls_.end()) {
            found->second->onNodeUnresponsive(name);
        }
    }
}

/// The call that has just ended is still on the stack: it is destroyed from a timer.
void SidecarNode::onCallEnded(CallNumber number, const entry::EntryReport& report) {
    signal_call_ended_.emit(report);
    if (!isSuccess(report.status) && bottlenecks_.isInner(report.route)) {
        relay_.callGraph().onCallFailed(ports_.clock.now());
    }
    if (const auto spent = spent_.extract(number); !spent.empty() && report.end == entry::EntryEnd::kRefused) {
        quota_.giveBack(spent.mapped().tenant, spent.mapped().token);
    }
    auto ended = calls_.extract(number);
    if (!ended.empty()) {
        ended_calls_.push_back(std::move(ended.mapped()));
    }
    if (ended_calls_.size() == 1) {
        ended_timer_ = ports_.clock.startTimer(Duration::zero(), [this] { ended_calls_.clear(); });
    }
}

SidecarNode::CallNumber SidecarNode::handleNodeRequest(HttpRequest request, const ReplyCallback& reply) {
    if (request.path == fleet::kGossipPath && request.method == "POST") {
        reply(gossip_.handle(request));
        return 0;
    }
    if (request.path == quarantine::kExchangePath && request.method == "POST") {
        reply(quarantine_exchange_.handle(request));
        return 0;
    }
    if (request.path == quota::kQuotaPath && request.method == "POST") {
        reply(quota_.handle(request));
        return 0;
    }
    auto received = relay::fromHttp(std::move(request), ports_.clock.now());
    if (!received) {
        reply(plainAnswer(kHttpNotFound, "neither gossip nor a relayed call"));
        return 0;
    }
    gossip_.onTableVersionSeen(received->sender.name, received->sender.table_version);
    return relayCall(std::move(received->request), reply);
}

SidecarNode::CallNumber SidecarNode::relayCall(relay::RelayRequest request, const ReplyCallback& reply) {
    ++counters_.relayed;
    const auto number = ++last_call_;
    const std::string id(request.request.headers.get(settings_.header_names.request_id));
    const auto route = request.route;
    relayed_[number] = relay_.start(std::move(request), [this, number, id, route, reply](relay::RelayResult result) {
        relayed_.erase(number);
        logRelayed(id, result);
        result.report.below = bottlenecks_.leastBelow(ports_.clock.now(), route, relay_.callGraph());
        reply(relay::toHttp(std::move(result), {settings_.name, table_.version(), tableAge()}));
    });
    return number;
}

void SidecarNode::logRelayed(const std::string& request, const relay::RelayResult& result) {
    const bool is_answered = result.outcome == relay::RelayOutcome::kAnswered;
    if (!ports_.log.takes(is_answered ? "relayed" : "relay_refused")) {
        return;
    }
    auto event = is_answered ? Event("relayed") : Event("relay_refused");
    ports_.log.write(event.with("request", request)
                         .with("instance", instance::lifeName(instance_.record()))
                         .with("reason", relay::reasonText(result.reason))
                         .with("offered", result.was_offered ? "yes" : "no")
                         .with("running", result.load.running)
                         .with("waiting", result.load.waiting)
                         .with("limit", result.load.limit)
                         .with("level", result.report.load.level()));
}

void SidecarNode::callerLeft(CallNumber number) {
    if (settings_.knobs.weakening.ignores_gone_callers) {
        return;
    }
    intake_.cancel(number);
    calls_.erase(number);
    spent_.erase(number);
    if (const auto relayed = relayed_.extract(number); !relayed.empty()) {
        relay_.cancel(relayed.mapped());
    }
}

// Stop ---------------------------------------------------------------------

void SidecarNode::stop(std::function<void()> led_away, std::function<void()> done) {
    if (is_stopping_) {
        return;
    }
    is_stopping_ = true;
    stop_began_ = ports_.clock.now();
    led_away_ = std::move(led_away);
    stopped_ = std::move(done);
    ports_.log.write(Event("node_stopping").with("in_flight", inFlight()));
    relay_.stop(stop_began_ + settings_.knobs.longest_stop - kStopCheck);
    shard_keeper_.release();
    directory_.updateSelf(instance_.record(), true);
    if (instance_.record().state() == wire::INSTANCE_GONE) {
        store_session_.withdraw();
    }
    stop_timer_ = ports_.clock.startTimer(settings_.knobs.stop_serving, [this] { onLedAway(); });
}

void SidecarNode::onLedAway() {
    led_away_();
    relay_.close();
    checkStopped();
}

void SidecarNode::checkStopped() {
    const auto elapsed = ports_.clock.now() - stop_began_;
    if (inFlight() == 0 || settings_.knobs.weakening.stops_without_waiting || elapsed >= settings_.knobs.longest_stop) {
        ports_.log.write(Event("node_idle").with("in_flight", inFlight()).with("after_ms", toMilliseconds(elapsed)));
        stopped_();
        return;
    }
    stop_timer_ = ports_.clock.startTimer(kStopCheck, [this] { checkStopped(); });
}

}  // namespace dewcrank::sidecar
