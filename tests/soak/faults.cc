#include "tests/soak/faults.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <utility>

#include "src/base/http_status.h"

namespace dewcrank::soak {

namespace {

/// Which nodes, or the store, count as disturbed while a fault lasts: checks with a time limit skip these.
enum class Scope { kNode, kAll, kStore, kNone };

constexpr Duration kStopInterval = 1500ms;
/// The stops of a rolling stop spread over kBaseNodes * kStopInterval, whatever the number of nodes.
constexpr std::size_t kBaseNodes = 9;
constexpr Duration kRollingStopLength = kBaseNodes * kStopInterval + 4s;
/// Interval and size of the groups of a stop in groups; the groups are distinct nodes.
constexpr Duration kGroupInterval = 1300ms;
constexpr std::size_t kGroupSize = 4;
constexpr std::size_t kGroups = 3;
/// SIGHUP follows SIGTERM after these times: while the node still serves, and after it has closed its listener.
constexpr Duration kReloadsAfterStop[] = {200ms, 1500ms, 2900ms};
constexpr Duration kLinkDelay = 120ms;
constexpr Duration kStoreDelay = 400ms;
constexpr Duration kTableInterval = 250ms;
constexpr int kTableChanges = 8;
constexpr double kBurstFactor = 3;
constexpr int kClientRetries = 3;
constexpr double kSlowFactor = 8;
constexpr double kErrorShare = 0.4;
constexpr double kShedShare = 0.5;
constexpr double kLostResponseShare = 0.3;
constexpr double kUnsignedShare = 0.3;
constexpr double kRateLimit = 3;  ///< Requests per second that an instance names; a part of what it gets otherwise.

}  // namespace

/// How a kind of fault is applied (`begin`) and reverted (`end`).
struct FaultInjector::Kind {
    using Step = void (FaultInjector::*)(std::size_t);
    const char* name;
    Scope scope;
    bool terminates_process;
    Step begin;
    Step end;
    Duration min_duration{};  ///< How long its effects last without further action.
    bool is_drawn = true;     ///< In random schedules; later kinds are excluded to keep the schedules of old seeds.
    bool is_planned = false;  ///< A stop as planned, which excuses no loss of a response.
};

const std::vector<FaultInjector::Kind>& FaultInjector::kinds() {
    using F = FaultInjector;
    static const std::vector<Kind> all = {
        {"node-kill", Scope::kNode, true, &F::killNode, &F::allowNodeStart},
        {"most-nodes-kill", Scope::kAll, true, &F::killAllButOne, &F::allowAllStarts},
        {"node-freeze", Scope::kNode, true, &F::suspendNode, &F::resumeNode},
        {"node-stop", Scope::kNode, false, &F::stopNode, &F::noAction, {}, true, true},
        {"nodes-stop-in-turn", Scope::kAll, false, &F::rollingStop, &F::noAction, kRollingStopLength, true, true},
        {"node-reload", Scope::kNone, false, &F::reloadNode, &F::noAction},
        {"instance-crash", Scope::kNode, false, &F::crashInstance, &F::startInstance},
        {"instance-drain", Scope::kNone, false, &F::drainInstance, &F::startInstance},
        {"instance-slow", Scope::kNone, false, &F::slowInstance, &F::restoreInstance},
        {"instance-errors", Scope::kNone, false, &F::failRuns, &F::restoreInstance},
        {"instance-sheds", Scope::kNone, false, &F::shedAtInstance, &F::restoreInstance},
        {"service-sheds", Scope::kNone, false, &F::shedAtService, &F::restoreService},
        {"answers-lost", Scope::kNone, false, &F::dropResponses, &F::restoreInstance},
        {"answers-unsigned", Scope::kNone, false, &F::removeSignatures, &F::restoreInstance},
        {"instance-hang", Scope::kNone, false, &F::hangInstance, &F::restoreInstance},
        {"instance-of-another-service", Scope::kNode, false, &F::changeInstanceService, &F::restoreInstanceService},
        {"node-link-delay", Scope::kNode, false, &F::delayNode, &F::restoreNodeLink},
        {"node-cut", Scope::kNode, false, &F::partitionNode, &F::restoreNodeLink},
        {"node-cut-one-way", Scope::kNode, false, &F::partitionNodeOneWay, &F::restoreNodeLink},
        {"node-reset", Scope::kNode, false, &F::resetNode, &F::noAction},
        {"store-cut", Scope::kNode, false, &F::partitionStoreLink, &F::restoreStoreLink},
        {"store-cut-one-way", Scope::kNode, false, &F::partitionStoreLinkOneWay, &F::restoreStoreLink},
        {"store-reset", Scope::kNode, false, &F::resetStoreLink, &F::noAction},
        {"instance-link-delay", Scope::kNode, false, &F::delayInstance, &F::restoreInstanceLink},
        {"instance-reset", Scope::kNode, false, &F::resetInstance, &F::noAction},
        {"store-silent", Scope::kStore, false, &F::stallStore, &F::restoreStore},
        {"store-refuses", Scope::kStore, false, &F::failStore, &F::restoreStore},
        {"store-throttles", Scope::kStore, false, &F::throttleStore, &F::restoreStore},
        {"store-slow", Scope::kStore, false, &F::slowStore, &F::restoreStore},
        {"store-loses-answers", Scope::kStore, false, &F::dropStoreResponses, &F::restoreStore},
        {"store-forgets", Scope::kStore, false, &F::expireStoreHistory, &F::restoreStore},
        {"table-change", Scope::kNone, false, &F::changeTable, &F::noAction},
        {"table-storm", Scope::kNone, false, &F::changeTableRepeatedly, &F::noAction},
        {"burst", Scope::kNone, false, &F::startBurst, &F::stopBurst},
        {"crashing-requests", Scope::kNone, false, &F::startCrashingRequests, &F::stopCrashingRequests},
        {"resends", Scope::kNone, false, &F::startClientRetries, &F::stopClientRetries},
        {"instance-limit", Scope::kNone, false, &F::limitInstance, &F::restoreInstance, {}, false},
        {"service-limit", Scope::kNone, false, &F::limitService, &F::restoreService, {}, false},
        {"instance-leaving", Scope::kNone, false, &F::announceLeaving, &F::replaceInstance, {}, false},
        {"instance-leave", Scope::kNone, false, &F::leaveInstance, &F::startInstance, 9500ms, false},
        {"machine-replaced", Scope::kNode, true, &F::replaceHost, &F::startReplacement, {}, false},
        {"node-connections-silent", Scope::kNode, false, &F::silenceNode, &F::noAction, {}, false},
        {"store-connections-silent", Scope::kAll, false, &F::silenceStoreLinks, &F::noAction, {}, false},
        {"connections-silent", Scope::kAll, false, &F::silenceAllLinks, &F::noAction, {}, false},
        {"node-stop-reloaded", Scope::kNode, false, &F::stopNodeReloaded, &F::noAction, {}, false, true},
        {"nodes-stop-in-groups", Scope::kAll, false, &F::stopNodesInGroups, &F::noAction, {}, false, true},
    };
    return all;
}

std::vector<std::string> faultNames() {
    std::vector<std::string> names;
    for (const auto& kind : FaultInjector::kinds()) {
        names.emplace_back(kind.name);
    }
    return names;
}

std::vector<std::string> drawnFaultNames() {
    std::vector<std::string> names;
    for (const auto& kind : FaultInjector::kinds()) {
        if (kind.is_drawn) {
            names.emplace_back(kind.name);
        }
    }
    return names;
}

Duration FaultInjector::minDuration(const std::string& name) {
    const auto kind = std::find_if(kinds().begin(), kinds().end(), [&](const Kind& it) { return name == it.name; });
    return kind == kinds().end() ? Duration::zero() : kind->min_duration;
}

FaultInjector::FaultInjector(adapters::EventLoop& loop, Fleet& fleet, Callers& callers, double base_rate)
    : loop_(loop), fleet_(fleet), callers_(callers), base_rate_(base_rate) {}

void FaultInjector::schedule(const std::vector<PlannedFault>& faults) {
    for (const auto& fault : faults) {
        timers_.push_back(loop_.startTimer(fault.at, [this, fault] { begin(fault); }));
    }
}

void FaultInjector::begin(const PlannedFault& fault) {
    const auto kind =
        std::find_if(kinds().begin(), kinds().end(), [&](const Kind& it) { return fault.name == it.name; });
    std::vector<std::pair<std::size_t, std::size_t>> disturbed;  // Node number and disturbance number.
    const auto begin_disturbance = [&](std::size_t node) {
        disturbed.emplace_back(
            node, fleet_.observations().beginDisturbance(node, kind->terminates_process, kind->is_planned));
    };
    if (kind->scope == Scope::kNode) {
        begin_disturbance(fault.node);
    } else if (kind->scope == Scope::kStore) {
        begin_disturbance(kStoreIndex);
    } else if (kind->scope == Scope::kAll) {
        for (std::size_t node = 0; node < fleet_.size(); ++node) {
            begin_disturbance(node);
        }
    }
    (this->*kind->begin)(fault.node);
    timers_.push_back(loop_.startTimer(fault.duration, [this, kind, fault, disturbed] {
        (this->*kind->end)(fault.node);
        for (const auto& [node, number] : disturbed) {
            fleet_.observations().endDisturbance(node, number);
        }
    }));
}

// Node processes -------------------------------------------------------------

void FaultInjector::killNode(std::size_t node) {
    fleet_.setHeld(node, true);
    fleet_.signal(node, SIGKILL, true);
}

void FaultInjector::allowNodeStart(std::size_t node) {
    fleet_.setHeld(node, false);
}

void FaultInjector::killAllButOne(std::size_t node) {
    for (std::size_t other = 0; other < fleet_.size(); ++other) {
        if (other != node) {
            killNode(other);
        }
    }
}

void FaultInjector::allowAllStarts(std::size_t) {
    for (std::size_t other = 0; other < fleet_.size(); ++other) {
        allowNodeStart(other);
    }
}

void FaultInjector::suspendNode(std::size_t node) {
    fleet_.signal(node, SIGSTOP, false);
}

void FaultInjector::resumeNode(std::size_t node) {
    fleet_.signal(node, SIGCONT, false);
}

void FaultInjector::stopNode(std::size_t node) {
    fleet_.signal(node, SIGTERM, true);
}

void FaultInjector::rollingStop(std::size_t) {
    Duration wait{};
    for (std::size_t node = 0; node < fleet_.size(); ++node) {
        timers_.push_back(loop_.startTimer(wait, [this, node] { stopNode(node); }));
        wait += kStopInterval * kBaseNodes / fleet_.size();
    }
}

/// The settings of a node that is stopping are read again.
void FaultInjector::stopNodeReloaded(std::size_t node) {
    stopNode(node);
    for (const auto wait : kReloadsAfterStop) {
        timers_.push_back(loop_.startTimer(wait, [this, node] { fleet_.reloadStopping(node); }));
    }
}

void FaultInjector::stopNodesInGroups(std::size_t first) {
    const auto count = std::min(kGroups * kGroupSize, fleet_.size());
    for (std::size_t number = 0; number < count; ++number) {
        const auto wait = kGroupInterval * (number / kGroupSize);
        const auto node = (first + number) % fleet_.size();
        timers_.push_back(loop_.startTimer(wait, [this, node] { stopNode(node); }));
    }
}

void FaultInjector::reloadNode(std::size_t node) {
    fleet_.signal(node, SIGHUP, false);
}

// Instances ----------------------------------------------------------------------

void FaultInjector::crashInstance(std::size_t node) {
    fleet_.node(node).instance->crash();
}

void FaultInjector::startInstance(std::size_t node) {
    fleet_.startInstance(node);
}

void FaultInjector::drainInstance(std::size_t node) {
    fleet_.node(node).instance->drain();
}

void FaultInjector::leaveInstance(std::size_t node) {
    fleet_.node(node).instance->announceLeave();
}

void FaultInjector::slowInstance(std::size_t node) {
    fleet_.node(node).instance->faults().work_factor = kSlowFactor;
}

void FaultInjector::failRuns(std::size_t node) {
    fleet_.node(node).instance->faults().error_share = kErrorShare;
}

void FaultInjector::shedAtInstance(std::size_t node) {
    fleet_.node(node).instance->faults().shed_share = kShedShare;
}

/// Applies to all instances of the service of the node's instance.
void FaultInjector::shedAtService(std::size_t node) {
    forEachInstanceOfService(node, [this](std::size_t other) { shedAtInstance(other); });
}

void FaultInjector::restoreService(std::size_t node) {
    forEachInstanceOfService(node, [this](std::size_t other) { restoreInstance(other); });
}

void FaultInjector::limitInstance(std::size_t node) {
    fleet_.node(node).instance->faults().signals.rate_limit = kRateLimit;
}

void FaultInjector::limitService(std::size_t node) {
    forEachInstanceOfService(node, [this](std::size_t other) { limitInstance(other); });
}

/// Heartbeats go on saying that the instance is ready, until a new incarnation replaces it.
void FaultInjector::announceLeaving(std::size_t node) {
    fleet_.node(node).instance->faults().signals.is_leaving = true;
}

void FaultInjector::replaceInstance(std::size_t node) {
    restoreInstance(node);
    startInstance(node);
}

void FaultInjector::forEachInstanceOfService(std::size_t node, const std::function<void(std::size_t)>& action) {
    const auto service = fleet_.node(node).instance_options.service;
    for (std::size_t other = 0; other < fleet_.size(); ++other) {
        if (fleet_.node(other).instance_options.service == service) {
            action(other);
        }
    }
}

void FaultInjector::dropResponses(std::size_t node) {
    fleet_.node(node).instance->faults().lost_responses = kLostResponseShare;
}

void FaultInjector::removeSignatures(std::size_t node) {
    fleet_.node(node).instance->faults().unsigned_responses = kUnsignedShare;
}

void FaultInjector::hangInstance(std::size_t node) {
    fleet_.node(node).instance->faults().hangs = true;
}

void FaultInjector::restoreInstance(std::size_t node) {
    fleet_.node(node).instance->faults() = {};
}

/// Starts an instance of another service at the same address.
void FaultInjector::changeInstanceService(std::size_t node) {
    auto& options = fleet_.node(node).instance_options;
    options.service = options.service == "browse" ? "desk" : "browse";
    fleet_.startInstance(node);
}

void FaultInjector::restoreInstanceService(std::size_t node) {
    auto& it = fleet_.node(node);
    it.instance_options.service = it.name.substr(0, it.name.find('-'));
    fleet_.startInstance(node);
}

/// Replaces the host: a node of another name, with an instance of another service, takes over its addresses.
void FaultInjector::replaceHost(std::size_t node) {
    killNode(node);
    crashInstance(node);
    auto& it = fleet_.node(node);
    it.instance_options.service = it.instance_options.service == "browse" ? "leaf" : "browse";
    it.instance_options.internal_host.clear();
    fleet_.writeSettings(node, it.name + "-replaced");
}

void FaultInjector::startReplacement(std::size_t node) {
    allowNodeStart(node);
    fleet_.startInstance(node);
}

// Links --------------------------------------------------------------------------

void FaultInjector::delayNode(std::size_t node) {
    fleet_.node(node).node_proxy->setFaults({kLinkDelay, false, false});
}

void FaultInjector::partitionNode(std::size_t node) {
    fleet_.node(node).node_proxy->setFaults({{}, true, true});
}

void FaultInjector::partitionNodeOneWay(std::size_t node) {
    fleet_.node(node).node_proxy->setFaults({{}, false, true});
}

void FaultInjector::restoreNodeLink(std::size_t node) {
    fleet_.node(node).node_proxy->setFaults({});
}

void FaultInjector::resetNode(std::size_t node) {
    fleet_.node(node).node_proxy->resetAll();
}

void FaultInjector::partitionStoreLink(std::size_t node) {
    fleet_.node(node).store_proxy->setFaults({{}, true, true});
}

void FaultInjector::partitionStoreLinkOneWay(std::size_t node) {
    fleet_.node(node).store_proxy->setFaults({{}, false, true});
}

void FaultInjector::resetStoreLink(std::size_t node) {
    fleet_.node(node).store_proxy->resetAll();
}

void FaultInjector::restoreStoreLink(std::size_t node) {
    fleet_.node(node).store_proxy->setFaults({});
}

void FaultInjector::delayInstance(std::size_t node) {
    fleet_.node(node).instance_proxy->setFaults({kLinkDelay, false, false});
}

void FaultInjector::restoreInstanceLink(std::size_t node) {
    fleet_.node(node).instance_proxy->setFaults({});
}

void FaultInjector::resetInstance(std::size_t node) {
    fleet_.node(node).instance_proxy->resetAll();
}

void FaultInjector::silenceNode(std::size_t node) {
    fleet_.node(node).node_proxy->silenceAll();
    fleet_.node(node).instance_proxy->silenceAll();
    fleet_.node(node).store_proxy->silenceAll();
}

void FaultInjector::silenceStoreLinks(std::size_t) {
    for (std::size_t node = 0; node < fleet_.size(); ++node) {
        fleet_.node(node).store_proxy->silenceAll();
    }
}

void FaultInjector::silenceAllLinks(std::size_t) {
    for (std::size_t node = 0; node < fleet_.size(); ++node) {
        silenceNode(node);
    }
}

// Store ----------------------------------------------------------------------

void FaultInjector::stallStore(std::size_t) {
    fleet_.store().faults().never_responds = true;
}

void FaultInjector::failStore(std::size_t) {
    fleet_.store().faults().error_status = kHttpServiceUnavailable;
}

void FaultInjector::throttleStore(std::size_t) {
    fleet_.store().faults().error_status = kHttpTooManyRequests;
}

void FaultInjector::slowStore(std::size_t) {
    fleet_.store().faults().delay = kStoreDelay;
}

void FaultInjector::dropStoreResponses(std::size_t) {
    fleet_.store().faults().lost_responses = kLostResponseShare;
}

void FaultInjector::expireStoreHistory(std::size_t) {
    fleet_.store().faults().expires_history = true;
}

void FaultInjector::restoreStore(std::size_t) {
    fleet_.store().faults() = {};
}

// Operator and callers ---------------------------------------------------------

void FaultInjector::changeTable(std::size_t) {
    fleet_.putTable();
}

void FaultInjector::changeTableRepeatedly(std::size_t) {
    for (int count = 0; count < kTableChanges; ++count) {
        timers_.push_back(loop_.startTimer(count * kTableInterval, [this] { fleet_.putTable(); }));
    }
}

void FaultInjector::startBurst(std::size_t) {
    callers_.setRate(base_rate_ * kBurstFactor);
}

void FaultInjector::stopBurst(std::size_t) {
    callers_.setRate(base_rate_);
}

void FaultInjector::startClientRetries(std::size_t) {
    callers_.setClientRetries(kClientRetries);
}

void FaultInjector::startCrashingRequests(std::size_t) {
    callers_.startCrashing();
}

void FaultInjector::stopCrashingRequests(std::size_t) {
    callers_.stopCrashing();
}

void FaultInjector::stopClientRetries(std::size_t) {
    callers_.setClientRetries(0);
}

}  // namespace dewcrank::soak
