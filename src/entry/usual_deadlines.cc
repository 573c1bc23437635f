#include "src/entry/usual_deadlines.h"

#include <algorithm>

namespace dewcrank::entry {

namespace {

constexpr Duration kSpan = 10s;
/// A caller that gives less than this part of the usual time has asked before.
constexpr double kFreshShare = 0.97;

}  // namespace

bool UsualDeadlines::isRepeat(TimePoint now, const std::string& route, Duration given) {
    auto& it = longest_[route];
    if (now - it.span_began >= kSpan) {
        it.former = now - it.span_began < 2 * kSpan ? it.present : Duration::zero();
        it.present = {};
        it.span_began = now;
    }
    it.present = std::max(it.present, given);
    const auto usual = std::max(it.present, it.former);
    return static_cast<double>(given.count()) < kFreshShare * static_cast<double>(usual.count());
}

}  // namespace dewcrank::entry
