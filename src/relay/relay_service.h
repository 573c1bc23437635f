/// @file
/// Access to the co-located instance: admission queue, retry budget, one attempt per request, and validation of the
/// response.
#pragma once

#include <sigc++/sigc++.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/base/disabled_mechanisms.h"
#include "src/base/header_names.h"
#include "src/base/http_message.h"
#include "src/decision/bottleneck_view.h"
#include "src/decision/call_graph.h"
#include "src/decision/instance_demand.h"
#include "src/decision/response_times.h"
#include "src/decision/usual_deadlines.h"
#include "src/instance/local_instance.h"
#include "src/ports/clock.h"
#include "src/ports/event_log.h"
#include "src/ports/http_transport.h"
#include "src/ports/reconnecting_sender.h"
#include "src/quarantine/quarantine.h"
#include "src/quarantine/run_tracker.h"
#include "src/relay/connection_control.h"
#include "src/relay/crash_detector.h"
#include "src/relay/instance_queue.h"
#include "src/relay/internal_route_detector.h"
#include "src/relay/relay_message.h"
#include "src/relay/relay_retries.h"
#include "src/relay/response_kind.h"
#include "src/relay/signal_handler.h"
#include "src/relay/suspect_trials.h"

namespace dewcrank::relay {

/// Constants of a relay.
struct RelayKnobs {
    QueueKnobs queue;
    decision::RetryLimit retry_limit;  ///< Limit of the retries of the service.
    Duration min_remaining = 5ms;      ///< A request with less time than this before its deadline is not sent.
    double internal_wait_ratio = 0.6;  ///< Part of its remaining time for which an internal call may wait.
    Duration priority_step = 100ms;  ///< Added to the virtual deadline for each step of priority below the most urgent.
    double trial_wait_ratio = 0.4;   ///< Part of its remaining time for which a suspect may wait for its trial.
    QueueKnobs trials;               ///< Queue of the suspects.
    quarantine::TrialGateKnobs trial_gate;
    CrashDetectorKnobs crash_detector;
    decision::DemandKnobs demand;
    decision::CallGraphKnobs call_graph;
    std::uint32_t slots_per_free_slot = 16;     ///< One slot of this many is left free.
    std::uint32_t min_slots_for_free_slot = 8;  ///< An instance with at least this many slots has one left free.
    bool retry_admission = false;               ///< `OverloadFeatures::retry_admission`.
    bool samples_calls = false;                 ///< `OverloadFeatures::call_samples`.
    Duration stop_margin = 200ms;   ///< A stopping relay sends only what is expected to end this long before it does.
    bool rejects_too_late = false;  ///< A request that could only start too late to complete is rejected.
    DisabledMechanisms disabled;    ///< Tests only.
};

/// Everything sent to the instance since the start.
struct SendTotals {
    std::uint64_t first_attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t probes = 0;
};

/// Forwards requests from this node and from other nodes to the co-located instance. Rejects what the instance cannot
/// run in time, grants retries, and detects crashes of the instance.
class RelayService {
public:
    using CallId = std::uint64_t;
    using Callback = std::function<void(RelayResult)>;

    RelayService(Clock& clock, EventLog& log, HttpTransport& instances, instance::LocalInstance& instance,
                 quarantine::Quarantine& quarantine, const HeaderNames& names, std::string instance_address,
                 InternalRouteDetector::HostShare host_share, RelayKnobs knobs);
    ~RelayService();
    RelayService(const RelayService&) = delete;
    RelayService& operator=(const RelayService&) = delete;

