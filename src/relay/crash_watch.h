/// @file
/// Tells the end of an instance from single connections that break.
///
/// An instance that ends breaks all of its connections at once, and takes no new one. One that resets a
/// connection, or loses an answer, goes on with its other runs; so does one whose machine has its connections
/// reset, which takes new ones. A frozen instance breaks none.
#pragma once

#include <sigc++/sigc++.h>

#include <cstddef>
#include <string>

#include "src/ports/http_transport.h"
#include "src/ports/clock.h"

namespace dewcrank::relay {

/// Constants of the watch.
struct CrashWatchKnobs {
    /// The connections of an instance that has ended are read within this: 10 ms for 107 of them, measured on
    /// a machine with 0.4 cores.
    Duration settle = 15ms;
    /// An instance that is there takes a connection within this, whether or not it has room.
    Duration probe_timeout = 150ms;
};

/// Watches one instance. Costs nothing while no connection breaks, and one probe for each burst in which half
/// of the runs have lost theirs.
class CrashWatch {
public:
    CrashWatch(Clock& clock, HttpTransport& instances, std::string address, CrashWatchKnobs knobs);

    /// @param path where the instance answers probes.
    void setProbePath(std::string path) { probe_path_ = std::move(path); }
    /// The connection of a run has broken. @param running runs that the instance had, this one included.
    void onBroken(std::size_t running);
    /// The instance has not taken a connection.
    void onRefused();
    [[nodiscard]] bool isJudging() const { return broken_ > 0; }

    /// Emitted once after each burst, with whether the instance has ended.
    sigc::signal<void(bool)>& signalJudged() { return signal_judged_; }

private:
    void onSettled();
    void probe(int probes_left);
    void judge(bool has_ended);

    Clock& clock_;
    HttpTransport& instances_;
    std::string address_;
    CrashWatchKnobs knobs_;
    std::string probe_path_ = "/health";
    std::size_t broken_ = 0;            ///< In the present burst; 0 between two of them.
    std::size_t running_at_first_ = 0;  ///< When the burst began.
    TimerHandle timer_;
    AttemptHandle probe_;
    sigc::signal<void(bool)> signal_judged_;
};

}  // namespace dewcrank::relay
