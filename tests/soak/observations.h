/// @file
/// Records of a soak's requests, runs, tables and disturbances, which the checks evaluate.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/base/header_names.h"
#include "src/base/time.h"
#include "tests/standins/instance.h"

namespace dewcrank::soak {

/// Number of the store where disturbances are recorded by node number.
inline constexpr std::size_t kStoreIndex = SIZE_MAX;

/// A request of a caller and its outcome.
struct CallerRequest {
    std::string id;
    std::string route;  ///< Path prefix of its route.
    std::string path;
    bool is_idempotent = true;
    std::size_t entry = 0;      ///< Number of the node that it was sent to.
    std::uint64_t version = 0;  ///< Newest table version acknowledged when it was sent.
    TimePoint sent{};
    Duration deadline{};
    TimePoint ended{};            ///< Time of the response, timeout or disconnect; the epoch while it is open.
    int status = 0;               ///< 0: no response.
    bool is_complete = false;     ///< The response is signed, and its body is that of this request.
    bool is_quarantined = false;  ///< Rejected by the quarantine of crashing requests.
    bool was_sent = true;         ///< False if it certainly did not reach the entry.
    /// Sent on a connection with a pending request: the entry may close the connection without passing it on.
    bool is_behind_another = false;
    bool has_disconnected = false;  ///< Its caller closed the connection before a response.
    std::string key;                ///< API key of its caller.
    std::string stamp;              ///< Server stamp of the response.
    std::size_t body_bytes = 0;     ///< Size of the response's body.
    std::uint64_t body_hash = 0;
};

/// Response of an instance to a run.
struct Answer {
    std::string instance;
    TimePoint at{};
    int status = 0;
    std::string stamp;
    std::size_t body_bytes = 0;
    std::uint64_t body_hash = 0;
    bool is_intact = true;  ///< False if a fault of the instance withheld the response or its signature.
};

/// Execution of a request at an instance.
struct Run {
    std::string request;
    std::string service;
    std::string instance;
    TimePoint started{};
    TimePoint ended{};         ///< The epoch while it runs.
    bool has_crashed = false;  ///< The instance ended with the run in progress.
};

/// A period in which a fault affects a node, its links or the store. Invariants with a time limit do not apply then.
struct Disturbance {
    TimePoint started{};
    TimePoint ended{};                ///< The epoch while it lasts.
    bool terminates_process = false;  ///< The node's process is terminated: its open requests may get no response.
    bool is_planned = false;          ///< A stop as planned, which excuses no loss of a response.
};

/// Collects what happens during a soak. All sequences are in order of time.
class Observations : public standins::InstanceListener {
public:
    Observations(Clock& clock, HeaderNames names) : clock_(clock), names_(std::move(names)) {}

    /// Records a request; the caller of this function fills in its outcome later. The reference stays valid.
    CallerRequest& addRequest(CallerRequest request);
    void onArrival(const std::string& service, const std::string& instance, const HttpRequest& request) override;
    void onRunStarted(const std::string& service, const std::string& instance, const std::string& id) override;
    void onRunEnded(const std::string& instance, const std::string& id) override;
    void onRunCrashed(const std::string& instance, const std::string& id) override;
    void onRunAnswered(const std::string& instance, const std::string& id, const HttpResponse& response,
                       bool is_intact) override;
    void onCallSent(const std::string& instance, const std::string& id, const HttpRequest& call) override;
    void onCallEnded(const std::string& instance, const std::string& id, const AttemptResult& result) override;
    /// Records the response that a caller has read completely.
    void recordResponse(const HttpResponse& response, CallerRequest* request) const;
    void onResponse(const std::string& instance, const sim::InstanceSignals& signals) override;
    void onCallAnswered(const std::string& instance, const HttpResponse& response) override;
    void onDrainAcknowledged(const std::string& instance) override;
    /// Records the signals in a response of an instance that a node has passed on.
    void onPassedResponse(std::size_t node, const HttpResponse& response);
    /// The node's process was sent a signal that ends or suspends it; its memory of instances may be lost from now on.
    void beginRestart(std::size_t node);
    /// The process has ended, or runs again.
    void endRestart(std::size_t node);
    /// Records that the store has acknowledged a table.
    /// @param tenants_by_key API keys; empty if callers need none.
    void onTable(std::uint64_t version, std::map<std::string, std::string> services_by_route,
                 std::map<std::string, std::string> tenants_by_key = {},
                 std::map<std::string, Duration> timeouts_by_route = {});
    /// @param node number of the node, or kStoreIndex. @return a number for `endDisturbance`.
    std::size_t beginDisturbance(std::size_t node, bool terminates_process, bool is_planned = false);
    void endDisturbance(std::size_t node, std::size_t number);
    /// @param what names the node and its exit code.
    void onUnexpectedExit(const std::string& what) { unexpected_exits.push_back(what); }

