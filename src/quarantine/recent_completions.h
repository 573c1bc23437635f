/// @file
/// Remembers which requests have ended well lately, in fixed memory.
#pragma once

#include <cstddef>
#include <vector>

#include "src/base/time.h"
#include "src/quarantine/fingerprint.h"

namespace dewcrank::quarantine {

/// Constants of the memory.
struct RecentCompletionKnobs {
    Duration retention = 10s;
    /// Places of 16 bytes: 64 KB. The later of two requests that share a place stays.
    std::size_t entries = 4096;
};

/// A table by a part of the fingerprint. What it says is true; it may have forgotten some.
class RecentCompletions {
public:
    explicit RecentCompletions(RecentCompletionKnobs knobs) : knobs_(knobs), entries_(knobs.entries) {}

    void add(TimePoint now, Fingerprint fingerprint) { entryOf(fingerprint) = {fingerprint, now}; }
    [[nodiscard]] bool contains(TimePoint now, Fingerprint fingerprint) const {
        const auto& it = entries_[fingerprint % entries_.size()];
        return it.fingerprint == fingerprint && it.at != TimePoint{} && now - it.at < knobs_.retention;
    }

private:
    struct Entry {
        Fingerprint fingerprint = 0;
        TimePoint at{};  ///< The epoch: none.
    };
    Entry& entryOf(Fingerprint fingerprint) { return entries_[fingerprint % entries_.size()]; }

    RecentCompletionKnobs knobs_;
    std::vector<Entry> entries_;
};

}  // namespace dewcrank::quarantine
