/// @file
/// What callers and instances have seen in a soak: the evidence that promises are judged by.
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

/// Stands for the store where nodes are numbered.
inline constexpr std::size_t kStoreNumber = SIZE_MAX;

/// One request of a caller, and what became of it.
struct CallerRequest {
    std::string id;
    std::string route;  ///< Its path's prefix.
    std::string path;
    bool is_repeatable = true;
    std::size_t entry = 0;      ///< Number of the node that took it.
    std::uint64_t version = 0;  ///< Of the newest table that was acknowledged when it was sent.
    TimePoint sent{};
    Duration deadline{};
    TimePoint ended{};            ///< When it was answered, given up, or its caller left; the epoch: not yet.
    int status = 0;               ///< 0: no answer.
    bool is_whole = false;        ///< The body is that of an instance for this request.
    bool is_quarantined = false;  ///< Refused as one that ends instances.
    bool was_taken = true;        ///< False if the entry had provably not read it.
    bool has_left = false;        ///< Its caller left before an answer.
    std::string key;              ///< That its caller shows.
};

/// One run at an instance.
struct Run {
    std::string request;
    std::string service;
    std::string instance;
    TimePoint began{};
    TimePoint ended{};  ///< The epoch: not yet.
};

/// A time in which something was done to a node or its links; its promises with a bound in time do
/// not hold then.
struct Disturbance {
    TimePoint began{};
    TimePoint ended{};          ///< The epoch: goes on.
    bool ends_process = false;  ///< Killed or stopped for good: what it had taken gets no answer.
};

/// Kept by the soak; everything in order of time.
class Observations : public standins::InstanceListener {
public:
    Observations(Clock& clock, HeaderNames names) : clock_(clock), names_(std::move(names)) {}

    CallerRequest& addRequest(CallerRequest request);
    void onArrival(const std::string& service, const std::string& instance, const HttpRequest& request) override;
    void onRunBegan(const std::string& service, const std::string& instance, const std::string& id) override;
    void onRunEnded(const std::string& instance, const std::string& id) override;
    void onDrainAcknowledged(const std::string& instance) override;
    /// The operator's table is acknowledged: from now on callers may rely on it.
    /// @param tenants_by_key none: callers need no keys.
    void onTable(std::uint64_t version, std::map<std::string, std::string> services_by_route,
                 std::map<std::string, std::string> tenants_by_key = {});
    /// Something is done to a node. @return a number for `disturbanceEnded`.
    std::size_t disturb(std::size_t node, bool ends_process);
    void disturbanceEnded(std::size_t node, std::size_t number);
    void onUnexpectedExit(const std::string& what) { unexpected_exits.push_back(what); }

    /// True if a node was disturbed at some time between the two.
    [[nodiscard]] bool wasDisturbed(std::size_t node, TimePoint from, TimePoint to) const;
    [[nodiscard]] bool anyDisturbed(TimePoint from, TimePoint to) const;
    [[nodiscard]] bool wasEnded(std::size_t node, TimePoint from, TimePoint to) const;

    struct Arrival {
        TimePoint at{};
        std::string request;
        bool is_first = false;  ///< False also for a call of a run that was a repeat itself.
    };
    struct Table {
        std::uint64_t version = 0;
        TimePoint acknowledged{};
        std::map<std::string, std::string> services;  ///< By route.
        std::map<std::string, std::string> tenants;   ///< By key.
    };
    std::vector<std::unique_ptr<CallerRequest>> requests;
    std::vector<Run> runs;
    std::map<std::string, std::vector<Arrival>> arrivals;  ///< By service.
    std::map<std::string, TimePoint> drained;              ///< By instance: when that was acknowledged.
    std::map<std::string, std::vector<Arrival>> arrivals_by_instance;
    std::vector<Table> tables;
    std::vector<std::string> unexpected_exits;
    std::vector<std::string> strayed_keys;            ///< Requests with which a caller's key has come to an instance.
    std::map<std::string, std::string> named_tenant;  ///< By request, as it came to an instance.
    std::map<std::string, std::size_t> node_of_instance;

private:
    Clock& clock_;
    HeaderNames names_;
    std::map<std::size_t, std::vector<Disturbance>> disturbances_;  ///< By node.
    std::set<std::string> seen_;                                    ///< "service request" that has arrived.
    std::set<std::string> calls_of_repeats_;                        ///< Ids of the calls that repeated runs make.
    std::map<std::string, std::size_t> running_;                    ///< "instance request": place in runs.
};

}  // namespace dewcrank::soak
