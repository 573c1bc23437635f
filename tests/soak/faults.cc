#include "tests/soak/faults.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <utility>

#include "src/base/http_status.h"

namespace dewcrank::soak {

namespace {

/// What a fault strikes, and so whose promises with a bound in time are suspended.
enum class Scope { kNode, kAll, kStore, kNone };

constexpr Duration kStopGap = 1500ms;
/// Of all nodes, nine of them with that gap, more with a smaller one; the last is back some seconds after its stop.
constexpr std::size_t kUsualNodes = 9;
constexpr Duration kStopInTurnLength = kUsualNodes * kStopGap + 4s;
constexpr Duration kLinkDelay = 120ms;
constexpr Duration kStoreDelay = 400ms;
constexpr Duration kTableGap = 250ms;
constexpr int kTablesInARow = 8;
constexpr double kBurst = 3;
constexpr int kResends = 3;
constexpr double kSlowness = 8;
constexpr double kErrorShare = 0.4;
constexpr double kShedShare = 0.5;
constexpr double kLostShare = 0.3;
constexpr double kSpoiledShare = 0.3;

}  // namespace

/// How one kind of fault begins and ends.
struct FaultInjector::Kind {
    using Step = void (FaultInjector::*)(std::size_t);
    const char* name;
    Scope scope;
    bool ends_process;
    Step begin;
    Step end;
    Duration least_length{};  ///< What it begins goes on for so long by itself.
    bool is_drawn = true;     ///< By seeds: what was added since they were drawn is given by name.
};

const std::vector<FaultInjector::Kind>& FaultInjector::kinds() {
    using F = FaultInjector;
    static const std::vector<Kind> all = {
        {"node-kill", Scope::kNode, true, &F::killNode, &F::letNodeStart},
        {"most-nodes-kill", Scope::kAll, true, &F::killMost, &F::letAllStart},
        {"node-freeze", Scope::kNode, true, &F::freezeNode, &F::thawNode},
        {"node-stop", Scope::kNode, false, &F::stopNode, &F::nothing},
        {"nodes-stop-in-turn", Scope::kAll, false, &F::stopInTurn, &F::nothing, kStopInTurnLength},
        {"node-reload", Scope::kNone, false, &F::reloadNode, &F::nothing},
        {"instance-crash", Scope::kNode, false, &F::crashInstance, &F::startInstance},
        {"instance-drain", Scope::kNone, false, &F::drainInstance, &F::startInstance},
        {"instance-slow", Scope::kNone, false, &F::slowInstance, &F::mendInstance},
        {"instance-errors", Scope::kNone, false, &F::failInstance, &F::mendInstance},
        {"instance-sheds", Scope::kNone, false, &F::shedAtInstance, &F::mendInstance},
        {"service-sheds", Scope::kNone, false, &F::shedAtService, &F::mendService},
        {"answers-lost", Scope::kNone, false, &F::loseAnswers, &F::mendInstance},
        {"answers-unsigned", Scope::kNone, false, &F::spoilAnswers, &F::mendInstance},
        {"instance-hang", Scope::kNone, false, &F::hangInstance, &F::mendInstance},
        {"instance-of-another-service", Scope::kNode, false, &F::moveInstance, &F::moveInstanceBack},
        {"node-link-delay", Scope::kNode, false, &F::delayNode, &F::mendNodeLink},
        {"node-cut", Scope::kNode, false, &F::cutNodeOff, &F::mendNodeLink},
        {"node-cut-one-way", Scope::kNode, false, &F::cutNodeOneWay, &F::mendNodeLink},
        {"node-reset", Scope::kNode, false, &F::resetNode, &F::nothing},
        {"store-cut", Scope::kNode, false, &F::cutFromStore, &F::mendStoreLink},
        {"store-cut-one-way", Scope::kNode, false, &F::cutFromStoreOneWay, &F::mendStoreLink},
        {"store-reset", Scope::kNode, false, &F::resetFromStore, &F::nothing},
        {"instance-link-delay", Scope::kNode, false, &F::delayInstance, &F::mendInstanceLink},
        {"instance-reset", Scope::kNode, false, &F::resetInstance, &F::nothing},
        {"store-silent", Scope::kStore, false, &F::silenceStore, &F::mendStore},
        {"store-refuses", Scope::kStore, false, &F::refuseStore, &F::mendStore},
        {"store-throttles", Scope::kStore, false, &F::throttleStore, &F::mendStore},
        {"store-slow", Scope::kStore, false, &F::slowStore, &F::mendStore},
        {"store-loses-answers", Scope::kStore, false, &F::loseStoreAnswers, &F::mendStore},
        {"store-forgets", Scope::kStore, false, &F::forgetHistory, &F::mendStore},
        {"table-change", Scope::kNone, false, &F::changeTable, &F::nothing},
        {"table-storm", Scope::kNone, false, &F::changeTableOften, &F::nothing},
        {"burst", Scope::kNone, false, &F::burst, &F::endBurst},
        {"crashing-requests", Scope::kNone, false, &F::beginCrashing, &F::endCrashing},
        {"resends", Scope::kNone, false, &F::resend, &F::endResend},
        {"machine-replaced", Scope::kNode, true, &F::replaceMachine, &F::letReplacementStart, {}, false},
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

Duration FaultInjector::leastLength(const std::string& name) {
    const auto kind = std::find_if(kinds().begin(), kinds().end(), [&](const Kind& it) { return name == it.name; });
    return kind == kinds().end() ? Duration::zero() : kind->least_length;
}

FaultInjector::FaultInjector(adapters::EventLoop& loop, Fleet& fleet, Callers& callers, double usual_rate)
    : loop_(loop), fleet_(fleet), callers_(callers), usual_rate_(usual_rate) {}

void FaultInjector::schedule(const std::vector<PlannedFault>& faults) {
    for (const auto& fault : faults) {
        timers_.push_back(loop_.startTimer(fault.at, [this, fault] { begin(fault); }));
    }
}

void FaultInjector::begin(const PlannedFault& fault) {
    const auto kind =
        std::find_if(kinds().begin(), kinds().end(), [&](const Kind& it) { return fault.name == it.name; });
    std::vector<std::pair<std::size_t, std::size_t>> disturbed;  // Node, then number.
    const auto disturb = [&](std::size_t node) {
        disturbed.emplace_back(node, fleet_.seen().disturb(node, kind->ends_process));
    };
    if (kind->scope == Scope::kNode) {
        disturb(fault.node);
    } else if (kind->scope == Scope::kStore) {
        disturb(kStoreNumber);
    } else if (kind->scope == Scope::kAll) {
        for (std::size_t node = 0; node < fleet_.size(); ++node) {
            disturb(node);
        }
    }
    (this->*kind->begin)(fault.node);
    timers_.push_back(loop_.startTimer(fault.lasts, [this, kind, fault, disturbed] {
        (this->*kind->end)(fault.node);
        for (const auto& [node, number] : disturbed) {
            fleet_.seen().disturbanceEnded(node, number);
        }
    }));
}

// Processes of nodes -------------------------------------------------------------

void FaultInjector::killNode(std::size_t node) {
    fleet_.hold(node, true);
    fleet_.signal(node, SIGKILL, true);
}

void FaultInjector::letNodeStart(std::size_t node) {
    fleet_.hold(node, false);
}

void FaultInjector::killMost(std::size_t node) {
    for (std::size_t other = 0; other < fleet_.size(); ++other) {
        if (other != node) {
            killNode(other);
        }
    }
}

void FaultInjector::letAllStart(std::size_t) {
    for (std::size_t other = 0; other < fleet_.size(); ++other) {
        letNodeStart(other);
    }
}

void FaultInjector::freezeNode(std::size_t node) {
    fleet_.signal(node, SIGSTOP, false);
}

void FaultInjector::thawNode(std::size_t node) {
    fleet_.signal(node, SIGCONT, false);
}

void FaultInjector::stopNode(std::size_t node) {
    fleet_.signal(node, SIGTERM, true);
}

void FaultInjector::stopInTurn(std::size_t) {
    Duration wait{};
    for (std::size_t node = 0; node < fleet_.size(); ++node) {
        timers_.push_back(loop_.startTimer(wait, [this, node] { stopNode(node); }));
        wait += kStopGap * kUsualNodes / fleet_.size();
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

void FaultInjector::slowInstance(std::size_t node) {
    fleet_.node(node).instance->faults().slowness = kSlowness;
}

void FaultInjector::failInstance(std::size_t node) {
    fleet_.node(node).instance->faults().errors = kErrorShare;
}

void FaultInjector::shedAtInstance(std::size_t node) {
    fleet_.node(node).instance->faults().sheds = kShedShare;
}

/// All instances of the service that the node's belongs to.
void FaultInjector::shedAtService(std::size_t node) {
    eachOfService(node, [this](std::size_t other) { shedAtInstance(other); });
}

void FaultInjector::mendService(std::size_t node) {
    eachOfService(node, [this](std::size_t other) { mendInstance(other); });
}

void FaultInjector::eachOfService(std::size_t node, const std::function<void(std::size_t)>& action) {
    const auto service = fleet_.node(node).instance_options.service;
    for (std::size_t other = 0; other < fleet_.size(); ++other) {
        if (fleet_.node(other).instance_options.service == service) {
            action(other);
        }
    }
}

void FaultInjector::loseAnswers(std::size_t node) {
    fleet_.node(node).instance->faults().lost_answers = kLostShare;
}

void FaultInjector::spoilAnswers(std::size_t node) {
    fleet_.node(node).instance->faults().unsigned_answers = kSpoiledShare;
}

void FaultInjector::hangInstance(std::size_t node) {
    fleet_.node(node).instance->faults().hangs = true;
}

void FaultInjector::mendInstance(std::size_t node) {
    fleet_.node(node).instance->faults() = {};
}

/// The address goes to an instance of another service.
void FaultInjector::moveInstance(std::size_t node) {
    auto& options = fleet_.node(node).instance_options;
    options.service = options.service == "browse" ? "desk" : "browse";
    fleet_.startInstance(node);
}

void FaultInjector::moveInstanceBack(std::size_t node) {
    auto& it = fleet_.node(node);
    it.instance_options.service = it.name.substr(0, it.name.find('-'));
    fleet_.startInstance(node);
}

/// The machine ends for good; its addresses go to one of another name, with an instance of another service.
void FaultInjector::replaceMachine(std::size_t node) {
    killNode(node);
    crashInstance(node);
    auto& it = fleet_.node(node);
    it.instance_options.service = it.instance_options.service == "browse" ? "leaf" : "browse";
    it.instance_options.inner_host.clear();
    fleet_.writeSettings(node, it.name + "-replaced");
}

void FaultInjector::letReplacementStart(std::size_t node) {
    letNodeStart(node);
    fleet_.startInstance(node);
}

// Links --------------------------------------------------------------------------

void FaultInjector::delayNode(std::size_t node) {
    fleet_.node(node).to_node->setFaults({kLinkDelay, false, false});
}

void FaultInjector::cutNodeOff(std::size_t node) {
    fleet_.node(node).to_node->setFaults({{}, true, true});
}

void FaultInjector::cutNodeOneWay(std::size_t node) {
    fleet_.node(node).to_node->setFaults({{}, false, true});
}

void FaultInjector::mendNodeLink(std::size_t node) {
    fleet_.node(node).to_node->setFaults({});
}

void FaultInjector::resetNode(std::size_t node) {
    fleet_.node(node).to_node->resetAll();
}

void FaultInjector::cutFromStore(std::size_t node) {
    fleet_.node(node).to_store->setFaults({{}, true, true});
}

void FaultInjector::cutFromStoreOneWay(std::size_t node) {
    fleet_.node(node).to_store->setFaults({{}, false, true});
}

void FaultInjector::resetFromStore(std::size_t node) {
    fleet_.node(node).to_store->resetAll();
}

void FaultInjector::mendStoreLink(std::size_t node) {
    fleet_.node(node).to_store->setFaults({});
}

void FaultInjector::delayInstance(std::size_t node) {
    fleet_.node(node).to_instance->setFaults({kLinkDelay, false, false});
}

void FaultInjector::mendInstanceLink(std::size_t node) {
    fleet_.node(node).to_instance->setFaults({});
}

void FaultInjector::resetInstance(std::size_t node) {
    fleet_.node(node).to_instance->resetAll();
}

// The store ----------------------------------------------------------------------

void FaultInjector::silenceStore(std::size_t) {
    fleet_.store().faults().is_silent = true;
}

void FaultInjector::refuseStore(std::size_t) {
    fleet_.store().faults().error_status = kHttpServiceUnavailable;
}

void FaultInjector::throttleStore(std::size_t) {
    fleet_.store().faults().error_status = kHttpTooManyRequests;
}

void FaultInjector::slowStore(std::size_t) {
    fleet_.store().faults().delay = kStoreDelay;
}

void FaultInjector::loseStoreAnswers(std::size_t) {
    fleet_.store().faults().lost_responses = kLostShare;
}

void FaultInjector::forgetHistory(std::size_t) {
    fleet_.store().faults().expires_history = true;
}

void FaultInjector::mendStore(std::size_t) {
    fleet_.store().faults() = {};
}

// The operator and callers ---------------------------------------------------------

void FaultInjector::changeTable(std::size_t) {
    fleet_.putTable();
}

void FaultInjector::changeTableOften(std::size_t) {
    for (int count = 0; count < kTablesInARow; ++count) {
        timers_.push_back(loop_.startTimer(count * kTableGap, [this] { fleet_.putTable(); }));
    }
}

void FaultInjector::burst(std::size_t) {
    callers_.setRate(usual_rate_ * kBurst);
}

void FaultInjector::endBurst(std::size_t) {
    callers_.setRate(usual_rate_);
}

void FaultInjector::resend(std::size_t) {
    callers_.setResends(kResends);
}

void FaultInjector::beginCrashing(std::size_t) {
    callers_.startCrashing();
}

void FaultInjector::endCrashing(std::size_t) {
    callers_.stopCrashing();
}

void FaultInjector::endResend(std::size_t) {
    callers_.setResends(0);
}

}  // namespace dewcrank::soak
