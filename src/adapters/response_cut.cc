#include "src/adapters/response_cut.h"

#include <arpa/inet.h>

#include <array>

namespace dewcrank::adapters {

const char* cutReasonText(CutReason reason) {
    switch (reason) {
        case CutReason::kPeerClosed:
            return "peer-closed";
        case CutReason::kReset:
            return "reset";
        case CutReason::kWriteTimeout:
            return "write-timeout";
        case CutReason::kIdleTimeout:
            return "idle-timeout";
        case CutReason::kStopLimit:
            return "stop-limit";
        case CutReason::kProcessEnd:
            return "process-end";
        case CutReason::kAborted:
            return "aborted";
    }
    return "aborted";
}

bool isEndedByClient(CutReason reason) {
    return reason == CutReason::kPeerClosed || reason == CutReason::kReset;
}

std::string peerText(const ResponseCut& cut) {
    std::array<char, INET_ADDRSTRLEN> ip{};
    inet_ntop(AF_INET, &cut.peer.sin_addr, ip.data(), ip.size());
    return std::string(ip.data()) + ":" + std::to_string(ntohs(cut.peer.sin_port));
}

}  // namespace dewcrank::adapters
