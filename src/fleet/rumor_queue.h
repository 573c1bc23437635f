/// @file
/// Queue of record changes to spread: rumor mongering with feedback and counters (Demers et al., "Epidemic algorithms
/// for replicated database maintenance", PODC 1987). A change reaches a fleet of n nodes in about log n rounds, and
/// concurrent changes share messages.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dewcrank::fleet {

struct RumorKnobs {
    std::uint32_t max_already_known = 2;  ///< A rumor is dropped when this many receivers already had it.
    std::uint32_t max_sends = 16;         ///< A rumor is also dropped after this many sends, with or without responses.
};

/// Names of the records that have changed lately, each with its counters.
class RumorQueue {
public:
    explicit RumorQueue(RumorKnobs knobs) : knobs_(knobs) {}

    /// Adds a rumor; resets the counters of one that is queued.
    void add(const std::string& name) { rumors_[name] = {}; }
    /// Up to `limit` rumors, the least sent first.
    [[nodiscard]] std::vector<std::string> next(std::size_t limit) const;
    /// Counts a send of the rumor to one node.
    void onSent(const std::string& name);
    /// Counts a receiver that already had the change.
    void onAlreadyKnown(const std::string& name);
    [[nodiscard]] bool empty() const { return rumors_.empty(); }

private:
    struct Rumor {
        std::uint32_t sends = 0;          ///< Below max_sends.
        std::uint32_t already_known = 0;  ///< Below max_already_known.
    };
    RumorKnobs knobs_;
    std::map<std::string, Rumor> rumors_;
};

}  // namespace dewcrank::fleet
