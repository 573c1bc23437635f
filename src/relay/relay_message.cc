#include "src/relay/relay_message.h"

namespace dewcrank::relay {

const char* reasonText(RelayReason reason) {
    switch (reason) {
        case RelayReason::kNone:
            return "none";
        case RelayReason::kOtherInstance:
            return "other-instance";
        case RelayReason::kDraining:
            return "draining";
        case RelayReason::kStopping:
            return "stopping";
        case RelayReason::kRetryBudget:
            return "repeat-budget";
        case RelayReason::kQueueTooLong:
            return "queue-too-long";
        case RelayReason::kQueueTimeout:
            return "queue-timeout";
        case RelayReason::kDeadline:
            return "deadline";
        case RelayReason::kNotConnected:
            return "not-connected";
        case RelayReason::kInstanceRefused:
            return "instance-refused";
        case RelayReason::kNoCompleteResponse:
            return "no-whole-answer";
        case RelayReason::kRelayLost:
            return "relay-lost";
        case RelayReason::kInstanceCrashed:
            return "instance-ended";
        case RelayReason::kSuspect:
            return "suspect";
        case RelayReason::kQuarantined:
            return "quarantined";
        case RelayReason::kSuperseded:
            return "displaced";
    }
    return "none";
}

bool countsTowardRetryBudget(RelayReason reason) {
    return reason != RelayReason::kStopping && reason != RelayReason::kDraining &&
           reason != RelayReason::kOtherInstance && reason != RelayReason::kNotConnected &&
           reason != RelayReason::kQuarantined && reason != RelayReason::kSuperseded;
}

}  // namespace dewcrank::relay
