/// @file
/// What an entry has learned about instances from responses, by their incarnations.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "proto/generated/fleet.pb.h"
#include "src/relay/relay_message.h"

namespace dewcrank::entry {

/// Remembers named rate limits, to tell them to a relay that has been restarted. Bounded.
class KnownSignals {
public:
    /// Call with the result of each request. @param instance id of the instance that it was for.
    void onNotice(const std::string& instance, const relay::InstanceNotice& notice);
    /// @return the rate limit that the instance of a record has named last, in requests per second.
    [[nodiscard]] std::optional<double> rateLimitOf(const wire::InstanceRecord& record) const;

private:
    std::map<std::string, double> rate_limits_;  ///< By the name of the incarnation.
};

}  // namespace dewcrank::entry
