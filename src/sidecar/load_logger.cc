#include "src/sidecar/load_logger.h"

#include <utility>

namespace dewcrank::sidecar {

namespace {

constexpr Duration kInterval = 1s;
constexpr double kMinLoggedUtilization = 0.8;  ///< Demand over capacity.

}  // namespace

LoadLogger::LoadLogger(Clock& clock, EventLog& log, const std::string& service, relay::RelayService& relay,
                       const decision::BottleneckView& bottlenecks, const decision::RetryLimit& retry_limit)
    : clock_(clock),
      log_(log),
      service_(service),
      relay_(relay),
      bottlenecks_(bottlenecks),
      retry_limit_(retry_limit) {}

/// Writes `load` if demand is near the instance's capacity or any known bottleneck limits admission.
void LoadLogger::write() {
    timer_ = clock_.startTimer(kInterval, [this] { write(); });
    writeRetries();
    writeRateLimit();
    const auto load = relay_.load();
    const auto service_load = relay_.serviceLoad();
    const auto tightest = bottlenecks_.worstBottleneck(clock_.now());
    if (service_load.demand < kMinLoggedUtilization * service_load.capacity && tightest.lowestRatio() >= 1) {
        return;
    }
    log_.write(Event("load")
                   .with("service", service_)
                   .with("running", load.running)
                   .with("waiting", load.waiting)
                   .with("limit", load.limit)
                   .with("demand", service_load.demand)
                   .with("busy", service_load.busy)
                   .with("level", service_load.admitRatio())
                   .with("least_level", tightest.lowestRatio())
                   .with("bottleneck", tightest.service));
}

/// Writes `rate_limited` while a limit is in force.
void LoadLogger::writeRateLimit() {
    const auto totals = relay_.sendTotals();
    const auto sent = totals.first_attempts + totals.retries + totals.probes;
    const auto sent_before = std::exchange(last_sent_, sent);
    const auto& limit = relay_.signals().rateLimit();
    if (!limit.limit()) {
        return;
    }
    const auto load = relay_.load();
    log_.write(Event("rate_limited")
                   .with("service", service_)
                   .with("limit", *limit.limit())
                   .with("age_ms", toMilliseconds(clock_.now() - limit.namedAt()))
                   .with("sent", sent - sent_before)
                   .with("running", load.running)
                   .with("waiting", load.waiting)
                   .with("wait_ms", toMilliseconds(load.rate_wait)));
}

/// Writes `repeats` if there were requests or retries since the last check; `dewcrank repeats` sums the values.
void LoadLogger::writeRetries() {
    const auto& now = relay_.retryTotals();
    const auto before = std::exchange(last_, now);
    const auto counted_before =
        relay_.countedElsewhere() - std::exchange(last_counted_before_, relay_.countedElsewhere());
    const double requests = now.requests - before.requests + now.inherited - before.inherited;
    if (requests <= 0 && now.granted == before.granted && now.denied == before.denied) {
        return;
    }
    const auto window = relay_.retryWindow();
    log_.write(Event("repeats")
                   .with("service", service_)
                   .with("requests", now.requests - before.requests)
                   .with("counted_before", counted_before)
                   .with("inherited", now.inherited - before.inherited)
                   .with("granted", now.granted - before.granted)
                   .with("denied", now.denied - before.denied)
                   .with("window_requests", window.requests)
                   .with("window_repeats", window.retries)
                   .with("window_allowed", window.allowed)
                   .with("relays", relay_.retryRelayCount())
                   .with("ratio", retry_limit_.ratio)
                   .with("slack", retry_limit_.slack)
                   .with("window_s", toSeconds(retry_limit_.window)));
}

}  // namespace dewcrank::sidecar
