#include "src/relay/relay_wire.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

#include "src/base/http_status.h"

namespace dewcrank::relay {

namespace {

constexpr std::string_view kInstance = "dewcrank-relay-instance";
constexpr std::string_view kRepeat = "dewcrank-relay-repeat";
constexpr std::string_view kRoute = "dewcrank-relay-route";
constexpr std::string_view kPriority = "dewcrank-relay-priority";
constexpr std::string_view kDeadline = "dewcrank-relay-deadline-us";
constexpr std::string_view kWait = "dewcrank-relay-wait-us";
constexpr std::string_view kSender = "dewcrank-relay-sender";
constexpr std::string_view kTable = "dewcrank-relay-table";
constexpr std::string_view kOutcome = "dewcrank-relay-outcome";
constexpr std::string_view kReason = "dewcrank-relay-reason";
constexpr std::string_view kOffered = "dewcrank-relay-offered";
constexpr std::string_view kLoad = "dewcrank-relay-load";
constexpr std::string_view kInner = "dewcrank-relay-inner";
constexpr std::string_view kBottleneck = "dewcrank-relay-bottleneck";
constexpr std::string_view kLevel = "dewcrank-relay-level-permille";
constexpr std::string_view kLastChoice = "dewcrank-relay-last-choice";
constexpr double kPermille = 1000;

constexpr std::array<std::string_view, 3> kOutcomeNames = {"answered", "not-run", "unknown"};

std::int64_t numberIn(const Headers& headers, std::string_view name) {
    const auto text = headers.get(name);
    std::int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

QueueLoad parseLoad(std::string_view text) {
    QueueLoad load;
    const std::string copy(text);
    long long mean_time_us = 0;
    std::sscanf(copy.c_str(), "%u,%u,%u,%lld", &load.running, &load.waiting, &load.limit, &mean_time_us);
    load.mean_time = Duration(mean_time_us);
    return load;
}

void addPeer(Headers& headers, const RelayPeer& peer) {
    headers.set(kSender, peer.name);
    headers.set(kTable, std::to_string(peer.table_version));
}

}  // namespace

HttpRequest toHttp(const RelayRequest& request, const RelayPeer& sender, TimePoint now) {
    auto message = request.request;
    message.headers.set(kInstance, request.instance);
    message.headers.set(kRepeat, request.is_repeat ? "1" : "0");
    message.headers.set(kLastChoice, request.is_last_choice ? "1" : "0");
    message.headers.set(kRoute, request.route);
    message.headers.set(kPriority, std::to_string(request.priority));
    message.headers.set(kDeadline, std::to_string((request.deadline - now).count()));
    message.headers.set(kWait, std::to_string(request.longest_wait.count()));
    addPeer(message.headers, sender);
    return message;
}

std::optional<RelayRequest> fromHttp(HttpRequest request, TimePoint now) {
    if (!request.headers.has(kInstance)) {
        return std::nullopt;
    }
    RelayRequest relayed;
    relayed.instance = request.headers.get(kInstance);
    relayed.is_repeat = numberIn(request.headers, kRepeat) != 0;
    relayed.is_last_choice = numberIn(request.headers, kLastChoice) != 0;
    relayed.route = request.headers.get(kRoute);
    relayed.priority = static_cast<std::uint32_t>(numberIn(request.headers, kPriority));
    relayed.deadline = now + Duration(numberIn(request.headers, kDeadline));
    relayed.longest_wait = Duration(numberIn(request.headers, kWait));
    request.headers.removePrefix(kRelayHeaderPrefix);
    relayed.request = std::move(request);
    return relayed;
}

HttpAnswer toHttp(RelayResult result, const RelayPeer& sender) {
    auto answer = std::move(result.answer);
    if (result.outcome != RelayOutcome::kAnswered) {
        answer.status = kHttpOk;
    }
    answer.headers.removePrefix(kRelayHeaderPrefix);
    answer.headers.set(kOutcome, std::string(kOutcomeNames.at(static_cast<std::size_t>(result.outcome))));
    answer.headers.set(kReason, std::to_string(static_cast<int>(result.reason)));
    answer.headers.set(kOffered, result.was_offered ? "1" : "0");
    const auto& load = result.load;
    answer.headers.set(kLoad, std::to_string(load.running) + "," + std::to_string(load.waiting) + "," +
                                  std::to_string(load.limit) + "," + std::to_string(load.mean_time.count()));
    answer.headers.set(kInner, result.is_inner ? "1" : "0");
    answer.headers.set(kBottleneck, result.bottleneck);
    answer.headers.set(kLevel, std::to_string(static_cast<int>(result.level * kPermille)));
    addPeer(answer.headers, sender);
    return answer;
}

RelayResult fromHttp(HttpAnswer answer) {
    RelayResult result;
    const auto name = answer.headers.get(kOutcome);
    const auto* found = std::find(kOutcomeNames.begin(), kOutcomeNames.end(), name);
    if (found == kOutcomeNames.end()) {
        result.outcome = RelayOutcome::kUnknown;
        result.reason = RelayReason::kRelayLost;
        result.was_offered = true;
        return result;
    }
    result.outcome = static_cast<RelayOutcome>(found - kOutcomeNames.begin());
    result.reason = static_cast<RelayReason>(numberIn(answer.headers, kReason));
    result.was_offered = numberIn(answer.headers, kOffered) != 0;
    result.load = parseLoad(answer.headers.get(kLoad));
    result.has_load = true;
    result.is_inner = numberIn(answer.headers, kInner) != 0;
    result.bottleneck = answer.headers.get(kBottleneck);
    result.level = static_cast<double>(numberIn(answer.headers, kLevel)) / kPermille;
    answer.headers.removePrefix(kRelayHeaderPrefix);
    result.answer = std::move(answer);
    return result;
}

RelayPeer peerOf(const Headers& headers) {
    return {std::string(headers.get(kSender)), static_cast<std::uint64_t>(numberIn(headers, kTable))};
}

}  // namespace dewcrank::relay
