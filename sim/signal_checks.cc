/// @file
/// Collects the records of a simulated fleet that concern the signals of its instances, and checks them.

#include <map>
#include <string>

#include "sim/sidecar_fleet.h"
#include "sim/signal_replay.h"

namespace dewcrank::sim {

RequestOrigin SidecarFleet::originOf(const ArrivalRecord& arrival,
                                     const std::map<std::string, const CallerRequest*>& by_id) const {
    if (!arrival.origin.entry.empty()) {
        return arrival.origin;
    }
    const auto found = by_id.find(arrival.request_id);
    return found == by_id.end() ? RequestOrigin{} : RequestOrigin{found->second->entry_address, found->second->sent};
}

void SidecarFleet::checkSignals(std::vector<Violation>* out) const {
    const auto by_id = requestsById();
    std::map<std::string, std::vector<SignalEvent>> events;
    for (const auto& [incarnation, changes] : records_.signals) {
        for (const auto& change : changes) {
            events[incarnation].push_back({change.at, SignalEvent::Kind::kChange, "", change.signals, {}, ""});
        }
    }
    for (const auto& passed : records_.passed_signals) {
        events[passed.incarnation].push_back(
            {passed.at, SignalEvent::Kind::kPassed, passed.entry, passed.signals, {}, ""});
    }
    for (const auto& arrival : records_.arrivals) {
        if (const auto found = events.find(arrival.incarnation); found != events.end()) {
            const auto origin = originOf(arrival, by_id);
            found->second.push_back(
                {arrival.at, SignalEvent::Kind::kArrival, origin.entry, {}, origin.sent, arrival.request_id});
        }
    }
    for (auto& [incarnation, all] : events) {
        for (const auto& restart : entry_restarts_) {
            all.push_back({restart.at, SignalEvent::Kind::kRestart, restart.entry, {}, {}, ""});
        }
        for (const auto& violation : replaySignals(incarnation, all)) {
            out->push_back({violation.invariant, violation.detail});
        }
    }
}

}  // namespace dewcrank::sim
