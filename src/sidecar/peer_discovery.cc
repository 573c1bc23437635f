#include "src/sidecar/peer_discovery.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <utility>

namespace dewcrank::sidecar {

Duration suppressionWait(double uniform, const PeerDiscoveryKnobs& knobs) {
    const double steepness = std::log(knobs.max_fleet_size);
    const double fraction = std::log(1 + uniform * (knobs.max_fleet_size - 1)) / steepness;
    return std::chrono::duration_cast<Duration>(knobs.max_suppression_wait * fraction);
}

PeerDiscovery::PeerDiscovery(Clock& clock, RandomSource& random, EventLog& log, ControlStore& store,
                             fleet::NodeDirectory& directory, fleet::Gossip& gossip, const PeerDiscoveryKnobs& knobs,
                             std::vector<std::string> seeds)
    : clock_(clock),
      random_(random),
      log_(log),
      store_(store),
      directory_(directory),
      gossip_(gossip),
      ranking_(directory),
      knobs_(knobs),
      seeds_(std::move(seeds)),
      backoff_(knobs.min_backoff) {
    // The restored store may lack this node's entry; listing this node twice is harmless.
    gossip_.signalStoreRestored().connect([this] { is_listed_ = false; });
}

void PeerDiscovery::start() {
    listing_timer_ = clock_.startTimer(knobs_.check_interval, [this] { checkListing(); });
    if (seeds_.empty()) {
        runStep(Step::kStaleList);
    } else {
        contactSeeds();
    }
}

Duration PeerDiscovery::nextBackoff() {
    const auto spread = static_cast<std::uint64_t>(backoff_.count());
    const auto wait = backoff_ / 2 + Duration(static_cast<std::int64_t>(random_.below(spread)));
    backoff_ = std::min(backoff_ * 2, knobs_.max_backoff);
    return wait;
}

// Discovery ---------------------------------------------------------------------

void PeerDiscovery::contactSeeds() {
    auto pending = std::make_shared<std::size_t>(seeds_.size());
    for (const auto& address : seeds_) {
        gossip_.contact(address, [this, pending](bool) {
            if (--*pending == 0) {
                runStep(Step::kStaleList);
            }
        });
    }
}

/// Ends discovery if another node has been in contact, else reads the store's list.
void PeerDiscovery::runStep(Step step) {
    if (directory_.lastContact()) {
        is_alone_ = false;
        log_.write(Event("fleet_joined").with("known", directory_.otherCount()));
        return;
    }
    const bool is_linearizable = step == Step::kNewestList || step == Step::kListAfterListingSelf;
    store_.listNodes(
        is_linearizable ? Freshness::kNewest : Freshness::kMaybeStale,
        [this, step](const std::optional<std::vector<NodeAddress>>& nodes) { onNodesListed(step, nodes); });
}

void PeerDiscovery::scheduleStep(Step step, Duration wait) {
    step_timer_ = clock_.startTimer(wait, [this, step] { runStep(step); });
}

void PeerDiscovery::onNodesListed(Step step, const std::optional<std::vector<NodeAddress>>& nodes) {
    if (!nodes) {
        log_.write(Event("store_failed").with("step", "list"));
        scheduleStep(step, nextBackoff());
        return;
    }
    log_.write(Event("nodes_listed").with("count", nodes->size()));
    addListed(*nodes);
    contactListed(step, knobs_.rounds);
}

/// Adds the listed nodes to the directory, so that gossip also contacts those that are not sampled here.
void PeerDiscovery::addListed(const std::vector<NodeAddress>& nodes) {
    listed_.clear();
    for (const auto& it : nodes) {
        if (it.name != directory_.self().name()) {
            directory_.addAddress(it.name, it.zone, it.address);
            listed_.push_back(it);
        }
    }
}

/// Random sample of the listed nodes; nodes of this node's zone come first.
std::vector<NodeAddress> PeerDiscovery::sampleListed() {
    std::vector<std::pair<std::pair<bool, double>, const NodeAddress*>> order;
    for (const auto& it : listed_) {
        const bool is_other_zone = it.zone != directory_.self().zone();
        order.push_back({{is_other_zone, random_.unit()}, &it});
    }
    std::sort(order.begin(), order.end());
    std::vector<NodeAddress> sample;
    for (std::size_t i = 0; i < std::min(knobs_.contacts_per_round, order.size()); ++i) {
        sample.push_back(*order[i].second);
    }
    return sample;
}

/// Contacts a sample in several rounds, since listed nodes may still be starting.
void PeerDiscovery::contactListed(Step step, std::uint32_t rounds) {
    const auto nodes = sampleListed();
    if (nodes.empty() || rounds == 0 || directory_.lastContact()) {
        onContactsTried(step);
        return;
    }
    auto pending = std::make_shared<std::size_t>(nodes.size());
    for (const auto& it : nodes) {
        gossip_.contact(it.address, [this, step, rounds, pending](bool) {
            if (--*pending == 0) {
                const auto wait = directory_.lastContact() ? Duration::zero() : knobs_.round_interval;
                step_timer_ = clock_.startTimer(wait, [this, step, rounds] { contactListed(step, rounds - 1); });
            }
        });
    }
}

void PeerDiscovery::onContactsTried(Step step) {
    if (directory_.lastContact()) {
        runStep(step);  // Ends discovery.
        return;
    }
    switch (step) {
        case Step::kStaleList:
            scheduleStep(Step::kStaleListAfterWait, suppressionWait(random_.unit(), knobs_));
            break;
        case Step::kStaleListAfterWait:
            runStep(Step::kNewestList);
            break;
        case Step::kNewestList:
            listSelf();
            break;
        case Step::kListAfterListingSelf:
            is_alone_ = true;
            log_.write(Event("fleet_joined").with("known", 0));
            scheduleStep(Step::kPeriodicList, nextBackoff());
            break;
        case Step::kPeriodicList:
            scheduleStep(Step::kPeriodicList, nextBackoff());
            break;
    }
}

// The store's list of contacts ---------------------------------------------------

void PeerDiscovery::checkListing() {
    listing_timer_ = clock_.startTimer(knobs_.check_interval, [this] { checkListing(); });
    const bool is_candidate = ranking_.predecessors(knobs_.contacts_per_zone).size() < knobs_.contacts_per_zone;
    const bool is_due = is_candidate && isJoined() && !is_listed_ && !directory_.self().is_stopping();
    positive_checks_ = is_due ? positive_checks_ + 1 : 0;
    if (positive_checks_ >= knobs_.checks_before_listing) {
        positive_checks_ = 0;
        listSelf();
    }
}

/// Writes the entry before reading the list: of two nodes that do so concurrently, the later one reads the earlier's.
void PeerDiscovery::listSelf() {
    const auto& self = directory_.self();
    store_.announce({self.name(), self.zone(), self.address()}, [this](bool is_done) {
        if (is_done) {
            is_listed_ = true;
            log_.write(Event("contact_listed"));
            contactOthers();
            return;
        }
        log_.write(Event("store_failed").with("step", "announce"));
        if (!isJoined()) {
            scheduleStep(Step::kNewestList, nextBackoff());
        }
    });
}

/// Joins partitions of a fleet that started separately.
void PeerDiscovery::contactOthers() {
    if (!isJoined()) {
        runStep(Step::kListAfterListingSelf);
        return;
    }
    store_.listNodes(Freshness::kNewest, [this](const std::optional<std::vector<NodeAddress>>& nodes) {
        if (nodes) {
            addListed(*nodes);
            for (const auto& it : sampleListed()) {
                gossip_.contact(it.address, [](bool) {});
            }
        }
    });
}

void PeerDiscovery::withdraw() {
    if (is_listed_) {
        store_.withdraw(directory_.self().name(), [](bool) {});
    }
}

}  // namespace dewcrank::sidecar
