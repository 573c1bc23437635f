/// @file
/// The only door to the instance beside a node: queue, repeat budget, one send, checked answer.
#pragma once

#include <sigc++/sigc++.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/base/header_names.h"
#include "src/base/http_message.h"
#include "src/base/weakening.h"
#include "src/decision/bottleneck_view.h"
#include "src/decision/call_graph.h"
#include "src/decision/instance_demand.h"
#include "src/decision/usual_deadlines.h"
#include "src/instance/local_instance.h"
#include "src/ports/back_end_port.h"
#include "src/ports/clock.h"
#include "src/ports/event_log.h"
#include "src/quarantine/quarantine.h"
#include "src/quarantine/run_tracker.h"
#include "src/relay/caller_census.h"
#include "src/relay/crash_watch.h"
#include "src/relay/instance_queue.h"
#include "src/relay/relay_message.h"
#include "src/relay/relay_repeats.h"
#include "src/relay/suspect_trials.h"

namespace dewcrank::relay {

/// Constants of a relay.
struct RelayKnobs {
    QueueKnobs queue;
    decision::RepeatBound repeats;
    /// Less time than this left: the request is not sent.
    Duration least_remaining = 5ms;
    /// Inner calls may wait for this part of the time that they have left: what was done for
    /// them would be wasted.
    double inner_wait_share = 0.6;
    /// Each step of priority counts like this much longer in the queue.
    Duration priority_step = 100ms;
    /// A suspect waits for its turn for this part of the time that it has left: its caller has lost one run
    /// already, and all that is left is to be tried in time.
    double trial_wait_share = 0.4;
    QueueKnobs trials;
    quarantine::TrialGateKnobs trial_gate;
    CrashWatchKnobs crash_watch;
    decision::DemandKnobs demand;
    decision::CallGraphKnobs call_graph;
    /// One slot in so many is left free, and at least one of an instance with so many slots.
    std::uint32_t free_slot_in = 16;
    std::uint32_t least_slots_to_leave_free = 8;
    Weakening weakening;  ///< Tests only.
};

/// Relays requests of this node's callers and of other nodes to the one instance.
class RelayService {
public:
    using Number = std::uint64_t;
    using Callback = std::function<void(RelayResult)>;

    RelayService(Clock& clock, EventLog& log, BackEndPort& instances, instance::LocalInstance& instance,
                 quarantine::Quarantine& quarantine, const HeaderNames& names, std::string instance_address,
                 CallerCensus::ShareOf share_of, RelayKnobs knobs);
    ~RelayService();
    RelayService(const RelayService&) = delete;
    RelayService& operator=(const RelayService&) = delete;

