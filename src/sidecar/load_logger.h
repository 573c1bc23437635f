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

/// Writes the `load` and `repeats` events once a second, from start() on.
class LoadLogger {
public:
    LoadLogger(Clock& clock, EventLog& log, const std::string& service, relay::RelayService& relay,
               const decision::BottleneckView& bottlenecks, const decision::RetryLimit& retries);
    void start() { write(); }

private:
    void write();
    void writeRetries();

    Clock& clock_;
    EventLog& log_;
    const std::string& service_;
    relay::RelayService& relay_;
    const decision::BottleneckView& bottlenecks_;
    const decision::RetryLimit& retry_limit_;
    decision::RetryTotals last_;  ///< As of the last `repeats` event.
    std::uint64_t last_counted_before_ = 0;
    TimerHandle timer_;
};

}  // namespace dewcrank::sidecar
