/// @file
/// Fixed-size cache of the requests that completed recently.
#pragma once

#include <cstddef>
#include <vector>

#include "src/base/time.h"
#include "src/quarantine/fingerprint.h"

namespace dewcrank::quarantine {

/// Constants of the cache.
struct RecentCompletionKnobs {
    Duration retention = 10s;    ///< A completion counts as recent for this time.
    std::size_t entries = 4096;  ///< 16 bytes each.
};

/// Direct-mapped cache, indexed by fingerprint. A newer entry overwrites an older one with the same index, so that
/// `contains` may miss a recent completion, but never reports one that did not take place.
class RecentCompletions {
public:
    explicit RecentCompletions(RecentCompletionKnobs knobs) : knobs_(knobs), entries_(knobs.entries) {}

    /// Registers a completion.
    void add(TimePoint now, Fingerprint fingerprint) { entryOf(fingerprint) = {fingerprint, now}; }
    /// @return true if the request is known to have completed within the retention.
    [[nodiscard]] bool contains(TimePoint now, Fingerprint fingerprint) const {
        const auto& it = entries_[fingerprint % entries_.size()];
        return it.fingerprint == fingerprint && it.at != TimePoint{} && now - it.at < knobs_.retention;
    }

private:
    struct Entry {
        Fingerprint fingerprint = 0;
        TimePoint at{};  ///< The epoch marks an empty entry.
    };
    Entry& entryOf(Fingerprint fingerprint) { return entries_[fingerprint % entries_.size()]; }

    RecentCompletionKnobs knobs_;
    std::vector<Entry> entries_;
};

}  // namespace dewcrank::quarantine
