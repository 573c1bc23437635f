/// @file
/// The sidecar process: runs a SidecarNode with its event loop, listeners, HTTP clients and signal handlers.
#pragma once

#include <memory>
#include <string>

#include "apps/sidecar/fresh_address.h"
#include "src/adapters/event_loop.h"
#include "src/adapters/http_client.h"
#include "src/adapters/http_server.h"
#include "src/adapters/process_log.h"
#include "src/adapters/rate_limited_log.h"
#include "src/adapters/response_cut_log.h"
#include "src/adapters/seeded_random.h"
#include "src/adapters/sidecar_metrics.h"
#include "src/adapters/sidecar_settings.h"
#include "src/ports/control_store.h"
#include "src/ports/instance_api.h"
#include "src/sidecar/sidecar_node.h"

namespace dewcrank {

/// Platform-specific parts: the store client, the decoder of instance requests, and the header names.
struct PlatformParts {
    std::unique_ptr<ControlStore> store;
    std::unique_ptr<InstanceApi> instance_api;
    HeaderNames header_names;
};

/// Creates the platform-specific parts. @param http used for calls to the store; outlives the parts, as `clock` does.
using PlatformFactory =
    std::function<PlatformParts(HttpTransport& http, Clock& clock, const adapters::SidecarSettings& settings)>;

/// Owns the node and everything that connects it to the operating system.
///
/// Log events:
///   node_started        the process listens and the node starts
///   node_stopped        the event loop has ended; the process exits
///   settings_read       the settings file was read again and is valid; `changed` shows whether it differs
///   settings_refused    the settings file was read again and is invalid
///   heartbeat_refused   the response to a request of the local instance was 400
class SidecarDaemon : private InstanceListener {
public:
    /// @param settings_file path that is read again on SIGHUP.
    /// @param fresh_ports see FreshAddress.
    SidecarDaemon(adapters::SidecarSettings settings, std::string settings_file, const PlatformFactory& platform,
                  std::optional<adapters::PortRange> fresh_ports = std::nullopt);

    /// Ignores SIGHUP, which ends a process by default, until run() handles it.
    static void ignoreReload();
    Result<void> listen();  ///< Binds all listeners; fails if an address is not available.
    void run();             ///< Runs until a graceful shutdown after SIGTERM or SIGINT has completed.

private:
    using Exchange = std::shared_ptr<adapters::ServerExchange>;
    [[nodiscard]] sidecar::Settings nodeSettings() const;
    bool onHeartbeat(const instance::Heartbeat& heartbeat) override {
        return node_.onHeartbeat(heartbeat, is_at_fresh_address_);
    }
    void onInstanceLeave(const std::string& id, std::uint64_t start_ms) override {
        node_.onInstanceLeave(id, start_ms);
    }
    std::string heartbeatAddress() override;
    void onCall(HttpRequest request, const Exchange& exchange);
    void onHeartbeatRequest(const HttpRequest& request, const Exchange& exchange);
    /// @param is_at_fresh_address whether the request came to `fresh_address_`.
    void onInstanceRequest(const HttpRequest& request, bool is_at_fresh_address, const Exchange& exchange);
    void onNodeRequest(HttpRequest request, const Exchange& exchange);
    void cancelOnDisconnect(const Exchange& exchange, sidecar::SidecarNode::CallId call_id);
    void onReadinessRequest(const Exchange& exchange);
    void onMetricsRequest(const Exchange& exchange);
    void applyTableLimits();
    void onTerminate();
    void onReload();

    adapters::SidecarSettings settings_;
    std::string settings_file_;
    adapters::EventLoop loop_;
    adapters::ProcessLog process_log_;
    adapters::RateLimitedLog log_;
    adapters::ResponseCutLog cut_log_;
    adapters::SidecarMetrics metrics_;
    adapters::SeededRandom random_;
    adapters::BufferBudget incomplete_responses_;  ///< Of instances and other nodes.
    adapters::HttpClient nodes_;                   ///< Client for other nodes.
    adapters::HttpClient instances_;               ///< Client for the local instance.
    adapters::HttpClient store_http_;              ///< Client for the store.
    PlatformParts platform_;
    sidecar::SidecarNode node_;
    adapters::HttpServer callers_;         ///< Calls of local callers and of the instance.
    adapters::HttpServer node_server_;     ///< Requests of other nodes.
    adapters::HttpServer heartbeats_;      ///< Requests of the local instance to its node; also gossip.
    FreshAddress fresh_address_;           ///< Heartbeats that were composed after this process began.
    bool is_at_fresh_address_ = false;     ///< The request of the instance that is handled came there.
    adapters::HttpServer readiness_;       ///< Readiness probes of the platform.
    adapters::HttpServer metrics_server_;  ///< Prometheus scrapes.
    std::uint64_t rejected_heartbeats_ = 0;
    /// Reported for the responses that the end of the process cuts.
    adapters::CutReason end_reason_ = adapters::CutReason::kProcessEnd;
    TimerHandle flush_timer_;
};

}  // namespace dewcrank
