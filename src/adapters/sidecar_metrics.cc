#include "src/adapters/sidecar_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/text_serializer.h>

namespace dewcrank::adapters {

namespace {

/// @return the value of the label `end`.
const char* outcomeLabel(entry::EntryEnd end) {
    switch (end) {
        case entry::EntryEnd::kAnswered:
            return "answered";
        case entry::EntryEnd::kRefused:
            return "refused";
        case entry::EntryEnd::kUnknown:
            return "unknown";
    }
    return "unknown";
}

/// Upper bounds of the latency buckets, in seconds.
const prometheus::Histogram::BucketBoundaries kBuckets = {0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5};

}  // namespace

SidecarMetrics::SidecarMetrics()
    : calls_(prometheus::BuildCounter()
                 .Name("dewcrank_calls_total")
                 .Help("Completed calls at this entry by route, service, end and reason.")
                 .Register(registry_)),
      latencies_(prometheus::BuildHistogram()
                     .Name("dewcrank_call_seconds")
                     .Help("Time from the request to the response of a call at this entry, in seconds.")
                     .Register(registry_)) {}

void SidecarMetrics::onCallEnded(const entry::EntryReport& report) {
    calls_
        .Add({{"route", report.route},
              {"service", report.service},
              {"end", outcomeLabel(report.end)},
              {"reason", report.reason}})
        .Increment();
    latencies_.Add({{"route", report.route}, {"end", outcomeLabel(report.end)}}, kBuckets)
        .Observe(std::chrono::duration<double>(report.elapsed).count());
}

void SidecarMetrics::setGauge(const char* name, const char* help, double value) {
    prometheus::BuildGauge().Name(name).Help(help).Register(registry_).Add({}).Set(value);
}

std::string SidecarMetrics::text(sidecar::SidecarNode& node, const AdapterStats& stats) {
    const auto instance_load = node.relay().load();
    setGauge("dewcrank_instance_running", "Calls running at the instance.", instance_load.running);
    setGauge("dewcrank_instance_waiting", "Calls queued for the instance.", instance_load.waiting);
    setGauge("dewcrank_instance_limit", "Maximum number of concurrent calls at the instance.", instance_load.limit);
    setGauge("dewcrank_suspects", "Requests that were running when an instance of the service crashed.",
             static_cast<double>(node.quarantine().suspectCount()));
    setGauge("dewcrank_quarantined", "Requests that are quarantined from the instances of the service.",
             static_cast<double>(node.quarantine().quarantinedCount()));
    const auto service_load = node.serviceLoad();
    setGauge("dewcrank_instance_demand", "Slots that all requests would need, rejected ones included.",
             service_load.demand);
    setGauge("dewcrank_instance_busy", "Slots in use, averaged over one second.", service_load.busy);
    setGauge("dewcrank_instance_level", "Share of the requests for the service that upstream nodes should admit.",
             service_load.level());
    const auto& repeats = node.relay().retryTotals();
    setGauge("dewcrank_repeat_requests", "First attempts, on which the retry budget is based, since the start.",
             repeats.requests);
    setGauge("dewcrank_repeats_inherited", "Retries counted for calls of retried runs, since the start.",
             repeats.inherited);
    setGauge("dewcrank_repeats_granted", "Retries admitted, since the start.", static_cast<double>(repeats.granted));
    setGauge("dewcrank_repeats_denied", "Retries denied, since the start.", static_cast<double>(repeats.denied));
    const auto window = node.retryWindow();
    setGauge("dewcrank_repeats_window", "Retries in the last window, inherited ones included.", window.repeats);
    setGauge("dewcrank_repeats_window_allowed", "Retries allowed by the share of this relay in the last window.",
             window.allowed);
    setGauge("dewcrank_least_level", "Lowest admission ratio of the services that this node calls.",
             node.leastBottleneck().level);
    setGauge("dewcrank_table_version", "Version of the active route table.",
             static_cast<double>(node.table().version()));
    const auto age = node.tableAge();
    setGauge("dewcrank_table_age_seconds", "Seconds since the table was last confirmed as the newest; -1: never.",
             age ? toSeconds(*age) : -1);
    const auto& quota = node.quota().totals();
    setGauge("dewcrank_quota_tokens_spent", "Tokens granted to requests of this entry, since the start.",
             static_cast<double>(quota.granted));
    setGauge("dewcrank_quota_tokens_returned",
             "Granted tokens returned because their requests did not run, since the start.",
             static_cast<double>(quota.returned));
    setGauge("dewcrank_quota_tokens_lent", "Tokens granted to other nodes, since the start.",
             static_cast<double>(quota.lent));
    setGauge("dewcrank_quota_denied", "Requests of this entry over the quota of their tenant, since the start.",
             static_cast<double>(quota.beyond));
    setGauge("dewcrank_quota_unknown",
             "Requests of this entry for which no shard owner was reachable, since the start.",
             static_cast<double>(quota.unknown));
    setGauge("dewcrank_quota_shards", "Quota shards that this node owns.", static_cast<double>(node.quotaShards()));
    setGauge("dewcrank_nodes_known", "Other nodes in the directory.",
             static_cast<double>(node.directory().others().size()));
    setGauge("dewcrank_calls_in_flight", "Calls in flight at this node.", static_cast<double>(node.inFlight()));
    setGauge("dewcrank_relayed_calls", "Calls relayed for other nodes, since the start.",
             static_cast<double>(node.counters().relayed));
    setGauge("dewcrank_heartbeats", "Heartbeats received from the instance, since the start.",
             static_cast<double>(node.counters().heartbeats));
    setGauge("dewcrank_heartbeats_refused", "Heartbeats that are invalid or name an unknown service, since the start.",
             static_cast<double>(stats.heartbeats_rejected));
    setGauge("dewcrank_store_era", "Incremented each time the store is restored from an older copy; 0: unknown.",
             static_cast<double>(node.storeEra()));
    setGauge("dewcrank_instance_lives", "Instance incarnations on record.",
             static_cast<double>(node.knownIncarnations()));
    setGauge("dewcrank_ready", "1 if the node accepts callers, else 0.", node.isReady() ? 1 : 0);
    setGauge("dewcrank_caller_connections", "Open connections from callers.",
             static_cast<double>(stats.caller_connections));
    setGauge("dewcrank_instance_connections", "Open connections to the instance.",
             static_cast<double>(stats.instance_connections));
    setGauge("dewcrank_instance_connections_begun", "Connections opened to the instance, since the start.",
             static_cast<double>(stats.instance_connections_total));
    setGauge("dewcrank_log_lines_dropped", "Log lines dropped because standard output was not ready, since the start.",
             static_cast<double>(stats.log_lines_dropped));
    return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace dewcrank::adapters
