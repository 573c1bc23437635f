#include "src/adapters/response_cut_log.h"

namespace dewcrank::adapters {

void ResponseCutLog::onCut(const char* server, const ResponseCut& cut, bool is_stopping) {
    const auto* reason = cutReasonText(cut.reason);
    ++totals_[{server, reason}];
    const bool is_by_client = isEndedByClient(cut.reason);
    if (!log_.accepts(is_by_client ? "client_left" : "response_cut")) {
        return;
    }
    auto event = is_by_client ? Event("client_left") : Event("response_cut");
    log_.write(event.with("request", cut.request_id)
                   .with("server", server)
                   .with("peer", peerText(cut))
                   .with("state", cut.is_queued ? "queued" : "at-work")
                   .with("delivered", cut.delivered)
                   .with("bytes", cut.total)
                   .with("reason", reason)
                   .with("stopping", is_stopping ? "yes" : "no"));
}

}  // namespace dewcrank::adapters
