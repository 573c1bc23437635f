#include "src/relay/response_kind.h"

#include <algorithm>
#include <array>

#include "src/base/http_status.h"

namespace dewcrank::relay {

namespace {

/// Failure statuses that are valid only together with the header that declares a request as not run.
constexpr std::array<int, 4> kNotRunStatuses = {kHttpRequestTimeout, kHttpMisdirected, kHttpTooManyRequests,
                                                kHttpServiceUnavailable};

bool impliesNotRun(int status) {
    return std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(), status) != kNotRunStatuses.end();
}

}  // namespace

ResponseKind classifyResponse(const HttpResponse& response, const std::string& request, const HeaderNames& names,
                              bool accepts_unsigned) {
    if (response.status == kHttpMisdirected) {
        return ResponseKind::kMisdirected;
    }
    if (response.headers.has(names.not_executed)) {
        return ResponseKind::kNotRun;
    }
    const bool matches_request = response.headers.get(names.request_id) == request;
    const bool is_signed =
        accepts_unsigned || (response.headers.has(names.server_stamp) && !response.headers.has("content-encoding"));
    const bool is_complete =
        isSuccess(response.status) ? matches_request && is_signed : !impliesNotRun(response.status);
    return is_complete ? ResponseKind::kComplete : ResponseKind::kInvalid;
}

}  // namespace dewcrank::relay
