#include "src/decision/usual_deadlines.h"

#include <algorithm>

namespace dewcrank::decision {

namespace {

constexpr Duration kSpan = 10s;
/// Of the usual time: who gives less gives a shortened one.
constexpr double kFullShare = 0.97;

}  // namespace

bool UsualDeadlines::isShortened(TimePoint now, const std::string& route, Duration given) {
    auto& it = longest_[route];
    if (now - it.span_began >= kSpan) {
        it.former = now - it.span_began < 2 * kSpan ? it.present : Duration::zero();
        it.present = {};
        it.span_began = now;
    }
    it.present = std::max(it.present, given);
    const auto usual = std::max(it.present, it.former);
    return static_cast<double>(given.count()) < kFullShare * static_cast<double>(usual.count());
}

Duration UsualDeadlines::usual(const std::string& route) const {
    const auto found = longest_.find(route);
    return found == longest_.end() ? Duration::zero() : std::max(found->second.present, found->second.former);
}

}  // namespace dewcrank::decision
