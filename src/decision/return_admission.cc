#include "src/decision/return_admission.h"

namespace dewcrank::decision {

ReturnDecision admitReturn(TimePoint now, const Bottleneck& bottleneck, AdmissionRequest request, Duration since_first,
                           Admission* admission, Returns* returns) {
    auto kind = ReturnKind::kFirstAttempt;
    if (request.is_client_retry) {
        kind = returns->classify(now, bottleneck.service, since_first);
    }
    request.is_reserved_return = kind == ReturnKind::kKept;
    request.is_client_retry = request.is_client_retry && !request.is_reserved_return;
    const bool is_admitted = admission->admits(now, bottleneck, request);
    returns->onDecision(now, bottleneck, request.rank, kind, is_admitted);
    return {is_admitted, !request.is_client_retry};
}

}  // namespace dewcrank::decision
