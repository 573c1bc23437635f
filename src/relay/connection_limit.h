/// @file
/// Bounds the requests that run at an instance by the connections that it accepts, and by how recently it was down.
#pragma once

#include <cstdint>
#include <optional>

#include "src/base/time.h"

namespace dewcrank::relay {

/// Constants of the connection limit.
struct ConnectionLimitKnobs {
    Duration min_raise_interval = 50ms;  ///< Between two raises.
    /// A host that goes dark while all connections are in use is detected by the next raise.
    Duration max_raise_interval = 400ms;
    std::uint32_t max_raise = 4;  ///< Connections that are tried in one raise.
};

/// Learns how many connections an instance accepts. A connection carries one request at a time, so that the number of
/// running requests is the number of open connections that are not idle. There is no limit before the first refusal.
/// A refusal sets the limit to the connections open at that moment. It is raised again in small steps; the interval
/// between them doubles when connections are refused after a raise, and halves when none is.
class ConnectionLimit {
public:
    explicit ConnectionLimit(ConnectionLimitKnobs knobs) : knobs_(knobs), interval_(knobs.min_raise_interval) {}

    /// A connection was refused. @param open connections open or being opened, without the refused one.
    void onRefused(TimePoint now, std::uint32_t open);
    /// Raises the limit if that is due. @param slots of the instance, at which the limit ends.
    void raiseIfDue(TimePoint now, std::uint32_t slots);
    /// @return the connections that may be open; nothing: any number.
    [[nodiscard]] const std::optional<std::uint32_t>& limit() const { return limit_; }
    /// @return when the limit is to be raised next; only valid while there is a limit.
    [[nodiscard]] TimePoint nextRaise() const { return next_raise_; }
    /// Forgets the limit: the instance has been down meanwhile or is another one.
    void reset();

private:
    ConnectionLimitKnobs knobs_;
    std::optional<std::uint32_t> limit_;
    Duration interval_;
    bool is_raised_ = false;  ///< Since the last refusal.
    TimePoint next_raise_{};
};

/// Limit of the requests at an instance that was down: a few at first, and one more with each response. All requests
/// that waited meanwhile would otherwise open connections to it at once.
class SlowStart {
public:
    /// The instance is ready again. @param running requests that it may still be running.
    void begin(std::uint32_t running);
    /// The instance has responded. @param slots at which the limit ends.
    void onResponse(std::uint32_t slots);
    /// @return the requests that may run; nothing: any number.
    [[nodiscard]] const std::optional<std::uint32_t>& limit() const { return limit_; }
    void reset() { limit_.reset(); }

private:
    std::optional<std::uint32_t> limit_;
};

}  // namespace dewcrank::relay
