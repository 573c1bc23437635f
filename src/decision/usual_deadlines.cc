#include "src/decision/usual_deadlines.h"

#include <algorithm>

namespace dewcrank::decision {

namespace {

constexpr Duration kSpan = 10s;
/// A timeout below this share of the usual one counts as shortened.
constexpr double kMinFullShare = 0.97;

}  // namespace

bool UsualDeadlines::isShortened(TimePoint now, const std::string& route, Duration timeout) {
    auto& it = longest_[route];
    if (now - it.span_start >= kSpan) {
        it.previous = now - it.span_start < 2 * kSpan ? it.current : Duration::zero();
        it.current = {};
        it.span_start = now;
    }
    it.current = std::max(it.current, timeout);
    const auto usual = std::max(it.current, it.previous);
    return static_cast<double>(timeout.count()) < kMinFullShare * static_cast<double>(usual.count());
}

Duration UsualDeadlines::usual(const std::string& route) const {
    const auto found = longest_.find(route);
    return found == longest_.end() ? Duration::zero() : std::max(found->second.current, found->second.previous);
}

}  // namespace dewcrank::decision