    /// True if a disturbance of the node overlaps [from, to].
    [[nodiscard]] bool wasDisturbed(std::size_t node, TimePoint from, TimePoint to) const;
    /// True if a disturbance of the node that is no planned stop overlaps [from, to].
    [[nodiscard]] bool wasHarmed(std::size_t node, TimePoint from, TimePoint to) const;
    /// Same for any node or the store.
    [[nodiscard]] bool anyDisturbed(TimePoint from, TimePoint to) const;
    /// True if a disturbance that terminates the node's process overlaps [from, to].
    [[nodiscard]] bool wasTerminated(std::size_t node, TimePoint from, TimePoint to) const;

    /// Arrival of a request at an instance, whether or not it runs.
    struct Arrival {
        TimePoint at{};
        std::string request;
        bool is_first = false;  ///< False for a retry, and for an internal call of a retried run.
    };
    /// A routing table.
    struct Table {
        std::uint64_t version = 0;
        TimePoint acknowledged{};
        std::map<std::string, std::string> services;  ///< By route.
        std::map<std::string, std::string> tenants;   ///< By key.
        std::map<std::string, Duration> timeouts;     ///< By route.
    };
    std::vector<std::unique_ptr<CallerRequest>> requests;
    std::vector<std::unique_ptr<CallerRequest>> calls;   ///< Calls that instances make through their nodes.
    std::map<std::string, std::vector<Answer>> answers;  ///< By request.
    std::vector<Run> runs;
    std::map<std::string, std::vector<Arrival>> arrivals;  ///< By service.
    std::map<std::string, TimePoint> drained;              ///< Time of the drain's acknowledgement, by instance.
    std::map<std::string, std::vector<Arrival>> arrivals_by_instance;
    std::vector<Table> tables;
    std::vector<std::string> unexpected_exits;
    std::vector<std::string> leaked_keys;  ///< Requests that reached an instance with their caller's key.
    std::map<std::string, std::string> tenant_by_request;  ///< Tenant header of the request at an instance.
    std::map<std::string, std::size_t> node_by_instance;
    /// Signals of an incarnation and what nodes have passed on of them, by incarnation; in order of time.
    std::map<std::string, std::vector<sim::SignalEvent>> signals;
    /// Restart or suspension of a node.
    struct Restart {
        std::size_t node = 0;
        TimePoint started{};
        TimePoint ended{};  ///< The epoch while it lasts.
    };
    std::vector<Restart> restarts;

private:
    Clock& clock_;
    HeaderNames names_;
    std::map<std::string, sim::InstanceSignals> last_signals_;      ///< By incarnation.
    std::map<std::size_t, std::vector<Disturbance>> disturbances_;  ///< By node.
    std::set<std::string> arrived_;                                 ///< Pairs "service request" of all arrivals.
    std::set<std::string> calls_of_retries_;            ///< Ids of the internal calls that retried runs make.
    std::map<std::string, CallerRequest*> open_calls_;  ///< By id.
    std::map<std::string, std::size_t> active_runs_;    ///< Index in `runs`, by "instance request".
};

}  // namespace dewcrank::soak
