/// @file
/// Finds nodes that have fallen silent, and when they can be reached again.
///
/// A machine without power, behind a cut, or frozen resets nothing: calls to it hang until their
/// deadlines. So a node that has calls and says nothing is probed, and one that does not answer
/// is suspected until it has answered a later probe. Suspicion is this node's own view: it is not
/// spread, as a cut may part this node alone from another.
#pragma once

#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <string>

#include "src/base/time.h"
#include "src/fleet/gossip.h"
#include "src/fleet/node_directory.h"
#include "src/ports/clock.h"

namespace dewcrank::fleet {

/// Constants of the detector.
struct FailureDetectorKnobs {
    Duration max_silence = 300ms;  ///< A node with calls that says nothing for this long is probed.
    Duration probe_timeout = 300ms;
    Duration min_reprobe_interval = 250ms;  ///< Wait before a suspected node is probed; doubles each time.
    Duration max_reprobe_interval = 2s;
};

/// Watches the nodes that calls of this node run at. Costs nothing while answers come in.
class FailureDetector {
public:
    FailureDetector(Clock& clock, NodeDirectory& directory, Gossip& gossip, FailureDetectorKnobs knobs);

    void onCallSent(const std::string& name);
    void onCallEnded(const std::string& name);

    /// Emitted with a node's name when a probe of it has failed while calls run there.
    sigc::signal<void(const std::string&)>& signalUnresponsive() { return signal_unresponsive_; }

private:
    struct Peer {
        int calls = 0;                ///< That run there; never below 0.
        TimePoint busy_since{};       ///< When the first of them was sent.
        bool is_probing = false;      ///< At most one probe of a node is under way.
        Duration reprobe_interval{};  ///< Zero while the node is not suspected.
        TimerHandle timer;            ///< Of the next look at it; none while nothing is to be watched.
    };
    void check(const std::string& name);
    void scheduleCheck(const std::string& name, Duration wait);
    void probe(const std::string& name);
    void onProbeResult(const std::string& name, bool is_answered);
    void onSuspected(const std::string& name);

    Clock& clock_;
    NodeDirectory& directory_;
    Gossip& gossip_;
    FailureDetectorKnobs knobs_;
    std::map<std::string, Peer> peers_;
    sigc::signal<void(const std::string&)> signal_unresponsive_;
};

}  // namespace dewcrank::fleet
