/// @file
/// Classifies what an instance sent back for a request.
#pragma once

#include <string>

#include "src/base/header_names.h"
#include "src/base/http_message.h"

namespace dewcrank::relay {

/// What a message of an instance proves about the request.
enum class ResponseKind {
    kComplete,     ///< The response of this request, successful or not.
    kNotRun,       ///< The instance declares that it did not run the request.
    kMisdirected,  ///< As kNotRun, because another instance than the expected one listens at the address.
    kInvalid,      ///< Not a valid response to this request: it may have run.
};

/// Classifies the response of an instance by its status and headers.
/// @param request id of the request, which a successful response repeats.
/// @param accepts_unsigned tests only: accepts a success without the server stamp of the instance.
/// @return what the response proves.
[[nodiscard]] ResponseKind classifyResponse(const HttpResponse& response, const std::string& request,
                                            const HeaderNames& names, bool accepts_unsigned);

}  // namespace dewcrank::relay
