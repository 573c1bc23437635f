/// @file
/// Log events and counts of responses that clients have not received.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "src/adapters/response_cut.h"
#include "src/ports/event_log.h"

namespace dewcrank::adapters {

/// Logs and counts cut responses. A node has one for all its servers.
///
/// Log events:
///   response_cut   this node has ended a connection whose client was due a response
///   client_left    the client has ended such a connection, which is ordinary
class ResponseCutLog {
public:
    /// Number of cut responses by server and reason.
    using Totals = std::map<std::pair<std::string, std::string>, std::uint64_t>;

    explicit ResponseCutLog(EventLog& log) : log_(log) {}
    /// @param server name of the server, "callers" or "nodes".
    void onCut(const char* server, const ResponseCut& cut, bool is_stopping);
    [[nodiscard]] const Totals& totals() const { return totals_; }

private:
    EventLog& log_;
    Totals totals_;
};

}  // namespace dewcrank::adapters
