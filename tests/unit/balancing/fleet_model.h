/// @file
/// A small model of one service and its entries, without a network: production selectors and queues, instances whose
/// speed changes, and Poisson demand by zone.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "src/adapters/seeded_random.h"
#include "src/entry/relay_selector.h"
#include "src/relay/instance_queue.h"
#include "tests/support/fakes.h"

namespace dewcrank::tests {

/// Load characteristics of the model.
struct ModelOptions {
    std::vector<std::string> instance_zones;  ///< One instance each.
    std::vector<std::string> entry_zones;     ///< One entry each.
    std::uint32_t slots = 20;
    Duration work_time = 30ms;  ///< Mean; uniform from half to 1.5 times this.
    Duration max_wait = 60ms;   ///< In the queue of a relay.
    Duration report_age = 0ms;  ///< An entry reads at most one report of a relay in this time.
    std::size_t max_attempts = 3;
    bool names_pace = true;  ///< Responses name the pace of the instance.
    bool pace = false;       ///< Switch pace_balancing.
    bool zones = false;      ///< Switch zone_balancing.
    std::uint64_t seed = 1;
};

/// A request and how it ended.
struct ModelOutcome {
    TimePoint sent{};
    Duration elapsed{};
    std::size_t entry = 0;
    std::size_t instance = 0;  ///< The last one that was tried.
    std::size_t attempts = 0;
    bool is_served = false;
};

/// Aggregates of the requests of some time.
struct ModelStats {
    double requests = 0;
    double served = 0;
    double within = 0;  ///< Served within the objective.
    double remote = 0;  ///< Served in another zone than the entry's.
    double attempts = 0;
    double mean_ms = 0;               ///< Mean time of those served.
    std::vector<double> by_instance;  ///< Served.
    [[nodiscard]] double withinShare() const { return within / std::max(1.0, requests); }
    [[nodiscard]] double remoteShare() const { return remote / std::max(1.0, served); }
    [[nodiscard]] double shareOf(std::size_t instance) const { return by_instance[instance] / std::max(1.0, served); }
};

class FleetModel {
public:
    explicit FleetModel(const ModelOptions& options);

    /// @param factor service time by the usual one, for requests that begin from now on.
    void setSlowdown(std::size_t instance, double factor) { instances_[instance].slowdown = factor; }
    /// @param speed by the mean of the service; the instance does not name it as its pace.
    void setSpeed(std::size_t instance, double speed) { instances_[instance].speed = speed; }
    /// Removes an instance from all directories, or puts it back with or without time to warm up.
    void setUp(std::size_t instance, bool is_up, Duration cold = {});
    /// Cuts the entries of a zone from the instances of all other zones, and the others from its instances.
    void setCut(const std::string& zone, bool is_cut);
    /// @param rate of requests per second at all entries of a zone; called at each arrival.
    void setDemand(const std::string& zone, std::function<double(TimePoint)> rate);
    void runFor(Duration duration) { time_.advance(duration); }
    [[nodiscard]] TimePoint now() const { return time_.queue.now(); }

    /// @return requests per second that all instances can serve at their usual pace.
    [[nodiscard]] double capacity() const;
    [[nodiscard]] ModelStats stats(TimePoint begin, TimePoint end, Duration objective) const;
    /// @return the greatest number of attempts that one instance received in a window, by its fair part of all.
    [[nodiscard]] double herding(TimePoint begin, TimePoint end, Duration window) const;
    /// @return the mean number of running and waiting requests of an instance per slot since the last call.
    [[nodiscard]] double utilization(std::size_t instance);

private:
    struct Instance {
        std::string name;
        std::string zone;
        double speed = 1;
        double slowdown = 1;
        std::unique_ptr<relay::InstanceQueue> queue;
        double busy_seconds = 0;  ///< Slot time used since `since`.
        TimePoint since{};
    };
    struct Entry {
        std::string zone;
        std::unique_ptr<entry::RelaySelector> selector;
        std::vector<TimePoint> last_report;  ///< By instance.
    };
    struct Request {
        ModelOutcome outcome;
        std::set<std::string> tried;
        TimePoint admitted{};
    };
    struct Arrival {
        TimePoint at{};
        std::size_t instance = 0;
    };
    using RequestPtr = std::shared_ptr<Request>;
    [[nodiscard]] wire::NodeRecord recordOf(const std::string& name, const std::string& zone) const;
    void scheduleArrival(const std::string& zone);
    void attempt(const RequestPtr& request);
    void enterQueue(const RequestPtr& request);
    void onDecision(const RequestPtr& request, relay::InstanceQueue::Decision decision);
    void complete(const RequestPtr& request);
    void deliver(const RequestPtr& request, bool is_served);
    void after(Duration delay, std::function<void()> action) {
        time_.queue.schedule(now() + delay, nullptr, std::move(action));
    }

    ModelOptions options_;
    VirtualTime time_;
    adapters::SeededRandom random_;
    std::map<std::string, std::unique_ptr<fleet::NodeDirectory>> directories_;  ///< By zone of the entries.
    std::vector<Instance> instances_;
    std::vector<Entry> entries_;
    std::map<std::string, std::vector<std::size_t>> entries_by_zone_;
    std::map<std::string, std::function<double(TimePoint)>> demand_;
    std::map<std::string, std::uint64_t> versions_;  ///< Of the records of instances.
    std::vector<ModelOutcome> outcomes_;
    std::vector<Arrival> arrivals_;
};

/// @return `count` zones, one after the other from `zones`.
std::vector<std::string> inTurn(std::size_t count, const std::vector<std::string>& zones);

}  // namespace dewcrank::tests
