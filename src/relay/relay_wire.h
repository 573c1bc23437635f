/// @file
/// A relayed request and its result as HTTP between nodes: the caller's own request with one header
/// added, and the instance's own answer with one header added.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "src/relay/relay_message.h"

namespace dewcrank::relay {

/// Prefix of the headers between nodes; callers' headers of that prefix are dropped.
inline constexpr std::string_view kRelayHeaderPrefix = "dewcrank-relay-";

/// Who sends a relayed message, and which table it goes by.
struct RelayPeer {
    std::string name;
    std::uint64_t table_version = 0;
    std::optional<Duration> table_age{};  ///< In an answer: so long ago that table was known to be the newest.
};

/// A request as it was received, and who sent it.
struct ReceivedRequest {
    RelayPeer sender;
    RelayRequest request;
};

/// A result as it was received, and who sent it; the sender is empty if no relay has marked it.
struct ReceivedResult {
    RelayPeer sender;
    RelayResult result;
};

HttpRequest toHttp(RelayRequest request, const RelayPeer& sender, TimePoint now);
/// Nothing if the request is not a relayed one.
std::optional<ReceivedRequest> fromHttp(HttpRequest request, TimePoint now);
HttpResponse toHttp(RelayResult result, const RelayPeer& sender);
/// An answer that no relay has marked is kUnknown.
ReceivedResult fromHttp(HttpResponse response);

}  // namespace dewcrank::relay
