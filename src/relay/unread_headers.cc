#include "src/relay/unread_headers.h"

#include <strings.h>

namespace dewcrank::relay {

namespace {

constexpr std::size_t kMaxNames = 32;
constexpr std::size_t kMaxValueLength = 64;  ///< Longer values are cut in the log.
/// Headers of HTTP itself. The client reads those that concern the connection or the length of the body.
const char* const kHttpHeaders[] = {"accept-ranges",
                                    "age",
                                    "cache-control",
                                    "connection",
                                    "content-encoding",
                                    "content-language",
                                    "content-range",
                                    "content-type",
                                    "content-length",
                                    "content-disposition",
                                    "date",
                                    "etag",
                                    "expires",
                                    "keep-alive",
                                    "last-modified",
                                    "location",
                                    "server",
                                    "transfer-encoding",
                                    "vary"};

}  // namespace

bool UnreadHeaders::NameOrder::operator()(const std::string& left, const std::string& right) const {
    return strcasecmp(left.c_str(), right.c_str()) < 0;
}

UnreadHeaders::UnreadHeaders(EventLog& log, const HeaderNames& names)
    : log_(log), known_(std::begin(kHttpHeaders), std::end(kHttpHeaders)) {
    known_.insert({names.request_id, names.not_executed, names.instance_id, names.server_stamp, names.server_load});
    known_.insert(names.rate_limit.begin(), names.rate_limit.end());
    known_.insert(names.leaving.begin(), names.leaving.end());
}

void UnreadHeaders::check(const HttpResponse& response, const std::string& instance) {
    for (const auto& header : response.headers.lines()) {
        if (known_.contains(header.name) || seen_.size() >= kMaxNames || !seen_.insert(header.name).second) {
            continue;
        }
        log_.write(Event("header_unread")
                       .with("header", header.name)
                       .with("value", header.value.substr(0, kMaxValueLength))
                       .with("instance", instance));
    }
}

}  // namespace dewcrank::relay
