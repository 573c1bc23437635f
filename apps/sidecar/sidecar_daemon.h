/// @file
/// The process around a sidecar node: its loop, listeners, clients and signals.
#pragma once

#include <memory>
#include <string>

#include "src/adapters/rate_limited_log.h"
#include "src/adapters/event_loop.h"
#include "src/adapters/http_client.h"
#include "src/adapters/http_server.h"
#include "src/adapters/process_log.h"
#include "src/adapters/seeded_random.h"
#include "src/adapters/sidecar_metrics.h"
#include "src/adapters/sidecar_settings.h"
#include "src/ports/control_store.h"
#include "src/ports/instance_api.h"
#include "src/sidecar/sidecar_node.h"

namespace dewcrank {

/// What a platform brings: its store, its instances' requests, and the names of its headers.
struct PlatformParts {
    std::unique_ptr<ControlStore> store;
    std::unique_ptr<InstanceApi> instance_api;
    HeaderNames header_names;
};

/// Makes the parts of a platform. @param http for calls to its store.
using PlatformFactory = std::function<PlatformParts(BackEndPort& http, const adapters::SidecarSettings& settings)>;

class SidecarDaemon : private InstanceListener {
public:
    SidecarDaemon(adapters::SidecarSettings settings, std::string settings_file, const PlatformFactory& platform);

    Result<void> listen();
    void run();

private:
    using Exchange = std::shared_ptr<adapters::ServerExchange>;
    [[nodiscard]] sidecar::Settings nodeSettings() const;
    bool onHeartbeat(const instance::Heartbeat& heartbeat) override { return node_.onHeartbeat(heartbeat); }
    void onInstanceLeave(const std::string& id, std::uint64_t born_ms) override { node_.onInstanceLeave(id, born_ms); }
    void onCall(HttpRequest request, const Exchange& exchange);
    void onHeartbeatRequest(HttpRequest request, const Exchange& exchange);
    void onNodeRequest(HttpRequest request, const Exchange& exchange);
    void watch(const Exchange& exchange, sidecar::SidecarNode::CallNumber number);
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
    adapters::SidecarMetrics metrics_;
    adapters::SeededRandom random_;
    adapters::HttpClient nodes_;
    adapters::HttpClient instances_;
    adapters::HttpClient store_http_;
    PlatformParts platform_;
    sidecar::SidecarNode node_;
    adapters::HttpServer callers_;
    adapters::HttpServer node_server_;
    adapters::HttpServer heartbeats_;
    adapters::HttpServer readiness_;
    adapters::HttpServer metrics_server_;
    std::uint64_t heartbeats_refused_ = 0;
    TimerHandle flush_timer_;
};

}  // namespace dewcrank
