#include "src/entry/relay_selector.h"

#include <algorithm>
#include <limits>

namespace dewcrank::entry {

namespace {

constexpr double kMinRate = 1e-3;            ///< Requests per second; avoids a division by zero.
constexpr double kMinCapacity = 1e-3;        ///< Slots; avoids a division by zero.
constexpr double kMinServiceSeconds = 1e-4;  ///< Avoids a division by zero.
constexpr Duration kLimitMemory = 500ms;     ///< A reported limit is raised again within about this time.
/// A relay leaves at most this part of the slots free; a lower limit is due to its connections or to a slow start.
constexpr std::uint32_t kSlotsPerFreeSlot = 8;

/// @return the slots that count as full utilization: fewer if a recent report says that the relay may use only those.
double usableSlots(std::uint32_t slots, const relay::QueueLoad& load, Duration age) {
    const bool is_limited = load.limit > 0 && load.limit + load.limit / kSlotsPerFreeSlot + 1 < slots;
    return std::max<std::uint32_t>(1, is_limited && age <= kLimitMemory ? load.limit : slots);
}

}  // namespace

RelaySelector::RelaySelector(Clock& clock, RandomSource& random, const fleet::NodeDirectory& directory,
                             SelectorKnobs knobs)
    : clock_(clock), random_(random), directory_(directory), knobs_(knobs), balancer_(knobs.balancing) {}

bool RelaySelector::serves(const wire::NodeRecord& record, const std::string& service) const {
    return fleet::NodeDirectory::isServing(record) && record.instance().service() == service &&
           !known_signals_.isLeaving(record.instance());
}

std::size_t RelaySelector::relayCount(const std::string& service) const {
    std::size_t count = serves(directory_.self(), service) ? 1 : 0;
    for (const auto* node : directory_.othersWithService(service)) {
        count += serves(*node, service) ? 1 : 0;
    }
    return count;
}

RelaySelector::RelayStats& RelaySelector::statsOf(std::size_t ordinal) {
    while (stats_.size() <= ordinal) {
        stats_.emplace_back(knobs_.failure_decay);
    }
    return stats_[ordinal];
}

/// Few requests run at a limited instance, which must not make it look idle. While the rate lets a request through, an
/// instance at its rate counts as full, so that others with free slots are preferred; afterwards as overloaded.
double RelaySelector::limitedUtilization(const relay::QueueLoad& load, double in_flight, double sent_since,
                                         Duration age) {
    const double rate = std::max(*load.rate_limit, kMinRate);
    const double wait = toSeconds(load.rate_wait) + std::max(0.0, sent_since) / rate - toSeconds(age);
    if (wait > 0) {
        return 1 + wait;
    }
    return std::min(1.0, (in_flight + 1) / std::max(load.capacity(), kMinCapacity));
}

double RelaySelector::coldCost(const Candidate& candidate, double cost) const {
    return candidate.cold_left > Duration::zero() ? cost * knobs_.cold_factor + knobs_.cold_cost : cost;
}

/// With balancing by pace, a cold instance is judged by its pace, and until that is known as any other of its service.
double RelaySelector::balancedCost(const Choice& choice, const Candidate& candidate, const RelayStats& stats,
                                   double freshness) const {
    const auto age = choice.now - stats.reported_at;
    const double slots = usableSlots(candidate.record.instance().slots(), stats.load, age);
    const double service_seconds = std::max(kMinServiceSeconds, toSeconds(stats.load.presentServiceTime()));
    const double utilization = balancing::expectedUtilization(
        {static_cast<double>(stats.load.running) + stats.load.waiting,
         static_cast<double>(stats.in_flight - stats.in_flight_at_report), freshness,
         std::min(1.0, toSeconds(age) / service_seconds), choice.service->utilizationOf(stats.zone) * slots,
         choice.service->traffic_factor, slots});
    if (!balancer_.costKnobs().uses_pace) {
        return coldCost(candidate, utilization);
    }
    if (stats.load.pace <= 0) {
        return utilization;
    }
    const double relative_time =
        balancer_.relativeTime(*choice.service, stats.load.presentServiceTime(), age + stats.load.pace_age);
    return balancing::pacedCost(utilization, relative_time, balancer_.costKnobs());
}

/// A relay at full load gets no zone penalty: capacity counts more than locality then. With balancing by zone, the
/// utilization of the whole zones decides, which differs less by chance than that of single relays.
double RelaySelector::otherZoneCost(const Choice& choice, const RelayStats& stats, double cost) const {
    if (!balancer_.costKnobs().uses_zones) {
        return knobs_.other_zone_cost * std::clamp(2 * (1 - cost), 0.0, 1.0);
    }
    const double other = choice.service->utilizationOf(stats.zone);
    return knobs_.other_zone_cost *
           balancing::zonePreference(choice.own_zone_utilization, other, balancer_.costKnobs());
}

double RelaySelector::costOf(const Choice& choice, const Candidate& candidate) {
    const auto now = choice.now;
    const auto& stats = statsOf(candidate.ordinal);
    const auto age = now - stats.reported_at;
    const double weight =
        std::clamp(1 - static_cast<double>(age.count()) / static_cast<double>(knobs_.load_decay.count()), 0.0, 1.0);
    const double reported_load = weight * (stats.load.running + stats.load.waiting);
    const double sent_since = stats.in_flight - weight * stats.in_flight_at_report;
    const double slots = usableSlots(candidate.record.instance().slots(), stats.load, age);
    const double in_flight = std::max(0.0, reported_load + sent_since);
    const bool is_limited = stats.load.rate_limit && age <= knobs_.rate_limit_memory;
    double cost = 0;
    if (choice.service != nullptr && !is_limited) {
        cost = balancedCost(choice, candidate, stats, weight);
    } else {
        cost = is_limited ? limitedUtilization(stats.load, in_flight, sent_since, age) : in_flight / slots;
        cost = coldCost(candidate, cost);
    }
    if (candidate.record.zone() != directory_.self().zone()) {
        cost += otherZoneCost(choice, stats, cost);
    }
    cost += knobs_.failure_cost * stats.failures.decayedMean(now);
    if (candidate.is_suspected) {
        cost += knobs_.suspected_cost;
    }
    return cost + knobs_.max_random_cost * random_.unit();
}

RelaySelector::Choice RelaySelector::choiceFor(const std::string& service, TimePoint now) {
    if (!balancer_.isOn()) {
        return {now, nullptr, 0};
    }
    const auto& values = balancer_.view(service).valuesAt(now);
    return {now, &values, values.utilizationOf(balancer_.zoneNumber(directory_.self().zone()))};
}

RelayTarget RelaySelector::choose(const std::string& service, const std::set<std::string>& excluded) {
    const auto now = clock_.now();
    const wire::NodeRecord* best = nullptr;
    double least_cost = std::numeric_limits<double>::max();
    const auto choice = choiceFor(service, now);
    const auto consider = [&](const Candidate& candidate) {
        if (excluded.contains(candidate.record.name())) {
            return;
        }
        const double cost = costOf(choice, candidate);
        if (cost < least_cost) {
            least_cost = cost;
            best = &candidate.record;
        }
    };
    const auto& self = directory_.self();
    if (serves(self, service)) {
        consider({self, 0, std::chrono::milliseconds(self.instance().cold_left_ms()), false});
    }
    for (const auto* node : directory_.othersWithService(service)) {
        if (serves(*node, service)) {
            consider({node->record, node->ordinal, directory_.coldLeft(*node, now),
                      fleet::NodeDirectory::isSuspected(*node)});
        }
    }
    if (best != nullptr) {
        return targetAt(*best, false);
    }
    auto stopping = chooseStopping(service, excluded);
    const bool has_alternative = !stopping.node.empty() || relayCount(service) > 0;
    return has_alternative ? stopping : chooseProbe(service, excluded);
}

/// Only for a service without any ready relay. Different calls choose different relays, so that the first instance that
/// is up again is found soon.
RelayTarget RelaySelector::chooseProbe(const std::string& service, const std::set<std::string>& excluded) const {
    std::vector<const wire::NodeRecord*> candidates;
    const auto consider = [&](const wire::NodeRecord& record) {
        const auto& instance = record.instance();
        const bool is_unknown =
            instance.state() == wire::INSTANCE_UNKNOWN && !instance.id().empty() && !known_signals_.isLeaving(instance);
        if (is_unknown && instance.service() == service && !record.is_stopping() && !excluded.contains(record.name())) {
            candidates.push_back(&record);
        }
    };
    consider(directory_.self());
    for (const auto* node : directory_.othersWithService(service)) {
        if (fleet::NodeDirectory::isReachable(*node)) {
            consider(node->record);
        }
    }
    if (candidates.empty()) {
        return {};
    }
    auto target = targetAt(*candidates[static_cast<std::size_t>(random_.below(candidates.size()))], false);
    target.is_probe = true;
    return target;
}

RelayTarget RelaySelector::targetAt(const wire::NodeRecord& record, bool is_stopping) const {
    const auto& instance = record.instance();
    return {record.name(),
            record.address(),
            instance.id(),
            instance.born_ms(),
            known_signals_.rateLimitOf(instance),
            is_stopping,
            false};
}

bool RelaySelector::servesWhileStopping(const wire::NodeRecord& record, const std::string& service) const {
    return record.is_stopping() && record.instance().state() == wire::INSTANCE_READY &&
           record.instance().service() == service && !known_signals_.isLeaving(record.instance());
}

/// Prefers the relay with the most recent contact, which is the least likely to have stopped, and this node last.
RelayTarget RelaySelector::chooseStopping(const std::string& service, const std::set<std::string>& excluded) const {
    const fleet::KnownNode* best = nullptr;
    for (const auto* node : directory_.othersWithService(service)) {
        const bool is_candidate = servesWhileStopping(node->record, service) &&
                                  fleet::NodeDirectory::isReachable(*node) && !excluded.contains(node->record.name());
        if (is_candidate && (best == nullptr || node->last_contact > best->last_contact)) {
            best = node;
        }
    }
    const auto& self = directory_.self();
    const bool is_own = best == nullptr && servesWhileStopping(self, service) && !excluded.contains(self.name());
    if (best == nullptr && !is_own) {
        return {};
    }
    return targetAt(is_own ? self : best->record, true);
}

bool RelaySelector::hasRelay(const std::string& service) const {
    return relayCount(service) > 0 || !chooseStopping(service, {}).node.empty();
}

bool RelaySelector::hasReachableRelay(const std::string& service, const std::set<std::string>& excluded) const {
    const auto& self = directory_.self();
    if (serves(self, service) && !excluded.contains(self.name())) {
        return true;
    }
    const auto& others = directory_.othersWithService(service);
    return std::any_of(others.begin(), others.end(), [&](const auto* node) {
        return serves(*node, service) && !fleet::NodeDirectory::isSuspected(*node) &&
               !excluded.contains(node->record.name());
    });
}

void RelaySelector::onSent(const std::string& node) {
    ++statsOf(node).in_flight;
}

void RelaySelector::onEnded(const std::string& node) {
    --statsOf(node).in_flight;
}

void RelaySelector::onLoad(const std::string& node, const relay::QueueLoad& load) {
    auto& stats = statsOf(node);
    stats.load = load;
    stats.reported_at = clock_.now();
    stats.in_flight_at_report = stats.in_flight;
    if (balancer_.isOn()) {
        addToView(node, &stats);
    }
}

void RelaySelector::addToView(const std::string& node, RelayStats* stats) {
    const auto* const record = directory_.record(node);
    if (record == nullptr) {
        return;
    }
    stats->zone = balancer_.zoneNumber(record->zone());
    const auto& load = stats->load;
    balancing::RelayReport report{stats->zone, static_cast<double>(load.running) + load.waiting,
                                  static_cast<double>(record->instance().slots()),
                                  static_cast<double>(stats->in_flight), std::nullopt};
    if (load.pace > 0) {
        report.service_time = load.presentServiceTime();
    }
    balancer_.view(record->instance().service()).onReport(stats->reported_at, report);
}

void RelaySelector::onOutcome(const std::string& node, bool has_failed) {
    statsOf(node).failures.add(clock_.now(), has_failed ? 1 : 0);
}

}  // namespace dewcrank::entry
