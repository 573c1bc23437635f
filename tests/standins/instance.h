/// @file
/// Stand-in for an application instance on the platform: sends heartbeats to its local node, runs requests in a limited
/// number of slots, calls other services through that node, and injects the faults of real instances.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "sim/signal_replay.h"
#include "src/adapters/event_loop.h"
#include "src/adapters/http_client.h"
#include "src/adapters/http_server.h"
#include "src/base/header_names.h"
#include "src/ports/random_source.h"

namespace dewcrank::standins {

/// A request whose path contains this crashes the instance that runs it.
inline constexpr std::string_view kCrashPathMarker = "/crash-";

/// A run whose path contains this takes kLongWork.
inline constexpr std::string_view kLongWorkMarker = "long";
inline constexpr Duration kLongWork = 400ms;

/// The response to a request whose path contains this has a body of kLargeBodyBytes, more than the buffers of sockets.
inline constexpr std::string_view kLargeBodyMarker = "large";
inline constexpr std::size_t kLargeBodyBytes = std::size_t{8} * 1024 * 1024;

/// A run whose path contains this takes as many milliseconds as the number behind it says, ends with status 504 at the
/// deadline that it was handed, and has a response of kTimedBodyBytes. If the path goes on, the run first calls another
/// service with the rest: "work-120/work-30" makes a call that takes 30 ms.
inline constexpr std::string_view kTimedWorkMarker = "work-";
inline constexpr std::size_t kTimedBodyBytes = 400;

/// Beginning of the server stamp in responses; the id of the incarnation follows.
inline constexpr std::string_view kStampPrefix = "stamp-";

/// Service, capacity and work of an instance.
struct InstanceOptions {
    std::string service;
    std::string zone;
    std::uint32_t slots = 10;    ///< Requests that run at the same time.
    std::size_t max_queue = 10;  ///< Requests that wait for a slot; others are rejected.
    Duration work = 20ms;        ///< Mean duration of a run, without internal calls.
    Duration heartbeat_interval = 1s;
    std::string internal_host;  ///< Host that each run calls first, through the node; empty: no internal call.
    std::string internal_path;
    std::string chained_path;  ///< Path prefix of the calls of runs with timed work, at kChainedHost.
};

/// Host of the calls of runs with timed work.
inline constexpr const char* kChainedHost = "chained.example";

/// Faults of an instance. The default serves normally. Shares are probabilities from 0 to 1.
struct InstanceFaults {
    double work_factor = 1;         ///< Multiplies the duration of each run.
    double error_share = 0;         ///< Share of runs that fail with status 500.
    double shed_share = 0;          ///< Share of requests rejected with 503 regardless of free slots.
    double lost_responses = 0;      ///< Share of runs whose connection closes without a response.
    double unsigned_responses = 0;  ///< Share of responses without the server stamp header.
    bool hangs = false;             ///< Runs never complete.
    sim::InstanceSignals signals;   ///< Named in all responses; heartbeats say ready all the same.
};

/// Receives the events of an instance. The `instance` arguments are ids of incarnations.
class InstanceListener {
public:
    virtual ~InstanceListener() = default;
    /// A request has arrived, whether or not it will run.
    virtual void onArrival(const std::string& service, const std::string& instance, const HttpRequest& request) = 0;
    /// The request `id` has taken a slot.
    virtual void onRunStarted(const std::string& service, const std::string& instance, const std::string& id) = 0;
    /// The run completed, was cancelled by its caller, or ended with a crash.
    virtual void onRunEnded(const std::string& instance, const std::string& id) = 0;
    /// The instance ends with the run in progress.
    virtual void onRunCrashed(const std::string& instance, const std::string& id) = 0;
    /// The run's response is about to be sent.
    /// @param is_intact false if a fault of the instance withholds the response or its signature.
    virtual void onRunAnswered(const std::string& instance, const std::string& id, const HttpResponse& response,
                               bool is_intact) = 0;
    /// The run `id` is about to make this call. The call is abandoned if the run ends before `onCallEnded`.
    virtual void onCallSent(const std::string& instance, const std::string& id, const HttpRequest& call) = 0;
    virtual void onCallEnded(const std::string& instance, const std::string& id, const AttemptResult& result) = 0;
    /// The instance is about to send a response with these signals.
    virtual void onResponse(const std::string& instance, const sim::InstanceSignals& signals) = 0;
    /// The instance's node has passed on this response to an internal call of the instance.
    virtual void onCallAnswered(const std::string& instance, const HttpResponse& response) = 0;
    /// The node has acknowledged that the instance is draining or leaves.
    virtual void onDrainAcknowledged(const std::string& instance) = 0;
};

/// A simulated application instance. Each start is a new incarnation with its own id.
class Instance {
public:
    /// @param name prefix of the incarnation ids.
    /// @param node_heartbeats address of the local node for heartbeats.
    /// @param node_callers address of the local node for internal calls.
    Instance(adapters::EventLoop& loop, RandomSource& random, std::string name, std::string node_heartbeats,
             std::string node_callers, const HeaderNames& names, InstanceListener& listener);
    ~Instance();
    Instance(const Instance&) = delete;
    Instance& operator=(const Instance&) = delete;

