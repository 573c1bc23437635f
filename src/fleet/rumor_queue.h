/// @file
/// What has changed and is still to be told: rumor mongering with feedback and counters (Demers et
/// al., "Epidemic algorithms for replicated database maintenance", PODC 1987). A change reaches a
/// fleet of n nodes in about log n rounds, for a few messages a node, and however many changes
/// there are at a time, they travel together.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dewcrank::fleet {

/// Constants of the queue.
struct RumorKnobs {
    std::uint32_t max_already_known = 2;  ///< Receivers that knew a rumor already, before it is dropped.
    std::uint32_t max_sends = 16;         ///< Receivers in all, also those that did not answer.
};

/// The rumors of one node: names of records that have changed here lately.
class RumorQueue {
public:
    explicit RumorQueue(RumorKnobs knobs) : knobs_(knobs) {}

    /// It is news here: told from now on, from the beginning if it was told before.
    void add(const std::string& name) { rumors_[name] = {}; }
    /// The rumors that were told least often.
    [[nodiscard]] std::vector<std::string> next(std::size_t limit) const;
    /// It was sent to another node.
    void onSent(const std::string& name);
    /// The other node has said that it knew.
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
