#include "sim/sidecar_instance.h"

#include <algorithm>
#include <cstdlib>
#include <string>
#include <utility>

#include "src/base/http_status.h"

namespace dewcrank::sim {

namespace {
constexpr Duration kServesOn = 2s;  ///< After the acknowledged announcement of its end.
constexpr Duration kLatestBeat = 4s;
constexpr Duration kInnerTimeout = 1s;
constexpr Duration kFirstDay = std::chrono::hours(24 * 365);  ///< Of virtual time, as machines tell it.
const std::string kProbePath = "/health";
}  // namespace

SidecarInstance::SidecarInstance(EventQueue& queue, Network& network, RandomSource& random, const std::string& zone,
                                 std::string address, std::string node_address, InstanceNode node,
                                 InstanceRecords& records)
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
    life_ = id_ + "#" + std::to_string(records_.starts);
    born_ms_ = static_cast<std::uint64_t>(toMilliseconds(kFirstDay + queue_.now().time_since_epoch() + clock_step_));
    sequence_ = 0;
    is_draining_ = false;
    drain_acknowledged_ = {};
    network_.addServer(address_, Server{&host_,
                                        [this](HttpRequest request, Server::Reply reply) {
                                            return handle(std::move(request), std::move(reply));
                                        },
                                        [this](std::uint64_t number) {
                                            const auto gone = running_.extract(number);
                                            if (!gone.empty()) {
                                                records_.runs[gone.mapped().run].ended = queue_.now();
                                            }
                                        }});
    beat();
}

void SidecarInstance::crash() {
    for (auto& [number, running] : running_) {
        records_.runs[running.run].ended = queue_.now();
    }
    running_.clear();
    beat_timer_.reset();
    leave_timer_.reset();
    id_.clear();
    host_.kill();
    network_.onHostKilled(host_);
}

void SidecarInstance::drain() {
    is_draining_ = true;
    beat();
    leave_timer_ = host_.startTimer(kServesOn * 2, [this] { leave(); });
}

void SidecarInstance::leave() {
    node_.leave(id_, born_ms_, life_);
    crash();
}

void SidecarInstance::beat() {
    instance::Heartbeat heartbeat;
    heartbeat.id = id_;
    heartbeat.start_ms = options_.tells_start ? born_ms_ : 0;
    heartbeat.service = options_.service;
    heartbeat.slots = options_.slots;
    heartbeat.is_draining = is_draining_;
    heartbeat.sequence = ++sequence_;
    const bool is_late = random_.unit() < options_.late_beats;
    const auto delay =
        is_late ? Duration(static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(kLatestBeat.count()))))
                : Duration::zero();
    // A late heartbeat arrives even when its sender is gone by then.
    queue_.schedule(queue_.now() + delay, nullptr, [this, heartbeat, life = life_] {
        const bool is_acknowledged = node_.heartbeat(heartbeat, life);
        if (is_acknowledged && heartbeat.is_draining && life == life_ && drain_acknowledged_ == TimePoint{}) {
            drain_acknowledged_ = queue_.now();
        }
    });
    beat_timer_ = host_.startTimer(options_.heartbeat_interval, [this] { beat(); });
}

