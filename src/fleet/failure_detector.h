/// @file
/// Detects unresponsive nodes, and when they respond again.
///
/// A host that loses power, is partitioned off or freezes closes no connections: calls to it hang until their
/// deadlines. A node that has calls in flight and sends nothing is probed; if the probe fails, the node is suspected
/// until a later contact succeeds. Suspicion is local and is not gossiped, as the partition may affect only this node.
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

struct FailureDetectorKnobs {
    Duration max_silence = 300ms;           ///< A node with calls in flight is probed after this long without contact.
    Duration probe_timeout = 300ms;         ///< A probe without a response by then has failed.
    Duration min_reprobe_interval = 250ms;  ///< Delay before a suspected node is probed again; doubles per failure.
    Duration max_reprobe_interval = 2s;     ///< Upper bound of that delay.
};

/// Monitors the nodes that have calls of this node in flight. Sends nothing while they respond.
class FailureDetector {
public:
    FailureDetector(Clock& clock, NodeDirectory& directory, Gossip& gossip, FailureDetectorKnobs knobs);

    /// A call has been sent to the node.
    void onCallSent(const std::string& name);
    /// A call to the node has ended, whatever its result.
    void onCallEnded(const std::string& name);

    /// Emitted with a node's name when a probe of it fails while calls to it are in flight.
    sigc::signal<void(const std::string&)>& signalUnresponsive() { return signal_unresponsive_; }

private:
    struct Peer {
        int calls = 0;                ///< In flight.
        TimePoint busy_since{};       ///< When `calls` last rose from 0.
        bool is_probing = false;      ///< At most one probe of a node is in flight.
        Duration reprobe_interval{};  ///< Zero while the node is not suspected.
        TimerHandle timer;            ///< Of the next check; empty if none is due.
    };
    void check(const std::string& name);
    void scheduleCheck(const std::string& name, Duration wait);
    void probe(const std::string& name);
    void onProbeResult(const std::string& name, bool has_response);
    void onSuspected(const std::string& name);

    Clock& clock_;
    NodeDirectory& directory_;
    Gossip& gossip_;
    FailureDetectorKnobs knobs_;
    std::map<std::string, Peer> peers_;  ///< By node name.
    sigc::signal<void(const std::string&)> signal_unresponsive_;
};

}  // namespace dewcrank::fleet
