/// @file
/// The only door to the instance beside a node: queue, repeat budget, one send, checked answer.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/base/header_names.h"
#include "src/base/http_message.h"
#include "src/base/weakening.h"
#include "src/decision/bottleneck_view.h"
#include "src/decision/call_graph.h"
#include "src/decision/instance_demand.h"
#include "src/decision/repeat_budget.h"
#include "src/decision/usual_deadlines.h"
#include "src/instance/local_instance.h"
#include "src/ports/back_end_port.h"
#include "src/ports/clock.h"
#include "src/ports/event_log.h"
#include "src/quarantine/fingerprint.h"
#include "src/relay/caller_census.h"
#include "src/relay/instance_queue.h"

namespace dewcrank::relay {

/// What an entry node asks a relay for.
struct RelayRequest {
    HttpRequest request;
    std::string instance;         ///< The only instance that may run it.
    bool is_repeat = false;       ///< An instance was sent this request before.
    bool is_counted = false;      ///< Another relay has counted it among its service's requests.
    bool is_last_choice = false;  ///< No other relay will be asked if this one refuses.
    std::string route;            ///< Its name in the table.
    std::uint32_t priority = 0;   ///< 0 is the most urgent.
    TimePoint deadline{};         ///< The instance must have answered by then.
    Duration longest_wait{};      ///< In the queue; inner calls may wait longer.
    decision::Lineage lineage;    ///< Taken over from the run that it is a call of.
};

/// How a relayed request ended.
enum class RelayOutcome {
    kAnswered,
    kNotRun,   ///< Proved: it was not sent, or the instance has said so.
    kUnknown,  ///< It was sent, and there is no whole answer.
};

/// Why a request was not run, or has no answer.
enum class RelayReason {
    kNone,
    kOtherInstance,  ///< The instance asked for is not here any more.
    kDraining,
    kStopping,
    kRepeatBudget,
    kQueueTooLong,
    kQueueTimeout,
    kDeadline,
    kNotConnected,
    kInstanceRefused,  ///< The instance has said that it did not run it.
    kNoWholeAnswer,
    kRelayLost,  ///< The relay did not answer the entry.
};
const char* reasonText(RelayReason reason);
/// True if a relay that refuses for this reason has counted the request among its service's.
[[nodiscard]] bool isCounted(RelayReason reason);

struct RelayResult {
    RelayOutcome outcome = RelayOutcome::kNotRun;
    RelayReason reason = RelayReason::kNone;
    bool was_offered = false;   ///< An instance has been sent it.
    bool failed_below = false;  ///< The instance answered with a failure, as one of its own calls had failed.
    HttpAnswer answer;          ///< Only with kAnswered.
    QueueLoad load;
    bool has_load = false;
    decision::RouteReport report;  ///< Counts if `has_load`.
};

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
                 const HeaderNames& names, std::string instance_address, CallerCensus::ShareOf share_of,
                 RelayKnobs knobs);
    ~RelayService();
    RelayService(const RelayService&) = delete;
    RelayService& operator=(const RelayService&) = delete;

    /// The callback runs once, later on the loop.
    Number start(RelayRequest request, Callback callback);
    /// Gives a request up; its callback is not called any more.
    void cancel(Number number);
    /// Nothing further is let in.
    void stop() { is_stopping_ = true; }
    /// @param count of relays that share the service's repeat budget.
    void setRelayCount(std::size_t count) { relay_count_ = count; }
    [[nodiscard]] std::size_t inFlight() const { return running_.size(); }
    [[nodiscard]] QueueLoad load() const { return queue_.load(); }
    [[nodiscard]] const decision::RepeatTotals& repeatTotals() const { return repeats_.totals(); }
    [[nodiscard]] decision::RepeatWindow repeatWindow() { return repeats_.window(clock_.now(), relay_count_); }
    /// Requests that came here after another relay had counted them.
    [[nodiscard]] std::uint64_t countedBefore() const { return counted_before_; }
    [[nodiscard]] std::size_t relayCount() const { return relay_count_; }
    /// What the instance is asked for and can give.
    [[nodiscard]] decision::ServiceLoad serviceLoad();
    /// The calls that the instance makes, by the routes that it serves.
    [[nodiscard]] decision::CallGraph& callGraph() { return call_graph_; }

private:
    struct Running {
        RelayRequest request;  ///< Its HTTP request is moved out when it is sent.
        std::string id;        ///< Of the request.
        quarantine::Fingerprint fingerprint = 0;
        Callback callback;
        std::uint64_t ticket = 0;
        bool is_let_in = false;
        TimePoint sent{};
        decision::CallGraph::RunNumber run = 0;  ///< 0 before it was sent.
        AttemptHandle attempt;
        TimerHandle refusal;
    };
    [[nodiscard]] std::uint32_t limitFor(std::uint32_t slots) const;
    [[nodiscard]] bool takes(const std::string& instance) const;
    [[nodiscard]] RelayReason refusalOf(const RelayRequest& request);
    bool mayRepeat(const RelayRequest& request);
    [[nodiscard]] double slackShareOf(const std::string& route) const;
    void countRequest(const RelayRequest& request);
    QueueRequest placeInQueue(RelayRequest* request);
    void enterQueue(Number number);
    void refuseLater(Number number, RelayReason reason);
    void onDecision(Number number, InstanceQueue::Decision decision);
    void send(Number number);
    void onAttemptEnded(Number number, AttemptResult result);
    RelayResult judge(const Running& running, AttemptResult result);
    RelayResult judgeAnswer(const Running& running, HttpAnswer answer);
    void onRunEnded(const Running& running, bool is_whole);
    void finish(Number number, RelayResult result);
    void leaveQueue(Duration time);

    Clock& clock_;
    EventLog& log_;
    BackEndPort& instances_;
    instance::LocalInstance& instance_;
    const HeaderNames& names_;
    std::string instance_address_;
    RelayKnobs knobs_;
    InstanceQueue queue_;
    decision::RepeatBudget repeats_;
    CallerCensus census_;
    decision::InstanceDemand demand_;
    decision::CallGraph call_graph_;
    decision::UsualDeadlines deadlines_;
    std::size_t relay_count_ = 1;
    std::uint64_t counted_before_ = 0;
    bool is_stopping_ = false;
    Number last_number_ = 0;
    std::map<Number, std::unique_ptr<Running>> running_;
};

}  // namespace dewcrank::relay
