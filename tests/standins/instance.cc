#include "tests/standins/instance.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/base/http_status.h"

namespace dewcrank::standins {

namespace {

using Json = nlohmann::json;

constexpr Duration kCallerTimeout = 30s;
constexpr Duration kPostTimeout = 1s;
const std::string kHeartbeatPath = "/dewcrank/Instances.Heartbeat/";
const std::string kLeavePath = "/dewcrank/Instances.Leave/";
const std::string kHealthPath = "/health";
/// Time from an announced leave until the instance ends, and until its last heartbeat arrives.
constexpr Duration kLeaveServeTime = 9s;
constexpr Duration kLateHeartbeatDelay = 2500ms;
/// Time between the acknowledgement of a drain and deregistration.
constexpr Duration kDrainServeTime = 2500ms;
/// Time after which an unacknowledged drain ends.
constexpr Duration kMaxDrainTime = 6s;
constexpr Duration kInternalCallMargin = 20ms;
/// Delay from the start of a crashing request's run to the crash.
constexpr Duration kCrashDelay = 70ms;
constexpr double kMinWorkFactor = 0.5;  ///< Run times are uniform from this to 1 + this, times the work.

std::int64_t millisecondsIn(std::string_view text) {
    return std::strtoll(std::string(text).c_str(), nullptr, 10);
}

/// @return the part of the path from the first timed work on; empty if there is none.
std::string_view timedWorkIn(std::string_view path) {
    const auto at = path.find(kTimedWorkMarker);
    return at == std::string_view::npos ? std::string_view() : path.substr(at);
}

/// @return the part of the path behind the first timed work; empty if the run makes no call.
std::string_view chainedWorkIn(std::string_view path) {
    const auto work = timedWorkIn(path);
    const auto end = work.find('/');
    return end == std::string_view::npos ? std::string_view() : work.substr(end + 1);
}

std::size_t bodyBytesFor(std::string_view path) {
    if (path.find(kLargeBodyMarker) != std::string_view::npos) {
        return kLargeBodyBytes;
    }
    return timedWorkIn(path).empty() ? 0 : kTimedBodyBytes;
}

}  // namespace

Instance::Instance(adapters::EventLoop& loop, RandomSource& random, std::string name, std::string node_heartbeats,
                   std::string node_callers, const HeaderNames& names, InstanceListener& listener)
    : loop_(loop),
      random_(random),
      name_(std::move(name)),
      node_heartbeats_(std::move(node_heartbeats)),
      node_callers_(std::move(node_callers)),
      names_(names),
      listener_(listener),
      client_(loop, adapters::HttpLimits{}) {}

Instance::~Instance() {
    crash();
}

Result<void> Instance::start(const adapters::SocketAddress& address, const InstanceOptions& options) {
    crash();
    options_ = options;
    id_ = name_ + "-" + std::to_string(++starts_);
    sequence_ = 0;
    is_draining_ = false;
    drain_acknowledged_ = false;
    has_announced_leave_ = false;
    server_ = std::make_unique<adapters::HttpServer>(
        loop_, adapters::HttpLimits{}, kCallerTimeout,
        [this](HttpRequest request, const Exchange& exchange) { onRequest(std::move(request), exchange); });
    BOOST_LEAF_CHECK(server_->listen(address));
    sendHeartbeat();
    return {};
}

void Instance::crash() {
    heartbeat_timer_.reset();
    leave_timer_.reset();
    late_timer_.reset();
    post_.reset();
    queue_.clear();
    for (auto& [number, run] : std::exchange(runs_, {})) {
        if (run->is_running) {
            listener_.onRunCrashed(id_, run->id);
            listener_.onRunEnded(id_, run->id);
        }
    }
    running_ = 0;
    server_.reset();
}

// Requests ---------------------------------------------------------------------

bool Instance::rejectRequest(const HttpRequest& request, const Exchange& exchange) {
    const auto expected = request.headers.get(names_.expected_instance);
    const bool is_saturated = running_ >= options_.slots && queue_.size() >= options_.max_queue;
    const bool must_reject = is_saturated || (faults_.shed_share > 0 && random_.unit() < faults_.shed_share);
    if (!must_reject && (expected.empty() || expected == id_)) {
        return false;
    }
    HttpResponse rejection;
    rejection.status = must_reject ? kHttpServiceUnavailable : kHttpMisdirected;
    rejection.headers.set(names_.not_executed, "1");
    rejection.headers.set(names_.instance_id, id_);
    addSignals(&rejection);
    exchange->reply(std::move(rejection));
    return true;
}

void Instance::respondHealth(const Exchange& exchange) {
    HttpResponse response;
    response.status = is_draining_ || has_announced_leave_ ? kHttpServiceUnavailable : kHttpOk;
    response.headers.set(names_.instance_id, id_);
    exchange->reply(std::move(response));
}

void Instance::onRequest(HttpRequest request, const Exchange& exchange) {
    if (request.path == kHealthPath) {
        respondHealth(exchange);
        return;
    }
    listener_.onArrival(options_.service, id_, request);
    if (rejectRequest(request, exchange)) {
        return;
    }
    const auto number = ++last_number_;
    auto run = std::make_unique<Run>();
    run->id = request.headers.get(names_.request_id);
    run->request = std::move(request);
    run->exchange = exchange;
    run->arrived = loop_.now();
    const auto deadline = millisecondsIn(run->request.headers.get(names_.deadline_ms));
    if (deadline > 0 && !timedWorkIn(run->request.path).empty()) {
        run->deadline_timer =
            loop_.startTimer(std::chrono::milliseconds(deadline), [this, number] { endAtDeadline(number); });
    }
    runs_[number] = std::move(run);
    exchange->onClientDisconnected([this, number] { removeRun(number); });
    queue_.push_back(number);
    startNext();
}

void Instance::startNext() {
    while (running_ < options_.slots && !queue_.empty()) {
        const auto number = queue_.front();
        queue_.pop_front();
        if (runs_.contains(number)) {
            startRun(number);
        }
    }
}

void Instance::startRun(std::uint64_t number) {
    auto& run = *runs_.at(number);
    ++running_;
    run.is_running = true;
    listener_.onRunStarted(options_.service, id_, run.id);
    if (run.request.path.find(kCrashPathMarker) != std::string::npos) {
        crashLater(number);
        return;
    }
    if (faults_.hangs) {
        return;
    }
    const bool is_timed = !timedWorkIn(run.request.path).empty();
    const bool makes_call = is_timed ? !options_.chained_path.empty() && !chainedWorkIn(run.request.path).empty()
                                     : !options_.internal_host.empty();
    if (!makes_call) {
        startWork(number);
    } else {
        callInternal(number);
    }
}

void Instance::endAtDeadline(std::uint64_t number) {
    if (runs_.at(number)->is_running) {
        finishRun(number, kHttpGatewayTimeout);
        return;
    }
    const auto exchange = runs_.at(number)->exchange;
    HttpResponse rejection;
    rejection.status = kHttpServiceUnavailable;
    rejection.headers.set(names_.not_executed, "1");
    rejection.headers.set(names_.instance_id, id_);
    addSignals(&rejection);
    removeRun(number);
    exchange->reply(std::move(rejection));
}

void Instance::crashLater(std::uint64_t number) {
    runs_.at(number)->timer = loop_.startTimer(kCrashDelay, [this] {
        crash();
        if (on_crash_) {
            on_crash_();
        }
    });
}

/// Calls the internal service with the run's remaining deadline; the run fails if the call does.
void Instance::callInternal(std::uint64_t number) {
    auto& run = *runs_.at(number);
    const bool is_timed = !timedWorkIn(run.request.path).empty();
    Duration remaining = std::chrono::milliseconds(millisecondsIn(run.request.headers.get(names_.deadline_ms)));
    HttpRequest call;
    call.headers.set(names_.request_id, callId(run.id, id_));
    if (is_timed) {
        remaining -= loop_.now() - run.arrived;
        call.method = "POST";
        call.path = options_.chained_path + std::string(chainedWorkIn(run.request.path));
        call.body.assign(kTimedBodyBytes, '.');
        call.headers.set("Host", kChainedHost);
        call.headers.set(names_.deadline_ms, std::to_string(toMilliseconds(remaining)));
    } else {
        call.method = "GET";
        call.path = options_.internal_path;
        call.headers.set("Host", options_.internal_host);
        call.headers.set(names_.deadline_ms, std::to_string(toMilliseconds(remaining - kInternalCallMargin)));
    }
    listener_.onCallSent(id_, run.id, call);
    run.internal_call =
        client_.send(node_callers_, std::move(call), remaining, [this, number](const AttemptResult& result) {
            listener_.onCallAnswered(id_, result.response);
            listener_.onCallEnded(id_, runs_.at(number)->id, result);
            const bool is_served = result.outcome == AttemptOutcome::kResponded && result.response.status == kHttpOk;
            if (is_served) {
                startWork(number);
            } else {
                finishRun(number, kHttpInternalServerError);
            }
        });
}

void Instance::startWork(std::uint64_t number) {
    const auto timed_work = timedWorkIn(runs_.at(number)->request.path);
    if (!timed_work.empty()) {
        const auto work = std::chrono::milliseconds(millisecondsIn(timed_work.substr(kTimedWorkMarker.size())));
        runs_.at(number)->timer = loop_.startTimer(work, [this, number] { finishRun(number, kHttpOk); });
        return;
    }
    const double factor = (kMinWorkFactor + random_.unit()) * faults_.work_factor;
    const bool is_long = runs_.at(number)->request.path.find(kLongWorkMarker) != std::string::npos;
    const auto mean = is_long ? kLongWork : options_.work;
    const auto time = Duration(static_cast<std::int64_t>(static_cast<double>(mean.count()) * factor));
    runs_.at(number)->timer = loop_.startTimer(time, [this, number] { finishRun(number, kHttpOk); });
}

void Instance::finishRun(std::uint64_t number, int status) {
    const auto exchange = runs_.at(number)->exchange;
    const auto id = runs_.at(number)->id;
    const auto body_bytes = bodyBytesFor(runs_.at(number)->request.path);
    const bool drops_response = random_.unit() < faults_.lost_responses;
    const bool is_error = random_.unit() < faults_.error_share;
    removeRun(number);
    if (drops_response) {
        listener_.onRunAnswered(id_, id, {}, false);
        exchange->abort();
        return;
    }
    respond(exchange, is_error ? kHttpInternalServerError : status, id, body_bytes,
            random_.unit() >= faults_.unsigned_responses);
}

/// Frees the slot of a run that has completed or whose caller has disconnected.
void Instance::removeRun(std::uint64_t number) {
    const auto ended = runs_.extract(number);
    if (!ended.empty() && ended.mapped()->is_running) {
        --running_;
        listener_.onRunEnded(id_, ended.mapped()->id);
        startNext();
    }
}

void Instance::addSignals(HttpResponse* response) {
    listener_.onResponse(id_, faults_.signals);
    sim::writeSignals(faults_.signals, names_, &response->headers);
}

void Instance::respond(const Exchange& exchange, int status, const std::string& id, std::size_t body_bytes,
                       bool is_signed) {
    HttpResponse message;
    message.status = status;
    message.headers.set(names_.request_id, id);
    if (is_signed) {
        message.headers.set(names_.server_stamp, std::string(kStampPrefix) + id_);
    }
    message.body = id + " " + id_;
    message.body.resize(std::max(message.body.size(), body_bytes), '.');
    addSignals(&message);
    listener_.onRunAnswered(id_, id, message, is_signed);
    exchange->reply(std::move(message));
}

// Heartbeats -------------------------------------------------------------------

std::string Instance::nextHeartbeat() {
    const Json body = {
        {"Address", name_},
        {"Info",
         {{"Service", options_.service}, {"Version", "v1"}, {"Zone", options_.zone}, {"Slots", options_.slots}}},
        {"Status", {{"State", is_draining_ ? "draining" : "ready"}, {"CallSeq", ++sequence_}, {"ColdLeftMs", 0}}}};
    return body.dump();
}

void Instance::sendHeartbeat() {
    heartbeat_timer_ = loop_.startTimer(options_.heartbeat_interval, [this] { sendHeartbeat(); });
    const bool reports_draining = is_draining_;
    post(kHeartbeatPath + id_, nextHeartbeat(), [this, reports_draining](bool is_acknowledged) {
        if (reports_draining && is_acknowledged && !drain_acknowledged_) {
            drain_acknowledged_ = true;
            listener_.onDrainAcknowledged(id_);
            leave_timer_ = loop_.startTimer(kDrainServeTime, [this] { leave(); });
        }
    });
}

void Instance::post(const std::string& path, const std::string& body, std::function<void(bool)> done) {
    HttpRequest request;
    request.method = "POST";
    request.path = path;
    request.headers.set("Content-Type", "application/json");
    request.body = body;
    post_ = client_.send(node_heartbeats_, std::move(request), kPostTimeout,
                         [done = std::move(done)](const AttemptResult& result) {
                             done(result.outcome == AttemptOutcome::kResponded && result.response.status == kHttpOk);
                         });
}

void Instance::drain() {
    if (!isUp() || is_draining_) {
        return;
    }
    is_draining_ = true;
    leave_timer_ = loop_.startTimer(kMaxDrainTime, [this] { leave(); });
    sendHeartbeat();
}

void Instance::leave() {
    heartbeat_timer_.reset();
    post(kLeavePath + id_, "{}", [](bool) {});
    leave_timer_ = loop_.startTimer(kPostTimeout, [this] { crash(); });
}

void Instance::announceLeave() {
    if (!isUp() || is_draining_ || has_announced_leave_) {
        return;
    }
    has_announced_leave_ = true;
    heartbeat_timer_.reset();
    const auto late = nextHeartbeat();
    late_timer_ =
        loop_.startTimer(kLateHeartbeatDelay, [this, late] { post(kHeartbeatPath + id_, late, [](bool) {}); });
    post(kLeavePath + id_, "{}", [this](bool is_acknowledged) {
        if (is_acknowledged) {
            listener_.onDrainAcknowledged(id_);
        }
    });
    leave_timer_ = loop_.startTimer(kLeaveServeTime, [this] { crash(); });
}

}  // namespace dewcrank::standins
