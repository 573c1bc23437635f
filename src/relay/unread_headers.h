/// @file
/// Finds headers of instances' responses that no part of the node reads, so that a signal of an instance that goes
/// unheeded shows in the log.
#pragma once

#include <cstddef>
#include <set>
#include <string>

#include "src/base/header_names.h"
#include "src/base/http_message.h"
#include "src/ports/event_log.h"

namespace dewcrank::relay {

/// Remembers the names that were seen, up to a maximum. The headers themselves are passed on unchanged.
///
/// Log events:
///   header_unread   an instance sent a header for the first time that nothing here reads
class UnreadHeaders {
public:
    UnreadHeaders(EventLog& log, const HeaderNames& names);

    /// Logs each header name of the response that is neither read by the node nor a usual one of HTTP.
    /// @param instance name of the incarnation that sent the response.
    void check(const HttpResponse& response, const std::string& instance);
    /// @return the number of different names seen so far.
    [[nodiscard]] std::size_t count() const { return seen_.size(); }

private:
    struct NameOrder {
        bool operator()(const std::string& left, const std::string& right) const;
    };
    using Names = std::set<std::string, NameOrder>;

    EventLog& log_;
    Names known_;
    Names seen_;
};

}  // namespace dewcrank::relay
