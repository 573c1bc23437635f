/// @file
/// A connection of a server that ended before its client had the response.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace dewcrank::adapters {

/// Why a connection with an undelivered response ended.
enum class CutReason {
    kPeerClosed,    ///< The client closed its sending side.
    kReset,         ///< The client reset the connection, or its host has acknowledged nothing for too long.
    kWriteTimeout,  ///< The client has read nothing for the write timeout.
    kIdleTimeout,   ///< The client did not complete the next request in time, while a response was due.
    kStopLimit,     ///< The node's stop has ended at its limit.
    kProcessEnd,    ///< The process ends otherwise.
    kAborted,       ///< The handler has closed the connection.
};
/// @return the text of the reason in logs and metrics.
const char* cutReasonText(CutReason reason);
/// @return true if the client, and not the node, ended the connection.
[[nodiscard]] bool isEndedByClient(CutReason reason);

/// A response that its client has not received, or not known to have received, completely.
struct ResponseCut {
    std::string_view request_id;  ///< Valid during the call of the observer.
    sockaddr_in peer{};           ///< Address of the client.
    bool is_queued = false;       ///< The node had the response; otherwise the request was still at work.
    std::uint64_t delivered = 0;  ///< Bytes of the response, head included, that the client's host has acknowledged.
    std::uint64_t total = 0;      ///< Bytes of the response; 0 if it is not written yet.
    CutReason reason = CutReason::kPeerClosed;
};
/// @return "ip:port" of the client.
std::string peerText(const ResponseCut& cut);

/// Receives each cut response of a server.
using ResponseCutObserver = std::function<void(const ResponseCut&)>;

}  // namespace dewcrank::adapters
