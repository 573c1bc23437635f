/// @file
/// The rate limit in force at one incarnation of an instance, as its responses name it.
#pragma once

#include <optional>

#include "src/base/time.h"

namespace dewcrank::relay {

/// Responses may be read in another order than the instance has written them. Only one to a request that was sent
/// after the limit was last named is certainly newer: it replaces the limit or ends it. Any other can only lower it.
class NamedRateLimit {
public:
    /// A new incarnation has named nothing yet.
    void reset() { *this = {}; }
    /// Call with each response. @param sent when its request was sent. @param named requests per second; none: the
    /// response names no limit. @return whether the limit in force has changed.
    bool onResponse(TimePoint now, TimePoint sent, std::optional<double> named);
    /// Another node was told this limit by an earlier response. Ignored once a response has been read here, which is
    /// newer. @return whether the limit in force has changed.
    bool onPeerNotice(TimePoint now, double named);

    /// @return whether a response has told if there is a limit.
    [[nodiscard]] bool isKnown() const { return is_known_; }
    /// Requests per second; none: no limit is in force.
    [[nodiscard]] const std::optional<double>& limit() const { return limit_; }
    /// When the limit in force was last named.
    [[nodiscard]] TimePoint namedAt() const { return named_at_; }

private:
    bool is_known_ = false;
    std::optional<double> limit_;
    TimePoint named_at_{};
};

}  // namespace dewcrank::relay