    /// Starts a new incarnation that listens at `address`. A running incarnation crashes first.
    Result<void> start(const adapters::SocketAddress& address, const InstanceOptions& options);
    /// Stops at once; pending requests get no response, and the node is not notified.
    void crash();
    /// Reports the state `draining`, keeps serving for some seconds after its acknowledgement, then deregisters and
    /// stops.
    void drain();
    /// Leaves without draining: deregisters, sends no further heartbeat and serves on for some seconds. A heartbeat
    /// from before, which says that it is ready, arrives late.
    void announceLeave();
    /// @param handler called after a request with `kCrashPathMarker` in its path has crashed the instance.
    void onCrash(std::function<void()> handler) { on_crash_ = std::move(handler); }
    InstanceFaults& faults() { return faults_; }
    [[nodiscard]] bool isUp() const { return server_ != nullptr; }
    [[nodiscard]] bool isDraining() const { return is_draining_; }
    /// @return the id of the current or last incarnation.
    [[nodiscard]] const std::string& id() const { return id_; }
    /// @return the id of the internal call that `request` makes when it runs at `instance`.
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
        AttemptHandle internal_call;
        TimerHandle timer;
        TimerHandle deadline_timer;
        TimePoint arrived{};
        bool is_running = false;  ///< Occupies a slot.
    };
    void onRequest(HttpRequest request, const Exchange& exchange);
    /// Responds without running the request if the queue is full, if requests are shed, or if the request names another
    /// incarnation. @return true if it was rejected.
    [[nodiscard]] bool rejectRequest(const HttpRequest& request, const Exchange& exchange);
    /// Adds the signals to a response that is about to be sent.
    void addSignals(HttpResponse* response);
    void startNext();
    void startRun(std::uint64_t number);
    void callInternal(std::uint64_t number);
    void startWork(std::uint64_t number);
    /// Ends a run with timed work at its deadline; one that has no slot yet is rejected.
    void endAtDeadline(std::uint64_t number);
    void crashLater(std::uint64_t number);
    void finishRun(std::uint64_t number, int status);
    void removeRun(std::uint64_t number);
    /// @param body_bytes size of the body, at least.
    void respond(const Exchange& exchange, int status, const std::string& id, std::size_t body_bytes, bool is_signed);
    /// The health path gets a response without a slot, also from an instance that hangs.
    void respondHealth(const Exchange& exchange);
    std::string nextHeartbeat();
    void sendHeartbeat();
    /// Sends a POST request to the node. @param done receives whether the status was 200.
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
    bool has_announced_leave_ = false;
    TimerHandle late_timer_;
    std::uint64_t last_number_ = 0;
    std::uint32_t running_ = 0;
    std::map<std::uint64_t, std::unique_ptr<Run>> runs_;
    std::deque<std::uint64_t> queue_;
    AttemptHandle post_;
    TimerHandle heartbeat_timer_;
    TimerHandle leave_timer_;
    std::function<void()> on_crash_;
    std::unique_ptr<adapters::HttpServer> server_;
};

}  // namespace dewcrank::standins
