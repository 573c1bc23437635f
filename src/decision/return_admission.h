/// @file
/// Admission of requests with regard to how long their callers have waited since their first attempts.
#pragma once

#include "src/decision/admission.h"
#include "src/decision/returns.h"

namespace dewcrank::decision {

/// Decision on one request.
struct ReturnDecision {
    bool is_admitted = false;
    bool may_reserve = false;  ///< If the request is rejected, its caller may be told a reserved time.
};

/// Admits or rejects a request. A client retry that takes a reservation is admitted before the first attempts of its
/// rank, any other one after all first attempts. Only callers that have waited as told so far may be told a reserved
/// time.
/// @param bottleneck    of the request's route; its service is known.
/// @param request       with `is_client_retry` as its deadline shows it.
/// @param since_first   time since the caller's first attempt, of a client retry.
ReturnDecision admitReturn(TimePoint now, const Bottleneck& bottleneck, AdmissionRequest request, Duration since_first,
                           Admission* admission, Returns* returns);

}  // namespace dewcrank::decision