    /// The callback runs once, later on the loop.
    Number start(RelayRequest request, Callback callback);
    /// Gives a request up; its callback is not called any more.
    void cancel(Number number);
    /// @param path where the instance answers probes.
    void setProbePath(std::string path) { crash_watch_.setProbePath(std::move(path)); }
    /// Emitted with what ran when the instance has ended by itself.
    sigc::signal<void(const quarantine::CrashNotice&)>& signalCrashed() { return signal_crashed_; }
    /// Only what no other relay can take is let in from now on. @param until runs have to end by then.
    void stop(TimePoint until) { stops_at_ = until; }
    /// Nothing further is let in.
    void close() { is_closed_ = true; }
    /// @param view of the service's instances, by which suspects are let run.
    void setReplicaView(const std::function<fleet::Replicas()>& view);
    /// An instance of the service beside another node has ended by itself.
    void onInstanceEndedElsewhere() { trials_.gate().onInstanceCrashed(); }
    /// @param count of relays that take requests of the service now.
    void setRelayCount(std::size_t count) { repeats_.setRelayCount(count); }
    [[nodiscard]] std::size_t inFlight() const { return running_.size(); }
    [[nodiscard]] QueueLoad load() const { return queue_.load(); }
    [[nodiscard]] const decision::RepeatTotals& repeatTotals() const { return repeats_.totals(); }
    [[nodiscard]] decision::RepeatWindow repeatWindow() { return repeats_.window(); }
    /// Requests that came here after another relay had counted them.
    [[nodiscard]] std::uint64_t countedBefore() const { return repeats_.countedBefore(); }
    [[nodiscard]] std::size_t repeatSharers() { return repeats_.sharers(); }
    /// What the instance is asked for and can give.
    [[nodiscard]] decision::ServiceLoad serviceLoad();
    /// The calls that the instance makes, by the routes that it serves.
    [[nodiscard]] decision::CallGraph& callGraph() { return call_graph_; }

private:
    struct Running {
        RelayRequest request;  ///< Its HTTP request is moved out when it is sent.
        std::string id;        ///< Of the request.
        std::string life;      ///< Of the instance that it was sent to.
        quarantine::Fingerprint fingerprint = 0;
        Callback callback;
        std::uint64_t ticket = 0;
        bool is_trial = false;  ///< It is the one suspect that may run.
        bool is_let_in = false;
        TimePoint sent{};
        decision::CallGraph::RunNumber run = 0;  ///< 0 before it was sent.
        AttemptHandle attempt;
        TimerHandle refusal;
    };
    [[nodiscard]] std::uint32_t limitFor(std::uint32_t slots) const;
    [[nodiscard]] bool takes(const std::string& instance) const;
    [[nodiscard]] RelayReason refusalOf(const Running& running);
    QueueRequest placeInQueue(RelayRequest* request);
    void enterTrials(Number number);
    void onTrialDecision(Number number, bool may_run);
    void logPutOff(const Running& running);
    void enterQueue(Number number);
    void refuseLater(Number number, RelayReason reason);
    void onDecision(Number number, InstanceQueue::Decision decision);
    void send(Number number);
    void onAttemptEnded(Number number, AttemptResult result);
    /// An attempt whose connection broke; whether the instance has ended is being found out.
    struct Broken {
        Number number = 0;
        AttemptResult result;
    };
    void onInstanceChanged();
    void onCrashJudged(bool has_ended);
    void onInstanceCrashed(const std::string& life);
    void endRunsOf(const std::string& life);
    RelayResult judge(const Running& running, AttemptResult result);
    RelayResult judgeAnswer(const Running& running, HttpAnswer answer);
    void onRunEnded(const Running& running, bool is_whole);
    void finish(Number number, RelayResult result);
    void leaveQueues(Number number, const Running& running, Duration time);

    Clock& clock_;
    EventLog& log_;
    BackEndPort& instances_;
    instance::LocalInstance& instance_;
    quarantine::Quarantine& quarantine_;
    const HeaderNames& names_;
    std::string instance_address_;
    RelayKnobs knobs_;
    InstanceQueue queue_;
    SuspectTrials trials_;
    CrashWatch crash_watch_;
    quarantine::RunTracker runs_;
    std::vector<Broken> broken_;  ///< Until the watch has judged.
    // Lives of the instance, by name:
    std::string seen_life_;        ///< Whose runs are counted as lost if another one comes without its leave;
    std::uint64_t seen_born_ = 0;  ///< its start.
    std::string judged_life_;      ///< Whose connections have broken, while that is being judged.
    std::string ended_life_;       ///< The last one that was found to have ended by itself.
    bool is_leaving_ = false;      ///< The one seen has said so.
    sigc::signal<void(const quarantine::CrashNotice&)> signal_crashed_;
    CallerCensus census_;
    decision::InstanceDemand demand_;
    decision::CallGraph call_graph_;
    RelayRepeats repeats_;
    decision::UsualDeadlines deadlines_;
    std::optional<TimePoint> stops_at_;
    bool is_closed_ = false;
    Number last_number_ = 0;
    std::map<Number, std::unique_ptr<Running>> running_;
};

}  // namespace dewcrank::relay
