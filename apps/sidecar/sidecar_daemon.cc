#include "apps/sidecar/sidecar_daemon.h"

#include <google/protobuf/stubs/logging.h>

#include <csignal>
#include <random>

#include "src/base/http_status.h"

namespace dewcrank {

namespace {

/// Time for the socket buffers to be sent before the process exits.
constexpr Duration kFlushTime = 100ms;
/// The node stops this long before the platform's grace period ends.
constexpr Duration kStopMargin = 500ms;
constexpr Duration kIdleTimeout = 30s;
constexpr Duration kInstanceMaxIdleTime = 8s;
constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024 * 1024;
constexpr std::size_t kMaxIdlePerAddress = 128;
/// Incomplete responses that are read at the same time, in sum; one response may exceed it.
constexpr std::size_t kMaxIncompleteBytes = std::size_t{32} * 1024 * 1024;
const adapters::HttpLimits kDefaultLimits{std::size_t{64} * 1024, kMaxBodyBytes};

/// Start time in microseconds since the epoch; unique per process start unless the system clock is set back.
std::uint64_t newIncarnation() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count());
}

adapters::ClientOptions nodeClientOptions(adapters::BufferBudget* budget) {
    adapters::ClientOptions options;
    options.budget = budget;
    options.max_idle_per_address = kMaxIdlePerAddress;
    options.max_idle_time = kIdleTimeout - 5s;
    return options;
}

adapters::ClientOptions instanceClientOptions(const HeaderNames& names, adapters::BufferBudget* budget) {
    adapters::ClientOptions options;
    options.budget = budget;
    options.accepts_close_delimited = true;
    options.max_idle_per_address = kMaxIdlePerAddress;
    options.max_idle_time = kInstanceMaxIdleTime;
    options.echoed_header = names.request_id;
    return options;
}

}  // namespace

SidecarDaemon::SidecarDaemon(adapters::SidecarSettings settings, std::string settings_file,
                             const PlatformFactory& platform, std::optional<adapters::PortRange> fresh_ports)
    : settings_(std::move(settings)),
      settings_file_(std::move(settings_file)),
      process_log_(""),
      log_(loop_, process_log_, {"request_answered", "relayed", "client_left"}, {}, {"response_cut"}),
      cut_log_(log_),
      random_(std::random_device{}()),
      incomplete_responses_(kMaxIncompleteBytes),
      nodes_(loop_, kDefaultLimits, nodeClientOptions(&incomplete_responses_)),
      instances_(loop_, kDefaultLimits,
                 instanceClientOptions(platform(nodes_, loop_, settings_).header_names, &incomplete_responses_)),
      store_http_(loop_, kDefaultLimits),
      platform_(platform(store_http_, loop_, settings_)),
      node_(sidecar::Ports{loop_, random_, nodes_, instances_, *platform_.store, log_}, nodeSettings()),
      callers_(loop_, kDefaultLimits, kIdleTimeout,
               [this](HttpRequest request, const Exchange& exchange) { onCall(std::move(request), exchange); }),
      node_server_(
          loop_, kDefaultLimits, kIdleTimeout,
          [this](HttpRequest request, const Exchange& exchange) { onNodeRequest(std::move(request), exchange); }),
      heartbeats_(
          loop_, kDefaultLimits, kIdleTimeout,
          [this](const HttpRequest& request, const Exchange& exchange) { onHeartbeatRequest(request, exchange); }),
      fresh_address_(
          loop_, kDefaultLimits, kIdleTimeout, settings_.heartbeats.ip, fresh_ports,
          [this](const HttpRequest& request, const Exchange& exchange) { onInstanceRequest(request, true, exchange); }),
      readiness_(loop_, kDefaultLimits, kIdleTimeout,
                 [this](const HttpRequest&, const Exchange& exchange) { onReadinessRequest(exchange); }),
      metrics_server_(loop_, kDefaultLimits, kIdleTimeout,
                      [this](const HttpRequest&, const Exchange& exchange) { onMetricsRequest(exchange); }) {
    node_.signalCallEnded().connect([this](const entry::EntryReport& report) { metrics_.onCallEnded(report); });
    node_.table().signalAdopted().connect([this] { applyTableLimits(); });
    const auto& request_id = platform_.header_names.request_id;
    callers_.observeCuts(request_id, [this](const auto& cut) { cut_log_.onCut("callers", cut, node_.isStopping()); });
    node_server_.observeCuts(request_id, [this](const auto& cut) { cut_log_.onCut("nodes", cut, node_.isStopping()); });
}

