/// @file
/// What an entry has learned about instances from responses, by their incarnations.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "proto/generated/fleet.pb.h"
#include "src/relay/relay_message.h"

namespace dewcrank::entry {

/// Remembers incarnations that are leaving, so that this node sends them nothing more even if their relay has been
/// restarted and forgotten it, and named rate limits, to tell them to such a relay. Bounded: the oldest go first.
class KnownSignals {
public:
    /// Call with the result of each request. @param instance id of the instance that it was for.
    void onNotice(const std::string& instance, const relay::InstanceNotice& notice);
    /// @return whether the instance of a record has said that it is leaving.
    [[nodiscard]] bool isLeaving(const wire::InstanceRecord& record) const;
    /// @return the rate limit that the instance of a record has named last, in requests per second.
    [[nodiscard]] std::optional<double> rateLimitOf(const wire::InstanceRecord& record) const;

private:
    void addLeaving(const std::string& incarnation);

    std::set<std::string> leaving_;              ///< Names of incarnations.
    std::deque<std::string> leaving_order_;      ///< The same, the oldest first.
    std::map<std::string, double> rate_limits_;  ///< By the name of the incarnation.
};

}  // namespace dewcrank::entry
