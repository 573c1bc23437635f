/// @file
/// A model of an application instance beside a node: slots, heartbeats, draining, faults.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "sim/network.h"
#include "sim/virtual_clock.h"
#include "src/base/header_names.h"
#include "src/instance/local_instance.h"
#include "src/ports/random_source.h"

namespace dewcrank::sim {

/// How an instance works and fails.
struct InstanceOptions {
    std::string service;
    std::uint32_t slots = 10;
    Duration work = 50ms;
    Duration heartbeat_interval = 1500ms;
    double answer_lost = 0;             ///< Share of the runs whose answer is lost.
    double errors = 0;                  ///< Share of the runs that end with a failure of their own.
    double spoiled = 0;                 ///< Share of the answers that come without their signature.
    double sheds = 0;                   ///< Share of the arrivals that it refuses to run, whether or not it has room.
    bool tells_start = true;            ///< Its heartbeats say when it started.
    bool keeps_id = false;              ///< Starts again under the id that it had.
    double late_beats = 0;              ///< Share of the heartbeats that arrive up to 4 s late.
    std::string inner_host;             ///< Each run first calls this host through its own node; empty: none.
    int inner_calls = 1;                ///< So many times, one after the other.
    Duration inner_deadline = 1s;       ///< That a call gives, or what the run has left if that is less.
    std::set<std::string> crash_paths;  ///< A run of one of these ends the instance, which starts again later.
    Duration crash_after = 70ms;        ///< From the begin of such a run.
    Duration restart_after = 1500ms;    ///< From the crash to the next start.
    bool fails_with_calls = false;      ///< A run one of whose calls fails ends at once with a failure.
};

/// One arrival at an instance that was run.
struct RunRecord {
    std::string request;
    std::string instance;  ///< The life that ran it.
    std::string service;
    std::string path;
    TimePoint began{};
    TimePoint ended{};
    std::string tenant;    ///< As the request names it.
    bool has_key = false;  ///< A caller's key has come along.
};

/// One arrival at an instance, whether or not it was run.
struct ArrivalRecord {
    std::string request;
    std::string service;
    TimePoint at{};
};

/// What all instances of a fleet have seen, in order of time.
struct InstanceRecords {
    std::vector<RunRecord> runs;
    std::vector<ArrivalRecord> arrivals;
    std::uint64_t starts = 0;  ///< Of instances: no two lives have the same name, also at one address.
};

/// Where heartbeats go.
struct InstanceNode {
    /// Both with the name of the life that speaks. False if nobody is there.
    std::function<bool(const instance::Heartbeat&, const std::string& life)> heartbeat;
    std::function<bool(const std::string& id, std::uint64_t born_ms, const std::string& life)> leave;
};

/// The instance at one address. A new start is a new incarnation, mostly with a new id.
class SidecarInstance {
public:
    SidecarInstance(EventQueue& queue, Network& network, RandomSource& random, const std::string& zone,
                    std::string address, std::string node_address, InstanceNode node, InstanceRecords& records);

    void start(const InstanceOptions& options);
    void crash();
    /// Announces the end; leaves when that is acknowledged and some seconds have passed.
    void drain();
    InstanceOptions& options() { return options_; }
    [[nodiscard]] const std::string& id() const { return id_; }
    /// Of its present life; never that of another one.
    [[nodiscard]] const std::string& life() const { return life_; }
    /// Of its machine, in steps: what it tells as its start goes by it.
    void stepClock(Duration step) { clock_step_ += step; }
    [[nodiscard]] bool isUp() const { return host_.isUp() && !id_.empty(); }
    /// When a node has acknowledged that it drains or leaves; the epoch if it has not.
    [[nodiscard]] TimePoint drainAcknowledged() const { return drain_acknowledged_; }
    Host& host() { return host_; }

private:
    std::uint64_t handle(HttpRequest request, Server::Reply reply);
    void work(std::uint64_t number);
    void callNext(std::uint64_t number, int calls_left);
    void finishRun(std::uint64_t number);
    void crashAndRestart();
    void failRun(std::uint64_t number);
    HttpResponse answerOf(const HttpRequest& request, int status) const;
    void beat();
    void leave();

    struct Running {
        HttpRequest request;
        Server::Reply reply;
        std::size_t run = 0;   ///< Index of its record.
        TimePoint deadline{};  ///< Its time ends then.
        AttemptHandle inner;
        TimerHandle timer;
    };
    EventQueue& queue_;
    Network& network_;
    RandomSource& random_;
    Host host_;
    std::string address_;
    std::string node_address_;
    InstanceNode node_;
    InstanceRecords& records_;
    HeaderNames names_;
    InstanceOptions options_;
    std::string id_;
    std::string life_;
    std::uint64_t born_ms_ = 0;
    Duration clock_step_{};
    std::uint64_t sequence_ = 0;
    std::uint64_t last_number_ = 0;
    bool is_draining_ = false;
    TimePoint drain_acknowledged_{};
    TimerHandle beat_timer_;
    TimerHandle leave_timer_;
    std::map<std::uint64_t, Running> running_;
};

}  // namespace dewcrank::sim