sidecar::Settings SidecarDaemon::nodeSettings() const {
    sidecar::Settings result;
    result.name = settings_.name;
    result.zone = settings_.zone;
    result.address = settings_.nodes_advertised.value_or(settings_.nodes).text();
    result.instance_address = settings_.instance.text();
    result.service = settings_.service;
    result.incarnation = newIncarnation();
    for (const auto& seed : settings_.seeds) {
        result.seeds.push_back(seed.text());
    }
    result.header_names = platform_.header_names;
    result.knobs.relay.retry_limit = settings_.retry_limit;
    result.knobs.table_lease.revocation = settings_.key_revocation;
    result.knobs.overload = settings_.overload;
    result.knobs.stop.max_time = settings_.stop_grace - kStopMargin;
    return result;
}

void SidecarDaemon::ignoreReload() {
    std::signal(SIGHUP, SIG_IGN);
}

Result<void> SidecarDaemon::listen() {
    BOOST_LEAF_CHECK(readiness_.listen(settings_.readiness));
    BOOST_LEAF_CHECK(node_server_.listen(settings_.nodes));
    BOOST_LEAF_CHECK(heartbeats_.listen(settings_.heartbeats));
    if (settings_.metrics) {
        BOOST_LEAF_CHECK(metrics_server_.listen(*settings_.metrics));
    }
    BOOST_LEAF_CHECK(callers_.listen(settings_.callers));
    return {};
}

void SidecarDaemon::run() {
    google::protobuf::SetLogHandler(nullptr);  // Parse failures are logged as events of the node.
    loop_.onSignal(SIGTERM, [this] { onTerminate(); });
    loop_.onSignal(SIGINT, [this] { onTerminate(); });
    loop_.onSignal(SIGHUP, [this] { onReload(); });
    loop_.signalResumed().connect([this](Duration suspended) { node_.onHostResumed(suspended); });
    log_.write(Event("node_started")
                   .with("name", settings_.name)
                   .with("zone", settings_.zone)
                   .with("service", settings_.service)
                   .with("callers", settings_.callers.text())
                   .with("nodes", settings_.nodes.text())
                   .with("seeds", settings_.seeds.size()));
    node_.start();
    loop_.run();
    callers_.closeAll(end_reason_);
    node_server_.closeAll(end_reason_);
    log_.write(Event("node_stopped"));
}

void SidecarDaemon::onTerminate() {
    if (node_.isStopping()) {
        return;
    }
    log_.liftLimits();
    callers_.closeAfterResponses();
    node_.stop({[this] {
                    callers_.stopAccepting();
                    callers_.closeIdleConnections();
                    node_server_.closeAfterPresentResponses();  // The relay rejects what comes from now on.
                },
                [this] { return callers_.hasDeliveredAll() && node_server_.hasDeliveredAll(); },
                [this] {
                    const bool has_delivered = callers_.hasDeliveredAll() && node_server_.hasDeliveredAll();
                    const bool is_idle = node_.inFlight() == 0 && has_delivered;
                    end_reason_ = is_idle ? adapters::CutReason::kProcessEnd : adapters::CutReason::kStopLimit;
                    callers_.closeIdleConnections();
                    // Other nodes that connect from now on are refused, and know that their requests did not run. Those
                    // that are connected get their responses within the flush time.
                    node_server_.stopAccepting();
                    flush_timer_ = loop_.startTimer(kFlushTime, [this] { loop_.stop(); });
                }});
}

