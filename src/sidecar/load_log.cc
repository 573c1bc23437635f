#include "src/sidecar/load_log.h"

#include <utility>

namespace dewcrank::sidecar {

namespace {

constexpr Duration kInterval = 1s;
constexpr double kLoggedDemand = 0.8;

}  // namespace

LoadLog::LoadLog(Clock& clock, EventLog& log, const std::string& service, relay::RelayService& relay,
                 const decision::BottleneckView& bottlenecks, const decision::RetryLimit& retries)
    : clock_(clock), log_(log), service_(service), relay_(relay), bottlenecks_(bottlenecks), bound_(retries) {}

/// Once a second, while the instance is pressed or callers are refused.
void LoadLog::write() {
    timer_ = clock_.startTimer(kInterval, [this] { write(); });
    writeRepeats();
    const auto load = relay_.load();
    const auto own = relay_.serviceLoad();
    const auto least = bottlenecks_.worstBottleneck(clock_.now());
    if (own.demand < kLoggedDemand * own.capacity && least.admit_ratio >= 1) {
        return;
    }
    log_.write(Event("load")
                   .with("service", service_)
                   .with("running", load.running)
                   .with("waiting", load.waiting)
                   .with("limit", load.limit)
                   .with("demand", own.demand)
                   .with("busy", own.busy)
                   .with("level", own.admitRatio())
                   .with("least_level", least.admit_ratio)
                   .with("bottleneck", least.service));
}

/// Once a second, while requests come: what `dewcrank repeats` sums over the fleet.
void LoadLog::writeRepeats() {
    const auto& now = relay_.retryTotals();
    const auto before = std::exchange(last_, now);
    const auto counted_before =
        relay_.countedElsewhere() - std::exchange(last_counted_before_, relay_.countedElsewhere());
    const double asked = now.requests - before.requests + now.inherited - before.inherited;
    if (asked <= 0 && now.granted == before.granted && now.denied == before.denied) {
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
                   .with("ratio", bound_.ratio)
                   .with("slack", bound_.slack)
                   .with("window_s", toSeconds(bound_.window)));
}

}  // namespace dewcrank::sidecar
