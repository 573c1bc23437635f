/// @file
/// Time types of the project: microseconds on a monotonic clock.
#pragma once

#include <chrono>

namespace dewcrank {

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

/// @return whole milliseconds, rounded toward zero.
inline std::int64_t toMilliseconds(Duration duration) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

inline double toSeconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
}

/// @return whole microseconds, rounded toward zero.
inline Duration fromSeconds(double seconds) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace dewcrank
