/// @file
/// Fault injection: the kinds of faults, and how each is applied and reverted.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "tests/soak/callers.h"
#include "tests/soak/fault_schedule.h"
#include "tests/soak/fleet.h"

namespace dewcrank::soak {

/// @return names of all kinds of faults, as the --fault, --only and --list options use them.
std::vector<std::string> faultNames();
/// @return names of the kinds that random schedules draw from.
std::vector<std::string> drawnFaultNames();

/// Applies scheduled faults and reverts them, and records the disturbances that they cause.
class FaultInjector {
public:
    /// @param base_rate requests per second outside of bursts.
    FaultInjector(adapters::EventLoop& loop, Fleet& fleet, Callers& callers, double base_rate);
    /// Schedules faults relative to now.
    /// @param faults whose names are all known.
    void schedule(const std::vector<PlannedFault>& faults);
    /// @return how long a fault lasts at least once it was applied; zero if it can be reverted at any time.
    static Duration minDuration(const std::string& name);

private:
    struct Kind;
    friend std::vector<std::string> faultNames();
    friend std::vector<std::string> drawnFaultNames();
    static const std::vector<Kind>& kinds();
    void begin(const PlannedFault& fault);

    // Node processes
    void killNode(std::size_t node);
    void allowNodeStart(std::size_t node);
    void killAllButOne(std::size_t node);
    void allowAllStarts(std::size_t node);
    void suspendNode(std::size_t node);
    void resumeNode(std::size_t node);
    void stopNode(std::size_t node);
    void rollingStop(std::size_t node);
    void stopNodeReloaded(std::size_t node);
    void stopNodesInGroups(std::size_t first);
    void reloadNode(std::size_t node);
    // Instances
    void crashInstance(std::size_t node);
    void startInstance(std::size_t node);
    void limitInstance(std::size_t node);
    void limitService(std::size_t node);
    void announceLeaving(std::size_t node);
    void replaceInstance(std::size_t node);
    void drainInstance(std::size_t node);
    void leaveInstance(std::size_t node);
    void slowInstance(std::size_t node);
    void failRuns(std::size_t node);
    void shedAtInstance(std::size_t node);
    void shedAtService(std::size_t node);
    void restoreService(std::size_t node);
    void forEachInstanceOfService(std::size_t node, const std::function<void(std::size_t)>& action);
    void dropResponses(std::size_t node);
    void removeSignatures(std::size_t node);
    void hangInstance(std::size_t node);
    void restoreInstance(std::size_t node);
    void changeInstanceService(std::size_t node);
    void restoreInstanceService(std::size_t node);
    void replaceHost(std::size_t node);
    void startReplacement(std::size_t node);
    // Links
    void delayNode(std::size_t node);
    void partitionNode(std::size_t node);
    void partitionNodeOneWay(std::size_t node);
    void restoreNodeLink(std::size_t node);
    void resetNode(std::size_t node);
    void partitionStoreLink(std::size_t node);
    void partitionStoreLinkOneWay(std::size_t node);
    void resetStoreLink(std::size_t node);
    void restoreStoreLink(std::size_t node);
    void delayInstance(std::size_t node);
    void restoreInstanceLink(std::size_t node);
    void resetInstance(std::size_t node);
    void silenceNode(std::size_t node);
    void silenceStoreLinks(std::size_t node);
    void silenceAllLinks(std::size_t node);
    // Store
    void stallStore(std::size_t node);
    void failStore(std::size_t node);
    void throttleStore(std::size_t node);
    void slowStore(std::size_t node);
    void dropStoreResponses(std::size_t node);
    void expireStoreHistory(std::size_t node);
    void restoreStore(std::size_t node);
    // Operator and callers
    void changeTable(std::size_t node);
    void changeTableRepeatedly(std::size_t node);
    void startBurst(std::size_t node);
    void stopBurst(std::size_t node);
    void startClientRetries(std::size_t node);
    void stopClientRetries(std::size_t node);
    void startCrashingRequests(std::size_t node);
    void stopCrashingRequests(std::size_t node);
    void noAction(std::size_t) {}

    adapters::EventLoop& loop_;
    Fleet& fleet_;
    Callers& callers_;
    double base_rate_;
    std::vector<TimerHandle> timers_;
};

}  // namespace dewcrank::soak
