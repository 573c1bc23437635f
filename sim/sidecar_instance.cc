#include "sim/sidecar_instance.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <limits>
#include <string>
#include <utility>

#include "src/base/http_status.h"

namespace dewcrank::sim {

namespace {
constexpr Duration kHalfLeaveDelay = 2s;  ///< Half of the time from drain() to leaving.
constexpr Duration kMaxHeartbeatDelay = 4s;
constexpr Duration kInternalTimeout = 1s;
constexpr Duration kWallClockAtEpoch = std::chrono::hours(24 * 365);  ///< Wall-clock time at virtual time zero.
const std::string kProbePath = "/health";
}  // namespace

void recordPassedSignals(const HttpResponse& response, const std::string& entry, TimePoint now,
                         InstanceRecords* records) {
    const HeaderNames names;
    const auto signals = signalsIn(response, names);
    if (signals != InstanceSignals{}) {
        records->passed_signals.push_back({entry, std::string(response.headers.get(names.server_stamp)), now, signals});
    }
}

SidecarInstance::SidecarInstance(EventQueue& queue, Network& network, RandomSource& random, const std::string& zone,
                                 std::string address, std::string node_address, NodeLink node, InstanceRecords& records)
    : queue_(queue),
      network_(network),
      random_(random),
      host_(queue, zone),
      address_(std::move(address)),
      node_address_(std::move(node_address)),
      node_(std::move(node)),
      records_(records) {}

void SidecarInstance::start(const InstanceOptions& options) {
    host_.restart();
    options_ = options;
    ++records_.starts;
    id_ = address_ + (options.keeps_id ? "" : "/" + std::to_string(records_.starts));
    incarnation_name_ = id_ + "#" + std::to_string(records_.starts);
    start_ms_ =
        static_cast<std::uint64_t>(toMilliseconds(kWallClockAtEpoch + queue_.now().time_since_epoch() + clock_step_));
    sequence_ = 0;
    fresh_address_ = 0;
    is_draining_ = false;
    has_announced_leave_ = false;
    drain_acknowledged_ = {};
    network_.addServer(address_, Server{&host_,
                                        [this](HttpRequest request, Server::Reply reply) {
                                            return handle(std::move(request), std::move(reply));
                                        },
                                        [this](std::uint64_t run_id) {
                                            const auto cancelled = running_.extract(run_id);
                                            if (!cancelled.empty()) {
                                                records_.runs[cancelled.mapped().record_index].ended = queue_.now();
                                            }
                                        },
                                        [this] { return maxConnections(); }});
    sendHeartbeat();
}

void SidecarInstance::crash() {
    for (auto& [run_id, running] : running_) {
        records_.runs[running.record_index].ended = queue_.now();
    }
    running_.clear();
    heartbeat_timer_.reset();
    leave_timer_.reset();
    id_.clear();
    host_.kill();
    network_.onHostKilled(host_);
}

void SidecarInstance::drain() {
    is_draining_ = true;
    sendHeartbeat();
    leave_timer_ = host_.startTimer(kHalfLeaveDelay * 2, [this] { leave(); });
}

void SidecarInstance::leave() {
    node_.leave(id_, start_ms_, incarnation_name_, [] {});
    crash();
}

void SidecarInstance::sendLateHeartbeats(int count, Duration late_after) {
    heartbeat_timer_.reset();
    for (int index = 0; index < count; ++index) {
        deliver(nextHeartbeat(), late_after + index * options_.heartbeat_interval);
    }
}

void SidecarInstance::announceDraining(Duration serves_on) {
    is_draining_ = true;
    heartbeat_timer_.reset();
    deliver(nextHeartbeat(), Duration::zero());
    leave_timer_ = host_.startTimer(serves_on, [this] { crash(); });
}

void SidecarInstance::announceLeave(Duration serves_on) {
    heartbeat_timer_.reset();
    has_announced_leave_ = true;
    node_.leave(id_, start_ms_, incarnation_name_, [this] { drain_acknowledged_ = queue_.now(); });
    leave_timer_ = host_.startTimer(serves_on, [this] { crash(); });
}

instance::Heartbeat SidecarInstance::nextHeartbeat() {
    instance::Heartbeat heartbeat;
    heartbeat.id = id_;
    heartbeat.start_ms = options_.reports_start_time ? start_ms_ : 0;
    heartbeat.service = options_.service;
    heartbeat.slots = options_.slots;
    heartbeat.is_draining = is_draining_;
    heartbeat.sequence = ++sequence_;
    return heartbeat;
}

void SidecarInstance::sendHeartbeat() {
    const auto heartbeat = nextHeartbeat();
    const bool is_late = random_.unit() < options_.late_heartbeat_share;
    const auto delay =
        is_late
            ? Duration(static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(kMaxHeartbeatDelay.count()))))
            : Duration::zero();
    deliver(heartbeat, delay);
    heartbeat_timer_ = host_.startTimer(options_.heartbeat_interval, [this] { sendHeartbeat(); });
}

