#include "tests/unit/balancing/fleet_model.h"

#include <algorithm>
#include <cmath>

namespace dewcrank::tests {

namespace {

constexpr Duration kOneWay = 500us;  ///< Between an entry and a relay.
constexpr const char* kService = "desk";

std::uint32_t limitFor(std::uint32_t slots) {
    return slots - std::max<std::uint32_t>(slots >= 8 ? 1 : 0, slots / 16);
}

}  // namespace

FleetModel::FleetModel(const ModelOptions& options) : options_(options), random_(options.seed) {
    entry::SelectorKnobs knobs;
    knobs.balancing.cost.uses_pace = options.pace;
    knobs.balancing.cost.uses_zones = options.zones;
    relay::QueueKnobs queue_knobs;
    queue_knobs.uses_pace = options.pace;
    time_.advance(10s);
    for (const auto& zone : options.entry_zones) {
        auto& directory = directories_[zone];
        if (!directory) {
            auto self = recordOf("self-" + zone, zone);
            self.mutable_instance()->set_service("other");
            directory = std::make_unique<fleet::NodeDirectory>(time_.clock, self);
        }
        entries_by_zone_[zone].push_back(entries_.size());
        entries_.push_back({zone, std::make_unique<entry::RelaySelector>(time_.clock, random_, *directory, knobs),
                            std::vector<TimePoint>(options.instance_zones.size())});
    }
    for (const auto& zone : options.instance_zones) {
        auto& instance = instances_.emplace_back();
        instance.name = "r" + std::to_string(instances_.size() - 1);
        instance.zone = zone;
        instance.since = now();
        instance.queue = std::make_unique<relay::InstanceQueue>(time_.clock, queue_knobs);
        instance.queue->setLimit(limitFor(options.slots));
        setUp(instances_.size() - 1, true);
    }
}

wire::NodeRecord FleetModel::recordOf(const std::string& name, const std::string& zone) const {
    wire::NodeRecord record;
    record.set_name(name);
    record.set_zone(zone);
    record.set_address(name + ":1");
    record.set_incarnation(1);
    record.mutable_instance()->set_service(kService);
    record.mutable_instance()->set_id("i-" + name);
    record.mutable_instance()->set_slots(options_.slots);
    record.mutable_instance()->set_state(wire::INSTANCE_READY);
    return record;
}

void FleetModel::setUp(std::size_t instance, bool is_up, Duration cold) {
    const auto& name = instances_[instance].name;
    auto record = recordOf(name, instances_[instance].zone);
    record.set_incarnation(++versions_[name]);
    record.mutable_instance()->set_state(is_up ? wire::INSTANCE_READY : wire::INSTANCE_GONE);
    record.mutable_instance()->set_cold_left_ms(static_cast<std::uint32_t>(toMilliseconds(cold)));
    for (auto& [zone, directory] : directories_) {
        directory->merge(record);
    }
}

void FleetModel::setCut(const std::string& zone, bool is_cut) {
    for (auto& [entry_zone, directory] : directories_) {
        for (const auto& instance : instances_) {
            if ((entry_zone == zone) != (instance.zone == zone)) {
                is_cut ? directory->onUnreachable(instance.name) : directory->onReached(instance.name);
            }
        }
    }
}

void FleetModel::setDemand(const std::string& zone, std::function<double(TimePoint)> rate) {
    const bool is_new = !demand_.contains(zone);
    demand_[zone] = std::move(rate);
    if (is_new) {
        scheduleArrival(zone);
    }
}

void FleetModel::scheduleArrival(const std::string& zone) {
    const double rate = std::max(1e-3, demand_[zone](now()));
    after(fromSeconds(-std::log(1 - random_.unit()) / rate), [this, zone] {
        const auto& entries = entries_by_zone_[zone];
        auto request = std::make_shared<Request>();
        request->outcome.sent = now();
        request->outcome.entry = entries[random_.below(entries.size())];
        attempt(request);
        scheduleArrival(zone);
    });
}

void FleetModel::attempt(const RequestPtr& request) {
    auto& selector = *entries_[request->outcome.entry].selector;
    const auto target = selector.choose(kService, request->tried);
    if (target.node.empty() || request->outcome.attempts == options_.max_attempts) {
        request->outcome.elapsed = now() - request->outcome.sent;
        outcomes_.push_back(request->outcome);
        return;
    }
    ++request->outcome.attempts;
    request->tried.insert(target.node);
    request->outcome.instance = std::stoul(target.node.substr(1));
    selector.onSent(target.node);
    after(kOneWay, [this, request] { enterQueue(request); });
}

void FleetModel::enterQueue(const RequestPtr& request) {
    arrivals_.push_back({now(), request->outcome.instance});
    instances_[request->outcome.instance].queue->enter(
        {now(), now() + options_.max_wait},
        [this, request](relay::InstanceQueue::Decision decision) { onDecision(request, decision); });
}

void FleetModel::onDecision(const RequestPtr& request, relay::InstanceQueue::Decision decision) {
    if (decision != relay::InstanceQueue::Decision::kAdmitted) {
        deliver(request, false);
        return;
    }
    request->admitted = now();
    const auto& instance = instances_[request->outcome.instance];
    const double factor = (0.5 + random_.unit()) * instance.slowdown / instance.speed;
    after(fromSeconds(toSeconds(options_.work_time) * factor), [this, request] { complete(request); });
}

void FleetModel::complete(const RequestPtr& request) {
    auto& instance = instances_[request->outcome.instance];
    const auto load = instance.queue->load();
    if (options_.names_pace) {
        instance.queue->onLoadReport({load.running, 0, options_.slots, instance.slowdown});
    }
    const auto time = now() - request->admitted;
    instance.busy_seconds += toSeconds(time);
    instance.queue->leave(time);
    deliver(request, true);
}

/// Delivers the result with the load of the relay at this moment.
void FleetModel::deliver(const RequestPtr& request, bool is_served) {
    const auto load = instances_[request->outcome.instance].queue->load();
    after(kOneWay, [this, request, is_served, load] {
        auto& entry = entries_[request->outcome.entry];
        const auto instance = request->outcome.instance;
        const auto& name = instances_[instance].name;
        entry.selector->onEnded(name);
        if (now() - entry.last_report[instance] >= options_.report_age) {
            entry.last_report[instance] = now();
            entry.selector->onLoad(name, load);
        }
        if (!is_served) {
            attempt(request);
            return;
        }
        entry.selector->onOutcome(name, false);
        request->outcome.is_served = true;
        request->outcome.elapsed = now() - request->outcome.sent;
        outcomes_.push_back(request->outcome);
    });
}

double FleetModel::capacity() const {
    double per_second = 0;
    for (const auto& instance : instances_) {
        per_second += limitFor(options_.slots) * instance.speed / toSeconds(options_.work_time);
    }
    return per_second;
}

ModelStats FleetModel::stats(TimePoint begin, TimePoint end, Duration objective) const {
    ModelStats stats;
    stats.by_instance.resize(instances_.size());
    for (const auto& outcome : outcomes_) {
        if (outcome.sent < begin || outcome.sent >= end) {
            continue;
        }
        ++stats.requests;
        stats.attempts += static_cast<double>(outcome.attempts);
        if (!outcome.is_served) {
            continue;
        }
        ++stats.served;
        stats.mean_ms += 1000 * toSeconds(outcome.elapsed);
        stats.within += outcome.elapsed <= objective ? 1 : 0;
        stats.remote += entries_[outcome.entry].zone != instances_[outcome.instance].zone ? 1 : 0;
        ++stats.by_instance[outcome.instance];
    }
    stats.mean_ms /= std::max(1.0, stats.served);
    return stats;
}

double FleetModel::herding(TimePoint begin, TimePoint end, Duration window) const {
    std::map<std::int64_t, std::vector<double>> windows;
    double all = 0;
    for (const auto& arrival : arrivals_) {
        if (arrival.at >= begin && arrival.at < end) {
            auto& counts = windows[(arrival.at - begin) / window];
            counts.resize(instances_.size());
            ++counts[arrival.instance];
            ++all;
        }
    }
    double most = 0;
    for (const auto& [index, counts] : windows) {
        most = std::max(most, *std::max_element(counts.begin(), counts.end()));
    }
    const double fair = all * toSeconds(window) / toSeconds(end - begin) / static_cast<double>(instances_.size());
    return most / fair;
}

double FleetModel::utilization(std::size_t instance) {
    auto& model = instances_[instance];
    const double seconds = toSeconds(now() - model.since);
    const double used = model.busy_seconds / (seconds * options_.slots);
    model.busy_seconds = 0;
    model.since = now();
    return used;
}

std::vector<std::string> inTurn(std::size_t count, const std::vector<std::string>& zones) {
    std::vector<std::string> all;
    for (std::size_t index = 0; index < count; ++index) {
        all.push_back(zones[index % zones.size()]);
    }
    return all;
}

}  // namespace dewcrank::tests
