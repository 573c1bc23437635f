/// @file
/// How nodes find each other: at a start by seeds, else by the store's list of contacts; and who stands in that list.
///
/// One other node that answers is enough: gossip brings the rest, and the table. So few nodes of each zone are listed,
/// and a start costs the store a stale list at most, which is cheap and outside of its rate. Only a whole fleet that
/// starts with an empty store has nobody to ask: its nodes wait for different times, so that few list themselves
/// before the others see them.
#pragma once

#include <string>
#include <vector>

#include "src/fleet/gossip.h"
#include "src/fleet/node_directory.h"
#include "src/fleet/zone_ranking.h"
#include "src/ports/clock.h"
#include "src/ports/control_store.h"
#include "src/ports/event_log.h"
#include "src/ports/random_source.h"

namespace dewcrank::sidecar {

/// Constants of the search and of the list.
struct FleetContactsKnobs {
    /// Listed nodes of a zone: the second is there when the first is lost.
    std::size_t contacts_a_zone = 2;
    /// Listed nodes that are asked at a time.
    std::size_t asked = 3;
    /// Rounds in which listed nodes are asked, and the pause between two: a node whose contacts start at the same time
    /// as it does finds them within 1.5 s.
    std::uint32_t rounds = 15;
    Duration round_pause = 100ms;
    /// The longest wait of a node that has found nobody, before it lists itself: a few times as long as a stale list is
    /// old, so that the first that are listed are seen by most others.
    Duration longest_wait = 3s;
    /// Up to this many nodes some 17 (reckoned) look before the first that is listed is seen, whatever their number, if
    /// lists are a second old; beyond it in proportion. The greater, the longer a small fleet waits.
    double largest_fleet = 5'000;
    /// Between two looks at who is to be listed; only who is to be after so many in a row lists itself, as a starting
    /// node knows few others.
    Duration look_interval = 1s;
    std::uint32_t looks_before_listing = 3;
    /// Waits between two looks for others of a node that is alone: doubled from the first to the longest.
    Duration first_pause = 200ms;
    Duration longest_pause = 5s;
};

/// The wait of a node that has found nobody: the density of waits grows with them exponentially, so that of however
/// many nodes a few are much earlier than all others (feedback suppression with exponential timers, Nonnenmacher and
/// Biersack, "Scalable feedback for large groups", 1999). @param drawn uniform from 0 to 1.
Duration suppressionWait(double drawn, const FleetContactsKnobs& knobs);

/// A node searches until another one is heard, whoever found whom, and looks later whether it is to be listed.
/// Invariant: whoever lists itself reads the list afterwards, so that of two parts of a fleet that have started apart
/// one finds the other.
class FleetContacts {
public:
    /// @param seeds addresses at which other nodes may answer; may be out of date.
    FleetContacts(Clock& clock, RandomSource& random, EventLog& log, ControlStore& store,
                  fleet::NodeDirectory& directory, fleet::Gossip& gossip, const FleetContactsKnobs& knobs,
                  std::vector<std::string> seeds);
    void start();
    /// Takes this node off the store's list; it is not coming back.
    void withdraw();
    /// True once another node has been heard, or it is known that there is none.
    [[nodiscard]] bool isJoined() const { return is_alone_ || directory_.lastContact().has_value(); }

private:
    /// What a node that has heard of nobody tries, in this order; the last one again and again.
    enum class Search { kFirstList, kSecondList, kNewestList, kListAfterwards, kLaterList };
    void askSeeds();
    void search(Search step);
    void again(Search step, Duration wait);
    void onList(Search step, const std::optional<std::vector<NodeAddress>>& nodes);
    void takeList(const std::vector<NodeAddress>& nodes);
    std::vector<NodeAddress> draw();
    void ask(Search step, std::uint32_t rounds);
    void onAsked(Search step);
    void lookAtPlace();
    void listSelf();
    void readOthers();
    Duration nextPause();

    Clock& clock_;
    RandomSource& random_;
    EventLog& log_;
    ControlStore& store_;
    fleet::NodeDirectory& directory_;
    fleet::Gossip& gossip_;
    fleet::ZoneRanking ranking_;
    const FleetContactsKnobs& knobs_;
    std::vector<std::string> seeds_;
    std::vector<NodeAddress> listed_;  ///< Other nodes, as the store last said.
    Duration pause_;
    bool is_alone_ = false;    ///< Listed, and nobody else was found.
    bool is_listed_ = false;   ///< In this life.
    std::uint32_t looks_ = 0;  ///< In a row at which it was to be listed.
    TimerHandle search_timer_;
    TimerHandle place_timer_;
};

}  // namespace dewcrank::sidecar
