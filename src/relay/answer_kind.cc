#include "src/relay/answer_kind.h"

#include <algorithm>
#include <array>

#include "src/base/http_status.h"

namespace dewcrank::relay {

namespace {

/// Statuses that promise that a request was not run.
constexpr std::array<int, 4> kPromises = {kHttpRequestTimeout, kHttpMisdirected, kHttpTooManyRequests,
                                          kHttpServiceUnavailable};

bool promisesNotRun(int status) {
    return std::find(kPromises.begin(), kPromises.end(), status) != kPromises.end();
}

}  // namespace

AnswerKind kindOf(const HttpResponse& answer, const std::string& request, const HeaderNames& names, bool takes_unsigned) {
    if (answer.status == kHttpMisdirected) {
        return AnswerKind::kMisdirected;
    }
    if (answer.headers.has(names.not_executed)) {
        return AnswerKind::kNotRun;
    }
    const bool is_own = answer.headers.get(names.request_id) == request;
    const bool is_signed =
        takes_unsigned || (answer.headers.has(names.server_stamp) && !answer.headers.has("content-encoding"));
    const bool is_whole = isSuccess(answer.status) ? is_own && is_signed : !promisesNotRun(answer.status);
    return is_whole ? AnswerKind::kWhole : AnswerKind::kSpoiled;
}

}  // namespace dewcrank::relay
