/// @file
/// A relayed request and its result as HTTP between nodes: the caller's own request with
/// headers added, and the instance's own answer with headers added.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "src/relay/relay_service.h"

namespace dewcrank::relay {

/// Prefix of all headers between nodes; callers' headers of that prefix are dropped.
inline constexpr std::string_view kRelayHeaderPrefix = "dewcrank-relay-";

/// Who sends a relayed message, and which table it goes by.
struct RelayPeer {
    std::string name;
    std::uint64_t table_version = 0;
};

HttpRequest toHttp(const RelayRequest& request, const RelayPeer& sender, TimePoint now);
/// Nothing if the request is not a relayed one.
std::optional<RelayRequest> fromHttp(HttpRequest request, TimePoint now);
HttpAnswer toHttp(RelayResult result, const RelayPeer& sender);
/// An answer that no relay has marked is kUnknown.
RelayResult fromHttp(HttpAnswer answer);
RelayPeer peerOf(const Headers& headers);

}  // namespace dewcrank::relay
