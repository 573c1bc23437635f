/// @file
/// Stand-in for an application instance on the platform: sends heartbeats to the node beside it, runs
/// requests in slots, calls other services through that node, and fails in the ways that instances do.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "src/adapters/event_loop.h"
#include "src/adapters/http_client.h"
#include "src/adapters/http_server.h"
#include "src/base/header_names.h"
#include "src/ports/random_source.h"

namespace dewcrank::standins {

/// A run of a path that holds this ends its instance.
inline constexpr std::string_view kCrashWord = "/crash-";

/// What an instance is.
struct InstanceOptions {
    std::string service;
    std::string zone;
    std::uint32_t slots = 10;
    std::size_t longest_queue = 10;
    Duration work = 20ms;
    Duration heartbeat_interval = 1s;
    std::string inner_host;  ///< Each run first calls this host through the node; empty: none.
    std::string inner_path;
};

/// How it misbehaves. All off: it serves.
struct InstanceFaults {
    double slowness = 1;          ///< Factor of the work.
    double errors = 0;            ///< Share of the runs that end with a failure of their own.
    double sheds = 0;             ///< Share of the arrivals that it refuses to run, whether or not it has room.
    double lost_answers = 0;      ///< Share of the runs whose connection closes in place of an answer.
    double unsigned_answers = 0;  ///< Share of the answers that come without their signature.
    bool hangs = false;           ///< Runs never end.
};

/// Told of what an instance sees; times are the loop's.
class InstanceListener {
public:
    virtual ~InstanceListener() = default;
    /// A request has arrived, run or not. @param deadline that it was handed.
    virtual void onArrival(const std::string& service, const std::string& instance, const HttpRequest& request) = 0;
    virtual void onRunBegan(const std::string& service, const std::string& instance, const std::string& id) = 0;
    virtual void onRunEnded(const std::string& instance, const std::string& id) = 0;
    /// The node has acknowledged that the instance drains or has left.
    virtual void onDrainAcknowledged(const std::string& instance) = 0;
};

/// One start of an instance is an incarnation with an id of its own.
class Instance {
public:
    /// @param node_heartbeats where heartbeats go. @param node_callers where its own calls go.
    Instance(adapters::EventLoop& loop, RandomSource& random, std::string name, std::string node_heartbeats,
             std::string node_callers, const HeaderNames& names, InstanceListener& listener);
    ~Instance();
    Instance(const Instance&) = delete;
    Instance& operator=(const Instance&) = delete;

    /// Listens at `address` from now on, as a new incarnation.
    Result<void> start(const adapters::SocketAddress& address, const InstanceOptions& options);
    /// Ends at once; what runs gets no answer.
    void crash();
    /// Says that it drains, serves on for a while after that is acknowledged, leaves and ends.
    void drain();
    /// @param handler called when a run has ended the instance: one whose path holds `kCrashWord`.
    void onCrash(std::function<void()> handler) { crashed_ = std::move(handler); }
    InstanceFaults& faults() { return faults_; }
    [[nodiscard]] bool isUp() const { return server_ != nullptr; }
    [[nodiscard]] bool isDraining() const { return is_draining_; }
    [[nodiscard]] const std::string& id() const { return id_; }
    /// The id of the call that a run makes at an instance.
    static std::string callId(const std::string& request, const std::string& instance) {
        return request + "+" + instance;
    }
    [[nodiscard]] const InstanceOptions& options() const { return options_; }

private:
    using Exchange = std::shared_ptr<adapters::ServerExchange>;
    struct Run {
        std::string id;
        HttpRequest request;
        Exchange exchange;
        AttemptHandle inner;
        TimerHandle timer;
        bool is_running = false;  ///< Holds a slot.
    };
    void onRequest(HttpRequest request, const Exchange& exchange);
    [[nodiscard]] bool refuses(const HttpRequest& request, const Exchange& exchange);
    void startNext();
    void begin(std::uint64_t number);
    void callInner(std::uint64_t number);
    void work(std::uint64_t number);
    void crashLater(std::uint64_t number);
    void end(std::uint64_t number, int status);
    void forget(std::uint64_t number);
    void response(const Exchange& exchange, int status, const std::string& id, bool is_signed);
    void beat();
    void post(const std::string& path, const std::string& body, std::function<void(bool)> done);
    void leave();

    adapters::EventLoop& loop_;
    RandomSource& random_;
    std::string name_;
    std::string node_heartbeats_;
    std::string node_callers_;
    HeaderNames names_;
    InstanceListener& listener_;
    adapters::HttpClient client_;
    InstanceOptions options_;
    InstanceFaults faults_;
    std::string id_;
    std::uint64_t starts_ = 0;
    std::uint64_t sequence_ = 0;
    bool is_draining_ = false;
    bool drain_acknowledged_ = false;
    std::uint64_t last_number_ = 0;
    std::uint32_t running_ = 0;
    std::map<std::uint64_t, std::unique_ptr<Run>> runs_;
    std::deque<std::uint64_t> queue_;
    AttemptHandle post_;
    TimerHandle beat_timer_;
    TimerHandle leave_timer_;
    std::function<void()> crashed_;
    std::unique_ptr<adapters::HttpServer> server_;
};

}  // namespace dewcrank::standins