    /// Forwards a request. The callback runs once, from the event loop after this call has returned.
    /// @return an id for `cancel`.
    CallId start(RelayRequest request, Callback callback);
    /// Cancels a call; its callback is not called.
    void cancel(CallId id);
    /// @param path of the health endpoint of the instance, which the crash detector probes.
    void setProbePath(std::string path) { crash_detector_.setProbePath(std::move(path)); }
    /// Emitted after a crash of the instance with the requests that it was running.
    sigc::signal<void(const quarantine::CrashNotice&)>& signalCrashed() { return signal_crashed_; }
    /// Begins to drain: from now on only requests that no other relay can accept are admitted.
    /// @param until latest deadline of the runs.
    void stop(TimePoint until) { stop_deadline_ = until; }
    /// Rejects all further requests.
    void close() { is_closed_ = true; }
    /// @param view returns the current instances of the service, from which the relay decides whether suspects may run.
    void setReplicaView(const std::function<fleet::Replicas()>& view);
    /// Call when an instance of the service at another node has crashed.
    void onRemoteCrash() { trials_.gate().onInstanceCrashed(); }
    /// @param count number of relays that accept requests of the service.
    void setRelayCount(std::size_t count) { retries_.setRelayCount(count); }
    /// @return the number of calls that are queued or running.
    [[nodiscard]] std::size_t inFlight() const { return calls_.size(); }
    [[nodiscard]] QueueLoad load() const { return queue_.load(); }
    [[nodiscard]] SendTotals sendTotals() const;
    /// @return what the instance has said about itself in its responses.
    [[nodiscard]] const SignalHandler& signals() const { return signals_; }
    /// Number of runs that this node has ended at the instance before their deadlines, by reason.
    [[nodiscard]] const std::map<std::string, std::uint64_t>& runCuts() const { return run_cuts_; }
    /// @return an event named `name` for each unfinished call, with its state; `limit` at most.
    [[nodiscard]] std::vector<Event> describeUnfinished(std::string_view name, std::size_t limit) const;
    [[nodiscard]] const decision::RetryTotals& retryTotals() const { return retries_.totals(); }
    [[nodiscard]] decision::RetryWindow retryWindow() { return retries_.window(); }
    /// Total of first attempts that another relay had already counted for its retry budget.
    [[nodiscard]] std::uint64_t countedElsewhere() const { return retries_.countedElsewhere(); }
    /// Number of relays by which the slack of the retry budget is divided.
    [[nodiscard]] std::size_t retryRelayCount() { return retries_.relayCount(); }
    /// @return the demand for the instance and its capacity, in slots. All zero while the instance is draining or gone;
    /// while its state is unknown, there is hardly any capacity.
    /// @param reporting the request whose result carries the load, if any.
    [[nodiscard]] decision::ServiceLoad serviceLoad(const decision::CountedArrival& reporting = {});
    /// @return the learned calls that the instance makes, by the routes that it serves.
    [[nodiscard]] decision::CallGraph& callGraph() { return call_graph_; }

private:
    /// A request from its start until its result.
    struct Call {
        RelayRequest request;        ///< Without its HTTP request once that was sent.
        std::string request_id;      ///< From the HTTP request.
        TimePoint entry_deadline{};  ///< As the entry gave it; that of `request` may be earlier.
        std::string incarnation;     ///< Name of the incarnation to which the request was sent.
        InstanceNotice notice;       ///< About this incarnation.
        quarantine::Fingerprint fingerprint = 0;
        Callback callback;
        QueueRequest queue_request;   ///< Valid from when the call has entered the queue.
        int connection_failures = 0;  ///< Connections that could not be opened for the call.
        bool is_probe = false;        ///< The instance was not known to be up when the call arrived.
        std::uint64_t ticket = 0;     ///< Ticket in the queue; 0 if the call does not wait there.
        bool is_trial = false;        ///< The request is the one suspect that may run.
        bool is_admitted = false;     ///< The call holds a slot of the instance.
        TimePoint sent_at{};
        decision::CountedArrival counted;    ///< As demand for the instance.
        decision::CallGraph::RunId run = 0;  ///< 0 before the request is sent.
        AttemptHandle attempt;
        TimerHandle rejection_timer;  ///< Delivers a rejection from the event loop.
    };
    /// @return how many of the slots may be used at once.
    [[nodiscard]] std::uint32_t limitFor(std::uint32_t slots) const;
    /// @return whether the call may be sent to the instance.
    [[nodiscard]] bool accepts(const Call& call) const;
    /// @return whether the call can show that the instance is up, whose state is unknown.
    /// @return false if the relay is stopping, and the run of the call may end after that.
    [[nodiscard]] bool endsBeforeStop(const Call& call) const;
    [[nodiscard]] bool canProbe(const Call& call) const;
    void countRejected(Call* call);
    /// Takes a retry from the budget if the call is one. @return kNone if the call may proceed.
    [[nodiscard]] RelayReason rejectionReason(const Call& call);
    /// @return true if the request is a call of a tree in progress, whose retries have precedence.
    [[nodiscard]] bool isOfTreeInProgress(const RelayRequest& request) const {
        return knobs_.retry_admission && route_detector_.isInternal(request.route);
    }
    QueueRequest queueRequestFor(RelayRequest* request);
    void enterTrials(CallId id);
    void onTrialDecision(CallId id, bool may_run);
    void logDeferredTrial(const Call& call);
    void enterQueue(CallId id);
    void rejectLater(CallId id, RelayReason reason);
    void onQueueDecision(CallId id, InstanceQueue::Decision decision);
    void send(CallId id);
    TimePoint beginRun(Call* call);
    void onAttemptEnded(CallId id, AttemptResult result);
    void onConnectionFailed(CallId id, AttemptResult result);
    void returnToQueue(CallId id, HttpRequest request);
    void rejectUnconnected();
    [[nodiscard]] std::size_t runCount() const;
    /// An attempt whose connection was lost; its result waits for the decision of the crash detector.
    struct LostAttempt {
        CallId id = 0;
        AttemptResult result;
    };
    void readSignals(Call* call, const HttpResponse& response);
    void onInstanceChanged();
    void onIncarnationChanged(const std::string& incarnation);
    void onCrashDecided(bool has_crashed);
    void onCrash(const std::string& incarnation);
    void failRunsOf(const std::string& incarnation);
    void onInstanceResponded(const Call& call, ResponseKind kind);
    /// Reports a run that this node has ended at the instance, unless its deadline had come.
    /// @param cause as in AttemptResult::reason, or "cancelled".
    void reportRunCut(const Call& call, std::string_view cause);
    RelayResult resultOf(const Call& call, AttemptResult result);
    RelayResult resultOfResponse(const Call& call, HttpResponse response);
    void onRunEnded(const Call& call, bool is_complete);
    [[nodiscard]] InstanceNotice noticeFor(const Call& call) const;
    void finish(CallId id, RelayResult result);
    void leaveQueues(CallId id, const Call& call, Duration time);