/// A delayed heartbeat is delivered also after the instance has stopped.
void SidecarInstance::deliver(const instance::Heartbeat& heartbeat, Duration delay) {
    const bool is_late = delay > Duration::zero();
    const auto address = fresh_address_;
    queue_.schedule(queue_.now() + delay, nullptr, [=, this, incarnation_name = incarnation_name_] {
        node_.heartbeat(heartbeat, address, incarnation_name, [=, this](FreshAddress named) {
            if (incarnation_name != incarnation_name_) {
                return;
            }
            if (heartbeat.is_draining && drain_acknowledged_ == TimePoint{}) {
                drain_acknowledged_ = queue_.now();
            }
            fresh_address_ = is_late ? fresh_address_ : named;  // The response to a late one is not awaited any more.
        });
    });
}

std::size_t SidecarInstance::maxConnections() const {
    const bool is_full = running_.size() >= options_.slots - options_.slots / 10;
    if (is_full && options_.max_connections_full > 0) {
        return options_.max_connections_full;
    }
    return options_.max_connections > 0 ? options_.max_connections : std::numeric_limits<std::size_t>::max();
}

std::uint64_t SidecarInstance::handle(HttpRequest request, Server::Reply reply) {
    const auto run_id = ++last_run_id_;
    HttpResponse response;
    if (request.path == kProbePath) {
        const bool says_leaving = is_draining_ || has_announced_leave_ || options_.denies_health;
        response.status = says_leaving ? kHttpServiceUnavailable : kHttpOk;
        response.headers.set(names_.instance_id, id_);
        reply(std::move(response));
        return run_id;
    }
    const std::string id(request.headers.get(names_.request_id));
    const auto internal_call = records_.internal_calls.find(id);
    records_.arrivals.push_back(
        {id, options_.service, queue_.now(), incarnation_name_,
         internal_call == records_.internal_calls.end() ? RequestOrigin{} : internal_call->second});
    if (request.headers.get(names_.expected_instance) != id_) {
        response.status = kHttpMisdirected;
        response.headers.set(names_.instance_id, id_);
        addSignals(&response);
        reply(std::move(response));
        return run_id;
    }
    if (running_.size() >= options_.slots || (options_.shed_share > 0 && random_.unit() < options_.shed_share)) {
        response.status = kHttpServiceUnavailable;
        response.headers.set(names_.not_executed, "1");
        addSignals(&response);
        reply(std::move(response));
        return run_id;
    }
    auto& running = running_[run_id];
    running.request = std::move(request);
    running.reply = std::move(reply);
    running.record_index = records_.runs.size();
    records_.runs.push_back({id, incarnation_name_, options_.service, running.request.path, queue_.now(),
                             TimePoint::max(), std::string(running.request.headers.get(names_.tenant)),
                             running.request.headers.has("Authorization")});
    const auto deadline_ms = running.request.headers.get(names_.deadline_ms);
    running.deadline = queue_.now() + std::chrono::milliseconds(std::atoi(std::string(deadline_ms).c_str()));
    if (options_.internal_host.empty()) {
        startWork(run_id);
    } else {
        callInternalRoute(run_id, options_.internal_calls);
    }
    return run_id;
}

void SidecarInstance::crashAndRestart() {
    const auto restart_options = options_;
    crash();
    queue_.schedule(queue_.now() + restart_options.restart_delay, nullptr, [this, restart_options] {
        if (!isUp()) {
            start(restart_options);
        }
    });
}

