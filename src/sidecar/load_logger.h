/// @file
/// Periodic log events of a relay: the load of its instance, and the retry counts that `dewcrank repeats` sums over the
/// fleet.
#pragma once

#include <cstdint>
#include <string>

#include "src/decision/bottleneck_view.h"
#include "src/ports/clock.h"
#include "src/ports/event_log.h"
#include "src/relay/relay_service.h"

namespace dewcrank::sidecar {

/// Checks once a second, from start() on, which events to write.
///
/// Log events:
///   load      demand is near the capacity of the instance, or a known bottleneck limits admission
///   rate_limited   a rate limit that the instance has named is in force
///   repeats   there were requests or retries in the last second, which the event counts
class LoadLogger {
public:
    LoadLogger(Clock& clock, EventLog& log, const std::string& service, relay::RelayService& relay,
               const decision::BottleneckView& bottlenecks, const decision::RetryLimit& retry_limit);
    void start() { write(); }

private:
    void write();
    void writeRetries();
    void writeRateLimit();

    Clock& clock_;
    EventLog& log_;
    const std::string& service_;
    relay::RelayService& relay_;
    const decision::BottleneckView& bottlenecks_;
    const decision::RetryLimit& retry_limit_;
    decision::RetryTotals last_;             ///< As of the last check.
    std::uint64_t last_sent_ = 0;            ///< All that was sent to the instance, as of the last check.
    std::uint64_t last_counted_before_ = 0;  ///< relay::RelayService::countedElsewhere() as of the last check.
    TimerHandle timer_;
};

}  // namespace dewcrank::sidecar