std::uint64_t SidecarInstance::handle(HttpRequest request, Server::Reply reply) {
    const auto number = ++last_number_;
    HttpResponse refusal;
    if (request.path == kProbePath) {
        refusal.status = kHttpOk;
        refusal.headers.set(names_.instance_id, id_);
        reply(std::move(refusal));
        return number;
    }
    const std::string id(request.headers.get(names_.request_id));
    records_.arrivals.push_back({id, options_.service, queue_.now()});
    if (request.headers.get(names_.expected_instance) != id_) {
        refusal.status = kHttpMisdirected;
        refusal.headers.set(names_.instance_id, id_);
        reply(std::move(refusal));
        return number;
    }
    if (running_.size() >= options_.slots || (options_.sheds > 0 && random_.unit() < options_.sheds)) {
        refusal.status = kHttpServiceUnavailable;
        refusal.headers.set(names_.not_executed, "1");
        reply(std::move(refusal));
        return number;
    }
    auto& running = running_[number];
    running.request = std::move(request);
    running.reply = std::move(reply);
    running.run = records_.runs.size();
    records_.runs.push_back({id, life_, options_.service, running.request.path, queue_.now(), TimePoint::max(),
                             std::string(running.request.headers.get(names_.tenant)),
                             running.request.headers.has("Authorization")});
    const auto given = running.request.headers.get(names_.deadline_ms);
    running.deadline = queue_.now() + std::chrono::milliseconds(std::atoi(std::string(given).c_str()));
    if (options_.inner_host.empty()) {
        work(number);
    } else {
        callNext(number, options_.inner_calls);
    }
    return number;
}

void SidecarInstance::crashAndRestart() {
    const auto again = options_;
    crash();
    queue_.schedule(queue_.now() + again.restart_after, nullptr, [this, again] {
        if (!isUp()) {
            start(again);
        }
    });
}

void SidecarInstance::work(std::uint64_t number) {
    if (options_.crash_paths.contains(running_[number].request.path)) {
        running_[number].timer = host_.startTimer(options_.crash_after, [this] { crashAndRestart(); });
        return;
    }
    const double factor = 0.5 + random_.unit();
    const auto time = Duration(static_cast<std::int64_t>(static_cast<double>(options_.work.count()) * factor));
    running_[number].timer = host_.startTimer(time, [this, number] { finishRun(number); });
}

void SidecarInstance::callNext(std::uint64_t number, int calls_left) {
    if (calls_left == 0) {
        work(number);
        return;
    }
    auto& running = running_[number];
    const auto given = std::min(options_.inner_deadline, running.deadline - queue_.now());
    HttpRequest inner;
    inner.method = "GET";
    inner.path = "/inner/x";
    inner.headers.set("Host", options_.inner_host);
    inner.headers.set(names_.request_id,
                      std::string(running.request.headers.get(names_.request_id)) + "+" + std::to_string(calls_left));
    inner.headers.set(names_.deadline_ms, std::to_string(std::max<std::int64_t>(1, toMilliseconds(given))));
    running.inner = network_.call(host_, node_address_, std::move(inner), std::max<Duration>(given, 1ms),
                                  [this, number, calls_left](const AttemptResult& result) {
                                      const bool is_ok = result.outcome == AttemptOutcome::kResponded &&
                                                         result.response.status == kHttpOk;
                                      if (!is_ok && options_.fails_with_calls) {
                                          failRun(number);
                                      } else {
                                          callNext(number, calls_left - 1);
                                      }
                                  });
}

HttpResponse SidecarInstance::answerOf(const HttpRequest& request, int status) const {
    const auto id = std::string(request.headers.get(names_.request_id));
    HttpResponse response;
    response.status = status;
    response.headers.set(names_.request_id, id);
    response.headers.set(names_.server_stamp, id_);
    response.body = id + " by " + options_.service;
    return response;
}

void SidecarInstance::failRun(std::uint64_t number) {
    auto ended = running_.extract(number);
    auto& running = ended.mapped();
    records_.runs[running.run].ended = queue_.now();
    running.reply(answerOf(running.request, kHttpInternalServerError));
}

void SidecarInstance::finishRun(std::uint64_t number) {
    auto ended = running_.extract(number);
    auto& running = ended.mapped();
    records_.runs[running.run].ended = queue_.now();
    if (random_.unit() < options_.answer_lost) {
        return;  // The caller hears nothing.
    }
    const bool has_failed = random_.unit() < options_.errors;
    auto response = answerOf(running.request, has_failed ? kHttpInternalServerError : kHttpOk);
    if (random_.unit() < options_.spoiled) {
        response.headers.remove(names_.server_stamp);
        response.body = "spoiled";
    }
    running.reply(std::move(response));
}

}  // namespace dewcrank::sim
