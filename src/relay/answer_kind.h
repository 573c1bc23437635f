/// @file
/// What an instance's message says about the request that it was sent.
#pragma once

#include <string>

#include "src/base/header_names.h"
#include "src/base/http_message.h"

namespace dewcrank::relay {

enum class AnswerKind {
    kWhole,        ///< The request's own answer, be it a failure.
    kNotRun,       ///< The instance says that it did not run it.
    kMisdirected,  ///< The same, as another instance than the one asked for is there.
    kSpoiled,      ///< No answer, or not this request's.
};

/// @param request id of the request. @param takes_unsigned tests only: a success without the instance's signature
/// is an answer.
[[nodiscard]] AnswerKind kindOf(const HttpResponse& answer, const std::string& request, const HeaderNames& names,
                                bool takes_unsigned);

}  // namespace dewcrank::relay
