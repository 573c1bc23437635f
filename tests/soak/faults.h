/// @file
/// The faults that a soak injects: how each kind begins and ends.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "tests/soak/callers.h"
#include "tests/soak/fault_schedule.h"
#include "tests/soak/fleet.h"

namespace dewcrank::soak {

/// Names of all kinds of faults.
std::vector<std::string> faultNames();
/// Names of those that a seed draws.
std::vector<std::string> drawnFaultNames();

/// Begins and ends faults.
class FaultInjector {
public:
    FaultInjector(adapters::EventLoop& loop, Fleet& fleet, Callers& callers, double usual_rate);
    void schedule(const std::vector<PlannedFault>& faults);
    /// How long a kind goes on by itself once it has begun; zero if it ends when it is told to.
    static Duration leastLength(const std::string& name);

private:
    struct Kind;
    friend std::vector<std::string> faultNames();
    friend std::vector<std::string> drawnFaultNames();
    static const std::vector<Kind>& kinds();
    void begin(const PlannedFault& fault);

    // Processes of nodes
    void killNode(std::size_t node);
    void letNodeStart(std::size_t node);
    void killMost(std::size_t node);
    void letAllStart(std::size_t node);
    void freezeNode(std::size_t node);
    void thawNode(std::size_t node);
    void stopNode(std::size_t node);
    void stopInTurn(std::size_t node);
    void reloadNode(std::size_t node);
    // Instances
    void crashInstance(std::size_t node);
    void startInstance(std::size_t node);
    void drainInstance(std::size_t node);
    void slowInstance(std::size_t node);
    void failInstance(std::size_t node);
    void shedAtInstance(std::size_t node);
    void shedAtService(std::size_t node);
    void mendService(std::size_t node);
    void eachOfService(std::size_t node, const std::function<void(std::size_t)>& action);
    void loseAnswers(std::size_t node);
    void spoilAnswers(std::size_t node);
    void hangInstance(std::size_t node);
    void mendInstance(std::size_t node);
    void moveInstance(std::size_t node);
    void moveInstanceBack(std::size_t node);
    void replaceMachine(std::size_t node);
    void letReplacementStart(std::size_t node);
    // Links
    void delayNode(std::size_t node);
    void cutNodeOff(std::size_t node);
    void cutNodeOneWay(std::size_t node);
    void mendNodeLink(std::size_t node);
    void resetNode(std::size_t node);
    void cutFromStore(std::size_t node);
    void cutFromStoreOneWay(std::size_t node);
    void resetFromStore(std::size_t node);
    void mendStoreLink(std::size_t node);
    void delayInstance(std::size_t node);
    void mendInstanceLink(std::size_t node);
    void resetInstance(std::size_t node);
    // The store
    void silenceStore(std::size_t node);
    void refuseStore(std::size_t node);
    void throttleStore(std::size_t node);
    void slowStore(std::size_t node);
    void loseStoreAnswers(std::size_t node);
    void forgetHistory(std::size_t node);
    void mendStore(std::size_t node);
    // The operator and callers
    void changeTable(std::size_t node);
    void changeTableOften(std::size_t node);
    void burst(std::size_t node);
    void endBurst(std::size_t node);
    void resend(std::size_t node);
    void endResend(std::size_t node);
    void beginCrashing(std::size_t node);
    void endCrashing(std::size_t node);
    void nothing(std::size_t) {}

    adapters::EventLoop& loop_;
    Fleet& fleet_;
    Callers& callers_;
    double usual_rate_;
    std::vector<TimerHandle> timers_;
};

}  // namespace dewcrank::soak