void SidecarInstance::startWork(std::uint64_t run_id) {
    if (options_.crash_paths.contains(running_[run_id].request.path)) {
        running_[run_id].timer = host_.startTimer(options_.crash_delay, [this] { crashAndRestart(); });
        return;
    }
    const double factor = (0.5 + random_.unit()) * options_.pace / options_.speed;
    const bool is_slow = options_.slow_share > 0 && random_.unit() < options_.slow_share;
    const auto time =
        is_slow ? options_.slow_time
                : Duration(static_cast<std::int64_t>(static_cast<double>(options_.work_time.count()) * factor));
    running_[run_id].timer = host_.startTimer(time, [this, run_id] { finishRun(run_id); });
}

void SidecarInstance::callInternalRoute(std::uint64_t run_id, int calls_left) {
    if (calls_left == 0) {
        startWork(run_id);
        return;
    }
    auto& running = running_[run_id];
    const auto timeout = std::min(options_.internal_deadline, running.deadline - queue_.now());
    HttpRequest internal;
    internal.method = "GET";
    internal.path = "/inner/x";
    internal.headers.set("Host", options_.internal_host);
    internal.headers.set(names_.request_id, std::string(running.request.headers.get(names_.request_id)) + "+" +
                                                std::to_string(calls_left));
    records_.internal_calls[std::string(internal.headers.get(names_.request_id))] = {node_address_, queue_.now()};
    internal.headers.set(names_.deadline_ms, std::to_string(std::max<std::int64_t>(1, toMilliseconds(timeout))));
    running.internal_call = network_.call(
        host_, node_address_, std::move(internal), std::max<Duration>(timeout, 1ms),
        [this, run_id, calls_left](const AttemptResult& result) {
            recordPassedSignals(result.response, node_address_, queue_.now(), &records_);
            const bool is_ok = result.outcome == AttemptOutcome::kResponded && result.response.status == kHttpOk;
            if (!is_ok && options_.fails_with_internal_call) {
                failRun(run_id);
            } else {
                callInternalRoute(run_id, calls_left - 1);
            }
        });
}

HttpResponse SidecarInstance::makeResponse(const HttpRequest& request, int status) {
    const auto id = std::string(request.headers.get(names_.request_id));
    HttpResponse response;
    response.status = status;
    response.headers.set(names_.request_id, id);
    response.headers.set(names_.server_stamp, incarnation_name_);
    response.body = id + " by " + options_.service;
    addSignals(&response);
    return response;
}

void SidecarInstance::addSignals(HttpResponse* response) {
    const InstanceSignals signals{options_.rate_limit, options_.says_leaving};
    auto& changes = records_.signals[incarnation_name_];
    if (changes.empty() ? signals != InstanceSignals{} : signals != changes.back().signals) {
        changes.push_back({queue_.now(), signals});
    }
    writeSignals(signals, names_, &response->headers);
    if (options_.names_load) {
        const auto pace_percent = std::lround(100 * options_.pace);
        response->headers.set(names_.server_load, std::to_string(running_.size()) + ",0," +
                                                      std::to_string(options_.slots) + "," +
                                                      std::to_string(pace_percent));
    }
}

void SidecarInstance::failRun(std::uint64_t run_id) {
    auto ended = running_.extract(run_id);
    auto& running = ended.mapped();
    records_.runs[running.record_index].ended = queue_.now();
    running.reply(makeResponse(running.request, kHttpInternalServerError));
}

void SidecarInstance::finishRun(std::uint64_t run_id) {
    auto ended = running_.extract(run_id);
    auto& running = ended.mapped();
    records_.runs[running.record_index].ended = queue_.now();
    if (random_.unit() < options_.lost_response_share) {
        return;  // The response is lost.
    }
    const bool has_failed = random_.unit() < options_.error_share;
    auto response = makeResponse(running.request, has_failed ? kHttpInternalServerError : kHttpOk);
    if (random_.unit() < options_.corrupted_response_share) {
        response.headers.remove(names_.server_stamp);
        response.body = "spoiled";
    }
    running.reply(std::move(response));
}

}  // namespace dewcrank::sim
