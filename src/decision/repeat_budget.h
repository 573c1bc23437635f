/// @file
/// Bounds how many repeated requests an instance is sent, as a share of the first ones.
#pragma once

#include <cstdint>
#include <deque>

#include "src/base/time.h"

namespace dewcrank::decision {

/// The bound for one service, over any window: repeats <= ratio * first requests + slack.
struct RepeatBound {
    double ratio = 0;
    double slack = 0;
    Duration window{};
};

/// What a relay's budget has taken and given, since its start.
struct RepeatTotals {
    double requests = 0;        ///< Counted as first ones.
    double inherited = 0;       ///< Repeats among the calls of runs that were repeats themselves.
    std::uint64_t granted = 0;  ///< Repeats that were let in,
    std::uint64_t denied = 0;   ///< and those that were not.
};

/// The same over the last window, against what is allowed in it.
struct RepeatWindow {
    double requests = 0;
    double repeats = 0;  ///< Inherited and granted.
    double allowed = 0;  ///< By the relay's part of the bound, without the margin.
};

/// One relay's part of a service's budget, without messages between relays.
///
/// Invariant: in every span of time up to a window, the relay's repeats stay within the ratio of its requests
/// of that span and of a short time before it, and its part of the slack. Whichever relays come, go, or
/// get more or less of the load, in any order and however often, the repeats of all of them in a window
/// are then allowed by the service's requests in that window and in the short time before it. A bound over
/// each relay's own last window does not give that: relays whose windows end at different times let in
/// repeats by the requests of two windows (1.1 of the bound was seen, with a margin of a fifth).
///
/// A new relay does not know what its process spent in an earlier life. So it begins without any of the
/// slack, and gets it with time.
class RepeatBudget {
public:
    /// @param born when the relay started.
    RepeatBudget(RepeatBound bound, TimePoint born);
    /// A request that is no repeat itself. @param repeat_share how likely it is made for a run that is
    /// one: to that part it counts as a repeat here as well.
    void onFirst(TimePoint now, double repeat_share);
    /// Takes one repeat. @param relays how many share the slack. @param slack_share part of this relay's part of it
    /// that may be used, from 0 to 1. @return false if none is left.
    bool tryRepeat(TimePoint now, std::size_t relays, double slack_share);
    [[nodiscard]] const RepeatTotals& totals() const { return totals_; }
    [[nodiscard]] RepeatWindow window(TimePoint now, std::size_t relays);

private:
    /// What came in a short interval of the clock.
    struct Step {
        std::int64_t number = 0;
        double first = 0;
        double repeats = 0;
    };
    Step& current(TimePoint now);
    [[nodiscard]] bool hasRoom(std::size_t relays, double slack_share) const;
    [[nodiscard]] double slackOver(const Step& begin, std::size_t relays) const;
    [[nodiscard]] double partOfSlack(std::size_t relays) const;

    RepeatBound bound_;
    std::int64_t window_steps_;  ///< At least one.
    std::int64_t born_in_;       ///< Number of the first step of this life.
    std::deque<Step> steps_;  ///< Of the last window, in order of time; most of those without a request are left out.
    RepeatTotals totals_;
};

}  // namespace dewcrank::decision