/// Reads the settings again and logs whether they changed; addresses and names take effect at the next start. Keeps all
/// connections open.
void SidecarDaemon::onReload() {
    runOrReport(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(settings, adapters::readSidecarSettings(settings_file_));
            const bool is_same =
                adapters::describeSidecarSettings(settings) == adapters::describeSidecarSettings(settings_);
            log_.write(Event("settings_read").with("file", settings_file_).with("changed", is_same ? "no" : "yes"));
            settings_ = settings;
            return {};
        },
        [&](const StepError& error) {
            log_.write(Event("settings_refused").with("file", settings_file_).with("error", error.text()));
        });
}

void SidecarDaemon::onCall(HttpRequest request, const Exchange& exchange) {
    cancelOnDisconnect(exchange, node_.handleCall(std::move(request), [exchange](HttpResponse response) {
        exchange->reply(std::move(response));
    }));
}

void SidecarDaemon::onNodeRequest(HttpRequest request, const Exchange& exchange) {
    cancelOnDisconnect(exchange, node_.handleNodeRequest(std::move(request), [exchange](HttpResponse response) {
        exchange->reply(std::move(response));
    }));
}

/// Also accepts gossip: a starting node may have only this node's heartbeat address.
void SidecarDaemon::onHeartbeatRequest(const HttpRequest& request, const Exchange& exchange) {
    if (request.path == fleet::kGossipPath) {
        exchange->reply(node_.handleMessage(request));
        return;
    }
    onInstanceRequest(request, false, exchange);
}

void SidecarDaemon::onInstanceRequest(const HttpRequest& request, bool is_at_fresh_address, const Exchange& exchange) {
    is_at_fresh_address_ = is_at_fresh_address;
    auto response = platform_.instance_api->handle(request, *this);
    if (response.status == kHttpBadRequest) {
        ++rejected_heartbeats_;
        log_.write(Event("heartbeat_refused").with("path", request.path).with("error", response.body));
    }
    node_.whenLeavesCopied([exchange, response]() { exchange->reply(response); });
}

/// An instance that was told the fresh address is told the usual one as soon as its heartbeats count.
std::string SidecarDaemon::heartbeatAddress() {
    if (node_.namesFreshAddress()) {
        return fresh_address_.text();
    }
    return is_at_fresh_address_ ? settings_.heartbeats.text() : "";
}

void SidecarDaemon::cancelOnDisconnect(const Exchange& exchange, sidecar::SidecarNode::CallId call_id) {
    if (call_id != 0) {
        exchange->onClientDisconnected([this, call_id] { node_.cancelCall(call_id); });
    }
}

void SidecarDaemon::onReadinessRequest(const Exchange& exchange) {
    HttpResponse response;
    response.status = node_.isReady() ? kHttpOk : kHttpServiceUnavailable;
    exchange->reply(response);
}

void SidecarDaemon::onMetricsRequest(const Exchange& exchange) {
    adapters::AdapterStats stats;
    stats.caller_connections = callers_.openConnections();
    stats.instance_connections = instances_.openConnections();
    stats.instance_connections_total = instances_.totalConnections();
    stats.heartbeats_rejected = rejected_heartbeats_;
    stats.incomplete_response_bytes = incomplete_responses_.held();
    stats.response_pauses = incomplete_responses_.pauses();
    stats.store_entries_skipped = platform_.store->skippedEntries();
    stats.response_cuts = cut_log_.totals();
    stats.log_lines_dropped = adapters::ProcessLog::droppedLines();
    exchange->reply(makeResponse(kHttpOk, "text/plain; version=0.0.4", metrics_.text(node_, stats)));
}

void SidecarDaemon::applyTableLimits() {
    const auto& limits = node_.table().contents().limits();
    adapters::HttpLimits http;
    http.header_bytes = limits.header_bytes() > 0 ? limits.header_bytes() : kDefaultLimits.header_bytes;
    http.body_bytes = limits.body_bytes() > 0 ? limits.body_bytes() : kDefaultLimits.body_bytes;
    adapters::ServerTimeouts timeouts;
    if (limits.header_timeout_ms() > 0) {
        timeouts.header = std::chrono::milliseconds(limits.header_timeout_ms());
    }
    if (limits.idle_timeout_ms() > 0) {
        timeouts.idle = std::chrono::milliseconds(limits.idle_timeout_ms());
    }
    callers_.setLimits(http, timeouts);
}

}  // namespace dewcrank
