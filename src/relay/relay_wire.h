/// @file
/// HTTP form of relayed requests and results: the request of the caller and the response of the instance, each with
/// one more header that holds a list of fields.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "src/relay/relay_message.h"

namespace dewcrank::relay {

/// Prefix of the headers between nodes; headers of callers with this prefix are removed.
inline constexpr std::string_view kRelayHeaderPrefix = "dewcrank-relay-";

/// Sender of a relayed message, and the route table that the sender uses.
struct RelayPeer {
    std::string name;  ///< Name of the node.
    std::uint64_t table_version = 0;
    std::optional<Duration> table_age{};  ///< Time since the table was confirmed as the newest; in responses only.
};

/// A request and its sender.
struct ReceivedRequest {
    RelayPeer sender;
    RelayRequest request;
};

/// A result and its sender, which is empty if the response has no relay header.
struct ReceivedResult {
    RelayPeer sender;
    RelayResult result;
};

/// Adds the relay header to the request. @param now time from which the deadline is sent as a remaining duration.
HttpRequest toHttp(RelayRequest request, const RelayPeer& sender, TimePoint now);
/// @return whether the request has the relay header, which only an entry can have set.
bool isRelayed(const HttpRequest& request);
/// Parses and removes the relay header of a relayed request.
ReceivedRequest fromHttp(HttpRequest request, TimePoint now);
/// Adds the relay header to the response. The status is 200 if the result holds no response of the instance.
HttpResponse toHttp(RelayResult result, const RelayPeer& sender);
/// Parses and removes the relay header. @return outcome kUnknown and reason kRelayLost if the response has no relay
/// header.
ReceivedResult fromHttp(HttpResponse response);

}  // namespace dewcrank::relay
