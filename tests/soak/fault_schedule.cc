#include "tests/soak/fault_schedule.h"

#include <algorithm>
#include <cstdio>

#include "tests/soak/faults.h"

namespace dewcrank::soak {

namespace {

constexpr Duration kFirstFault = 2s;
/// Final part of the load without faults, in which the fleet has to recover.
constexpr Duration kFaultFreeTail = 14s;
constexpr Duration kMinGap = 300ms;
constexpr Duration kGapSpread = 2200ms;
constexpr Duration kMinLength = 500ms;
constexpr Duration kLengthSpread = 4500ms;

constexpr Duration kMinStopGap = 2500ms;
constexpr Duration kStopGapSpread = 2500ms;
/// Final part of the load without stops: the grace period of the last ones.
constexpr Duration kStopFreeTail = 6s;
/// Time from one stop of a node to the next: the grace period and the start of the next process.
constexpr Duration kRestop = 9s;
/// Offsets between the stops of two nodes.
constexpr Duration kStopOffsets[] = {0s, 1s, 3s};
/// What happens to another node beside a stop, and how long.
constexpr std::pair<const char*, Duration> kBesideStops[] = {{"node-reload", 100ms},   {"table-change", 100ms},
                                                             {"node-reset", 100ms},    {"instance-reset", 100ms},
                                                             {"answers-lost", 1500ms}, {"instance-drain", 6s}};
/// One stop in this many is one of groups.
constexpr std::uint64_t kGroupShare = 5;

/// Uniform in [min_duration, min_duration + spread).
Duration drawDuration(RandomSource& random, Duration min_duration, Duration spread) {
    return min_duration + Duration(static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(spread.count()))));
}

}  // namespace

Duration faultFreeFrom(Duration length) {
    return std::max<Duration>(Duration::zero(), length - kFaultFreeTail);
}

/// Skips faults whose minimum duration extends into the fault-free tail.
std::vector<PlannedFault> drawFaults(RandomSource& random, Duration length, std::size_t nodes,
                                     const std::vector<std::string>& only) {
    const auto names = only.empty() ? drawnFaultNames() : only;
    std::vector<PlannedFault> faults;
    for (auto at = kFirstFault; at < faultFreeFrom(length); at += drawDuration(random, kMinGap, kGapSpread)) {
        PlannedFault fault;
        fault.name = names[random.below(names.size())];
        fault.at = at;
        const auto min_duration = FaultInjector::minDuration(fault.name);
        fault.duration = std::max(
            min_duration, std::min(drawDuration(random, kMinLength, kLengthSpread), faultFreeFrom(length) - at));
        fault.node = static_cast<std::size_t>(random.below(nodes));
        if (at + min_duration <= faultFreeFrom(length)) {
            faults.push_back(fault);
        }
    }
    return faults;
}

std::vector<PlannedFault> drawStops(RandomSource& random, Duration length, std::size_t nodes) {
    std::vector<PlannedFault> faults;
    std::vector<Duration> usable(nodes);  // When each node may be stopped.
    const auto stop = [&](const char* name, Duration at) {
        auto node = static_cast<std::size_t>(random.below(nodes));
        for (std::size_t tries = 0; tries < nodes && usable[node] > at; ++tries) {
            node = (node + 1) % nodes;
        }
        if (usable[node] <= at) {
            usable[node] = at + kRestop;
            faults.push_back({name, at, 1s, node});
        }
    };
    for (auto at = kFirstFault; at < length - kStopFreeTail; at += drawDuration(random, kMinStopGap, kStopGapSpread)) {
        if (random.below(kGroupShare) == 0) {
            faults.push_back({"nodes-stop-in-groups", at, 1s, static_cast<std::size_t>(random.below(nodes))});
            std::fill(usable.begin(), usable.end(), at + kRestop);
            continue;
        }
        stop(random.below(2) == 0 ? "node-stop" : "node-stop-reloaded", at);
        stop("node-stop", at + kStopOffsets[random.below(std::size(kStopOffsets))]);
        const auto& [name, duration] = kBesideStops[random.below(std::size(kBesideStops))];
        const auto offset = drawDuration(random, Duration::zero(), kMinStopGap);
        faults.push_back({name, at + offset, duration, static_cast<std::size_t>(random.below(nodes))});
    }
    return faults;
}

Result<PlannedFault> parseFault(const std::string& text, std::size_t nodes) {
    const auto at = text.find('@');
    PlannedFault fault;
    fault.name = text.substr(0, at);
    const auto names = faultNames();
    if (std::find(names.begin(), names.end(), fault.name) == names.end()) {
        return stepError("flags", "--fault", "unknown fault '" + fault.name + "'; --list prints all kinds");
    }
    double from = 0;
    double duration = 0;
    unsigned long node = 0;
    const auto* rest = at == std::string::npos ? "" : text.c_str() + at;
    if (std::sscanf(rest, "@%lf+%lf/%lu", &from, &duration, &node) != 3 || from < 0 || duration < 0 || node >= nodes) {
        return stepError(
            "flags", "--fault",
            "got '" + text + "', expected KIND@SECONDS+SECONDS/NODE with a node number below " + std::to_string(nodes));
    }
    fault.at = Duration(static_cast<std::int64_t>(from * 1e6));
    fault.duration = Duration(static_cast<std::int64_t>(duration * 1e6));
    fault.node = node;
    return fault;
}

}  // namespace dewcrank::soak
