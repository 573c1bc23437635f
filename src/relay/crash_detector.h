/// @file
/// Distinguishes the crash of an instance from the loss of single connections.
///
/// A crash closes all connections of the instance at once, and its port accepts no new ones. An instance that is
/// alive keeps its other runs when one connection is reset, and accepts new connections. A frozen instance closes none.
#pragma once

#include <sigc++/sigc++.h>

#include <cstddef>
#include <cstdint>
#include <string>

#include "src/ports/clock.h"
#include "src/ports/http_transport.h"

namespace dewcrank::relay {

/// Constants of the detector.
struct CrashDetectorKnobs {
    /// The connections closed by a crash are read within this time: 107 of them in 10 ms, on 0.4 cores.
    Duration burst_window = 15ms;
    Duration probe_timeout = 150ms;  ///< A live instance accepts a connection within this time, even if it is full.
};

/// Watches one instance. Idle while no connection is lost; probes the instance after each burst in which at least half
/// of the runs lost their connections.
class CrashDetector {
public:
    CrashDetector(Clock& clock, HttpTransport& instances, std::string address, CrashDetectorKnobs knobs);

    /// @param path of the health endpoint of the instance, used for probes.
    void setProbePath(std::string path) { probe_path_ = std::move(path); }
    /// Call when the connection of a run was lost. @param running number of runs at the instance, including this one.
    void onConnectionLost(std::size_t running);
    /// Call when the instance refused a connection. Decides a pending burst without waiting for a probe.
    void onConnectionRefused();
    /// @return whether a burst was seen and its decision is pending.
    [[nodiscard]] bool isPending() const { return lost_ > 0; }
    /// @return the number of probes sent since the start.
    [[nodiscard]] std::uint64_t probesSent() const { return probes_sent_; }

    /// Emitted when a probe is sent.
    sigc::signal<void()>& signalProbing() { return signal_probing_; }
    /// Emitted once after each burst, with true if the instance has crashed.
    sigc::signal<void(bool)>& signalDecided() { return signal_decided_; }

private:
    void onBurstEnded();
    void probe(int probes_left);
    void decide(bool has_crashed);

    Clock& clock_;
    HttpTransport& instances_;
    std::string address_;
    CrashDetectorKnobs knobs_;
    std::string probe_path_ = "/health";
    std::uint64_t probes_sent_ = 0;
    std::size_t lost_ = 0;              ///< Connections lost in the current burst; 0 outside of bursts.
    std::size_t running_at_start_ = 0;  ///< Runs when the burst began.
    TimerHandle timer_;
    AttemptHandle probe_;
    sigc::signal<void()> signal_probing_;
    sigc::signal<void(bool)> signal_decided_;
};

}  // namespace dewcrank::relay
