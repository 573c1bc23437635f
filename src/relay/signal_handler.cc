#include "src/relay/signal_handler.h"

#include <utility>

namespace dewcrank::relay {

namespace {

constexpr double kNoLimit = -1;              ///< In log lines.
constexpr std::size_t kMaxValueLength = 64;  ///< Longer values are cut in the log.

}  // namespace

SignalHandler::SignalHandler(Clock& clock, EventLog& log, instance::LocalInstance& instance, InstanceQueue& queue,
                             const HeaderNames& names, const DisabledMechanisms& disabled)
    : clock_(clock),
      log_(log),
      instance_(instance),
      queue_(queue),
      names_(names),
      disabled_(disabled),
      unread_headers_(log, names) {}

void SignalHandler::onNewIncarnation() {
    rate_limit_.reset();
    has_logged_invalid_ = false;
    has_logged_invalid_load_ = false;
    queue_.resetPace();
    queue_.setRateLimit(std::nullopt);
}

InstanceSignals SignalHandler::onResponse(const HttpResponse& response, const std::string& incarnation, TimePoint sent,
                                          const std::string& request_id) {
    unread_headers_.check(response, incarnation);
    const auto signals = readSignals(response, names_);
    if (incarnation != instance::incarnationName(instance_.record())) {
        return signals;
    }
    if (signals.has_invalid_rate_limit) {
        onInvalidRateLimit(response, incarnation);
    } else if (!disabled_.rate_limit_check && rate_limit_.onResponse(clock_.now(), sent, signals.rate_limit)) {
        const auto* const header = response.headers.findAny(names_.rate_limit);
        applyRateLimit(incarnation, request_id, header == nullptr ? "response" : header->name);
    }
    onLoad(signals, response, incarnation);
    if (signals.is_leaving && !disabled_.leaving_check && instance_.onLeaving()) {
        log_.write(Event("instance_leaving").with("instance", incarnation).with("request", request_id));
    }
    return signals;
}

void SignalHandler::onPeerNotice(double rate_limit, const std::string& incarnation, const std::string& request_id) {
    const bool is_current = incarnation == instance::incarnationName(instance_.record());
    if (is_current && !disabled_.rate_limit_check && rate_limit_.onPeerNotice(clock_.now(), rate_limit)) {
        applyRateLimit(incarnation, request_id, "peer");
    }
}

void SignalHandler::onInvalidRateLimit(const HttpResponse& response, const std::string& incarnation) {
    ++invalid_rate_limits_;
    if (has_logged_invalid_) {
        return;
    }
    has_logged_invalid_ = true;
    log_.write(Event("rate_limit_invalid")
                   .with("instance", incarnation)
                   .with("value", response.headers.findAny(names_.rate_limit)->value.substr(0, kMaxValueLength)));
}

void SignalHandler::onLoad(const InstanceSignals& signals, const HttpResponse& response,
                           const std::string& incarnation) {
    if (signals.load) {
        queue_.onLoadReport(*signals.load);
    }
    if (!signals.has_invalid_load) {
        return;
    }
    ++invalid_loads_;
    if (!std::exchange(has_logged_invalid_load_, true)) {
        const auto value = response.headers.get(names_.server_load).substr(0, kMaxValueLength);
        log_.write(Event("server_load_invalid").with("instance", incarnation).with("value", std::string(value)));
    }
}

void SignalHandler::applyRateLimit(const std::string& incarnation, const std::string& request_id,
                                   const std::string& source) {
    const auto previous = queue_.load().rate_limit;
    const auto& limit = rate_limit_.limit();
    log_.write(Event("rate_limit_changed")
                   .with("instance", incarnation)
                   .with("limit", limit.value_or(kNoLimit))
                   .with("previous", previous.value_or(kNoLimit))
                   .with("source", source)
                   .with("request", request_id));
    queue_.setRateLimit(limit);
    signal_rate_limit_changed_.emit();
}

}  // namespace dewcrank::relay
