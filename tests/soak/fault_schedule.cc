#include "tests/soak/fault_schedule.h"

#include <algorithm>
#include <cstdio>

#include "tests/soak/faults.h"

namespace dewcrank::soak {

namespace {

constexpr Duration kFirstFault = 2s;
/// At the end of a soak nothing is done, so that recovery can be seen.
constexpr Duration kQuietEnd = 14s;
constexpr Duration kLeastGap = 300ms;
constexpr Duration kGapSpread = 2200ms;
constexpr Duration kLeastLength = 500ms;
constexpr Duration kLengthSpread = 4500ms;

Duration drawn(RandomSource& random, Duration least, Duration spread) {
    return least + Duration(static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(spread.count()))));
}

}  // namespace

Duration quietFrom(Duration length) {
    return std::max<Duration>(Duration::zero(), length - kQuietEnd);
}

/// A fault that would go on into the quiet end is left out: recovery is judged there.
std::vector<PlannedFault> drawFaults(RandomSource& random, Duration length, std::size_t nodes,
                                     const std::vector<std::string>& only) {
    const auto names = only.empty() ? drawnFaultNames() : only;
    std::vector<PlannedFault> faults;
    for (auto at = kFirstFault; at < quietFrom(length); at += drawn(random, kLeastGap, kGapSpread)) {
        PlannedFault fault;
        fault.name = names[random.below(names.size())];
        fault.at = at;
        const auto least = FaultInjector::leastLength(fault.name);
        fault.lasts = std::max(least, std::min(drawn(random, kLeastLength, kLengthSpread), quietFrom(length) - at));
        fault.node = static_cast<std::size_t>(random.below(nodes));
        if (at + least <= quietFrom(length)) {
            faults.push_back(fault);
        }
    }
    return faults;
}

Result<PlannedFault> parseFault(const std::string& text, std::size_t nodes) {
    const auto at = text.find('@');
    PlannedFault fault;
    fault.name = text.substr(0, at);
    const auto names = faultNames();
    if (std::find(names.begin(), names.end(), fault.name) == names.end()) {
        return stepError("flags", "--fault", "there is no fault '" + fault.name + "'; --list prints them");
    }
    double from = 0;
    double lasts = 0;
    unsigned long node = 0;
    const auto* rest = at == std::string::npos ? "" : text.c_str() + at;
    if (std::sscanf(rest, "@%lf+%lf/%lu", &from, &lasts, &node) != 3 || from < 0 || lasts < 0 || node >= nodes) {
        return stepError(
            "flags", "--fault",
            "got '" + text + "', KIND@SECONDS+SECONDS/NODE is expected, with a node below " + std::to_string(nodes));
    }
    fault.at = Duration(static_cast<std::int64_t>(from * 1e6));
    fault.lasts = Duration(static_cast<std::int64_t>(lasts * 1e6));
    fault.node = node;
    return fault;
}

}  // namespace dewcrank::soak
