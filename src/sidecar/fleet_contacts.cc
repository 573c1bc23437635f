#include "src/sidecar/fleet_contacts.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <utility>

namespace dewcrank::sidecar {

Duration suppressionWait(double drawn, const FleetContactsKnobs& knobs) {
    const double steepness = std::log(knobs.largest_fleet);
    const double part = std::log(1 + drawn * (knobs.largest_fleet - 1)) / steepness;
    return std::chrono::duration_cast<Duration>(knobs.longest_wait * part);
}

FleetContacts::FleetContacts(Clock& clock, RandomSource& random, EventLog& log, ControlStore& store,
                             fleet::NodeDirectory& directory, fleet::Gossip& gossip, const FleetContactsKnobs& knobs,
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
      pause_(knobs.first_pause) {
    // What was listed since the copy is gone; what was listed before does no harm.
    gossip_.signalStoreRestored().connect([this] { is_listed_ = false; });
}

void FleetContacts::start() {
    place_timer_ = clock_.startTimer(knobs_.look_interval, [this] { lookAtPlace(); });
    if (seeds_.empty()) {
        search(Search::kFirstList);
    } else {
        askSeeds();
    }
}

Duration FleetContacts::nextPause() {
    const auto spread = static_cast<std::uint64_t>(pause_.count());
    const auto wait = pause_ / 2 + Duration(static_cast<std::int64_t>(random_.below(spread)));
    pause_ = std::min(pause_ * 2, knobs_.longest_pause);
    return wait;
}

// The search -------------------------------------------------------------------

void FleetContacts::askSeeds() {
    auto waiting = std::make_shared<std::size_t>(seeds_.size());
    for (const auto& address : seeds_) {
        gossip_.contact(address, [this, waiting](bool) {
            if (--*waiting == 0) {
                search(Search::kFirstList);
            }
        });
    }
}

/// Ends as soon as another node is heard, whoever found whom.
void FleetContacts::search(Search step) {
    if (directory_.lastContact()) {
        is_alone_ = false;
        log_.write(Event("fleet_joined").with("known", directory_.otherCount()));
        return;
    }
    const bool is_newest = step == Search::kNewestList || step == Search::kListAfterwards;
    store_.listNodes(is_newest ? Freshness::kNewest : Freshness::kMaybeStale,
                     [this, step](const std::optional<std::vector<NodeAddress>>& nodes) { onList(step, nodes); });
}

void FleetContacts::again(Search step, Duration wait) {
    search_timer_ = clock_.startTimer(wait, [this, step] { search(step); });
}

void FleetContacts::onList(Search step, const std::optional<std::vector<NodeAddress>>& nodes) {
    if (!nodes) {
        log_.write(Event("store_failed").with("step", "list"));
        again(step, nextPause());
        return;
    }
    log_.write(Event("nodes_listed").with("count", nodes->size()));
    takeList(*nodes);
    ask(step, knobs_.rounds);
}

/// All are known from now on: gossip tries those that are not asked here.
void FleetContacts::takeList(const std::vector<NodeAddress>& nodes) {
    listed_.clear();
    for (const auto& it : nodes) {
        if (it.name != directory_.self().name()) {
            directory_.addAddress(it.name, it.zone, it.address);
            listed_.push_back(it);
        }
    }
}

/// Some of the listed nodes, at random, those of this node's zone first.
std::vector<NodeAddress> FleetContacts::draw() {
    std::vector<std::pair<std::pair<bool, double>, const NodeAddress*>> order;
    for (const auto& it : listed_) {
        const bool is_elsewhere = it.zone != directory_.self().zone();
        order.push_back({{is_elsewhere, random_.unit()}, &it});
    }
    std::sort(order.begin(), order.end());
    std::vector<NodeAddress> drawn;
    for (std::size_t place = 0; place < std::min(knobs_.asked, order.size()); ++place) {
        drawn.push_back(*order[place].second);
    }
    return drawn;
}

/// Listed nodes that do not answer may be starting as well: they are asked again a few times.
void FleetContacts::ask(Search step, std::uint32_t rounds) {
    const auto nodes = draw();
    if (nodes.empty() || rounds == 0 || directory_.lastContact()) {
        onAsked(step);
        return;
    }
    auto waiting = std::make_shared<std::size_t>(nodes.size());
    for (const auto& it : nodes) {
        gossip_.contact(it.address, [this, step, rounds, waiting](bool) {
            if (--*waiting == 0) {
                const auto wait = directory_.lastContact() ? Duration::zero() : knobs_.round_pause;
                search_timer_ = clock_.startTimer(wait, [this, step, rounds] { ask(step, rounds - 1); });
            }
        });
    }
}

void FleetContacts::onAsked(Search step) {
    if (directory_.lastContact()) {
        search(step);  // Which it ends.
        return;
    }
    switch (step) {
        case Search::kFirstList:
            again(Search::kSecondList, suppressionWait(random_.unit(), knobs_));
            break;
        case Search::kSecondList:
            search(Search::kNewestList);
            break;
        case Search::kNewestList:
            listSelf();
            break;
        case Search::kListAfterwards:
            is_alone_ = true;
            log_.write(Event("fleet_joined").with("known", 0));
            again(Search::kLaterList, nextPause());
            break;
        case Search::kLaterList:
            again(Search::kLaterList, nextPause());
            break;
    }
}

// The list of contacts ---------------------------------------------------------

void FleetContacts::lookAtPlace() {
    place_timer_ = clock_.startTimer(knobs_.look_interval, [this] { lookAtPlace(); });
    const bool is_first = ranking_.predecessors(knobs_.contacts_a_zone).size() < knobs_.contacts_a_zone;
    const bool is_due = is_first && isJoined() && !is_listed_ && !directory_.self().is_stopping();
    looks_ = is_due ? looks_ + 1 : 0;
    if (looks_ >= knobs_.looks_before_listing) {
        looks_ = 0;
        listSelf();
    }
}

/// Listed before the list is read: of two nodes that do so at the same time, the later sees the earlier.
void FleetContacts::listSelf() {
    const auto& self = directory_.self();
    store_.announce({self.name(), self.zone(), self.address()}, [this](bool is_done) {
        if (is_done) {
            is_listed_ = true;
            log_.write(Event("contact_listed"));
            readOthers();
            return;
        }
        log_.write(Event("store_failed").with("step", "announce"));
        if (!isJoined()) {
            again(Search::kNewestList, nextPause());
        }
    });
}

/// Parts of a fleet that have started apart meet by it.
void FleetContacts::readOthers() {
    if (!isJoined()) {
        search(Search::kListAfterwards);
        return;
    }
    store_.listNodes(Freshness::kNewest, [this](const std::optional<std::vector<NodeAddress>>& nodes) {
        if (nodes) {
            takeList(*nodes);
            for (const auto& it : draw()) {
                gossip_.contact(it.address, [](bool) {});
            }
        }
    });
}

void FleetContacts::withdraw() {
    if (is_listed_) {
        store_.withdraw(directory_.self().name(), [](bool) {});
    }
}

}  // namespace dewcrank::sidecar
