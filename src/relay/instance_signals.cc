#include "src/relay/instance_signals.h"

#include <charconv>
#include <string_view>

namespace dewcrank::relay {

namespace {

constexpr double kMaxRateLimit = 1e6;  ///< Requests per second; more than any instance runs.
constexpr std::string_view kIsLeaving = "1";

std::optional<double> parseRateLimit(std::string_view text) {
    double value = 0;
    const auto* const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value, std::chars_format::fixed);
    const bool is_number = result.ec == std::errc() && result.ptr == end;
    return is_number && value >= 0 && value <= kMaxRateLimit ? std::optional(value) : std::nullopt;
}

}  // namespace

InstanceSignals readSignals(const HttpResponse& response, const HeaderNames& names) {
    InstanceSignals signals;
    const auto* const leaving = response.headers.findAny(names.leaving);
    signals.is_leaving = leaving != nullptr && leaving->value == kIsLeaving;
    if (const auto* const limit = response.headers.findAny(names.rate_limit)) {
        signals.rate_limit = parseRateLimit(limit->value);
        signals.has_invalid_rate_limit = !signals.rate_limit;
    }
    if (response.headers.has(names.server_load)) {
        signals.load = balancing::parseLoadReport(response.headers.get(names.server_load));
        signals.has_invalid_load = !signals.load;
    }
    return signals;
}

}  // namespace dewcrank::relay