    Clock& clock_;
    EventLog& log_;
    ReconnectingSender instances_;
    instance::LocalInstance& instance_;
    quarantine::Quarantine& quarantine_;
    const HeaderNames& names_;
    std::string instance_address_;
    RelayKnobs knobs_;
    InstanceQueue queue_;
    SuspectTrials trials_;
    CrashDetector crash_detector_;
    ConnectionControl connections_;
    quarantine::RunTracker runs_;
    SignalHandler signals_;
    std::map<std::string, std::uint64_t> run_cuts_;  ///< By reason.
    SendTotals send_totals_;                         ///< Without the probes, which the crash detector counts.
    std::vector<LostAttempt> lost_attempts_;         ///< Until the crash detector has decided.
    std::string incarnation_;                        ///< Name of the current incarnation.
    std::uint64_t start_ms_ = 0;                     ///< Start time of the current incarnation; 0 if unknown.
    std::string suspected_incarnation_;  ///< Incarnation that lost connections; the crash detector decides on it.
    std::string crashed_incarnation_;    ///< Incarnation that crashed last; empty once the instance is ready again.
    bool is_leaving_ = false;            ///< The current incarnation has announced its shutdown.
    sigc::signal<void(const quarantine::CrashNotice&)> signal_crashed_;
    InternalRouteDetector route_detector_;
    decision::InstanceDemand demand_;
    decision::CallGraph call_graph_;
    decision::ResponseTimes run_times_;  ///< Of runs at the instance.
    RelayRetries retries_;
    decision::UsualDeadlines deadlines_;
    std::optional<TimePoint> stop_deadline_;
    bool is_closed_ = false;
    std::size_t probes_ = 0;  ///< Calls with `is_probe`.
    CallId last_id_ = 0;
    std::map<CallId, std::unique_ptr<Call>> calls_;
};

}  // namespace dewcrank::relay
