#include "src/adapters/sidecar_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/text_serializer.h>

namespace dewcrank::adapters {

namespace {

/// @return the value of the label `end`.
const char* outcomeLabel(entry::EntryEnd end) {
    switch (end) {
        case entry::EntryEnd::kResponded:
            return "answered";
        case entry::EntryEnd::kRejected:
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
                 .Help("Calls at this entry by route, service, end and reason.")
                 .Register(registry_)),
      latencies_(prometheus::BuildHistogram()
                     .Name("dewcrank_call_seconds")
                     .Help("Time from a call's request to its answer at this entry.")
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

void SidecarMetrics::setCutGauges(const sidecar::SidecarNode& node, const AdapterStats& stats) {
    for (const auto& [key, count] : stats.response_cuts) {
        prometheus::BuildGauge()
            .Name("dewcrank_response_cuts")
            .Help("Responses that clients have not received completely, since the start.")
            .Register(registry_)
            .Add({{"server", key.first}, {"reason", key.second}})
            .Set(static_cast<double>(count));
    }
    for (const auto& [reason, count] : node.relay().runCuts()) {
        prometheus::BuildGauge()
            .Name("dewcrank_run_cuts")
            .Help("Runs that this node has ended at the instance before their deadlines, since the start.")
            .Register(registry_)
            .Add({{"reason", reason}})
            .Set(static_cast<double>(count));
    }
}

std::string SidecarMetrics::text(sidecar::SidecarNode& node, const AdapterStats& stats) {
    const auto instance_load = node.relay().load();
    setGauge("dewcrank_instance_running", "Calls that the instance has.", instance_load.running);
    setGauge("dewcrank_instance_waiting", "Calls that wait for the instance.", instance_load.waiting);
    setGauge("dewcrank_instance_limit", "Calls that the instance may have at once.", instance_load.limit);
    const auto sent = node.relay().sendTotals();
    setGauge("dewcrank_instance_first_attempts_sent", "First attempts sent to the instance, since the start.",
             static_cast<double>(sent.first_attempts));
    setGauge("dewcrank_instance_retries_sent", "Retries sent to the instance, since the start.",
             static_cast<double>(sent.retries));
    setGauge("dewcrank_instance_probes_sent", "Probes of the instance's health path, since the start.",
             static_cast<double>(sent.probes));
    const auto& signals = node.relay().signals();
    setGauge("dewcrank_instance_rate_limit", "Requests a second that the instance takes; -1: no limit.",
             signals.rateLimit().limit().value_or(-1));
    setGauge("dewcrank_instance_rate_limits_invalid", "Limits named by the instance that could not be used.",
             static_cast<double>(signals.invalidRateLimits()));
    setGauge("dewcrank_instance_loads_invalid", "Loads named by the instance that could not be used.",
             static_cast<double>(signals.invalidLoads()));
    setGauge("dewcrank_instance_pace", "Present service time of the instance by its usual one; 0: not known.",
             instance_load.pace);
    setGauge("dewcrank_instance_headers_unread", "Different headers of the instance's responses that nothing reads.",
             static_cast<double>(signals.unreadHeaders()));
    setGauge("dewcrank_suspects", "Requests that ran when an instance of the service ended.",
             static_cast<double>(node.quarantine().suspectCount()));
    setGauge("dewcrank_quarantined", "Requests that are kept from the instances of the service.",
             static_cast<double>(node.quarantine().quarantinedCount()));
    const auto service_load = node.serviceLoad();
    setGauge("dewcrank_instance_demand", "Slots that all requests would need, refused ones included.",
             service_load.demand);
    setGauge("dewcrank_instance_busy", "Slots in use, mean of a second.", service_load.busy);
    setGauge("dewcrank_instance_level", "Share of the requests upstream to admit.", service_load.admitRatio());
    const auto& retries = node.relay().retryTotals();
    setGauge("dewcrank_repeat_requests", "Requests that repeats are allowed for, since the start.", retries.requests);
    setGauge("dewcrank_repeats_inherited", "Calls of repeated runs, since the start.", retries.inherited);
    setGauge("dewcrank_repeats_granted", "Repeats let in, since the start.", static_cast<double>(retries.granted));
    setGauge("dewcrank_repeats_denied", "Repeats denied, since the start.", static_cast<double>(retries.denied));
    const auto window = node.retryWindow();
    setGauge("dewcrank_repeats_window", "Repeats in the last window, inherited ones included.", window.retries);
    setGauge("dewcrank_repeats_window_allowed", "This relay's part of the bound in the last window.", window.allowed);
    const auto& returns = node.returnTotals();
    setGauge("dewcrank_returns_reserved", "Rejected callers that were told a reserved time, since the start.",
             static_cast<double>(returns.reserved));
    setGauge("dewcrank_returns_kept", "Client retries that came at a reserved time, since the start.",
             static_cast<double>(returns.kept));
    setGauge("dewcrank_returns_at_once", "Client retries that came sooner than any caller is told to.",
             static_cast<double>(returns.at_once));
    setGauge("dewcrank_returns_unreserved", "Other client retries without a reservation, since the start.",
             static_cast<double>(returns.unreserved));
    setGauge("dewcrank_returns_refused_again", "Client retries that admission refused, since the start.",
             static_cast<double>(returns.refused_again));
    setGauge("dewcrank_least_level", "Least level of a service that this node calls.",
             node.tightestBottleneck().lowestRatio());
    setGauge("dewcrank_flow_share_refused", "Requests refused for their flow's share of a bottleneck, since the start.",
             static_cast<double>(node.flowRejections()));
    setGauge("dewcrank_table_version", "Version of the table in force.", static_cast<double>(node.table().version()));
    const auto age = node.tableAge();
    setGauge("dewcrank_table_age_seconds", "Since the table was known to be the newest; -1: never.",
             age ? toSeconds(*age) : -1);
    const auto& quota = node.quota().totals();
    setGauge("dewcrank_quota_tokens_spent", "Tokens that requests of this entry got, since the start.",
             static_cast<double>(quota.granted));
    setGauge("dewcrank_quota_tokens_returned", "Those of them whose requests did not run.",
             static_cast<double>(quota.returned));
    setGauge("dewcrank_quota_tokens_lent", "Tokens handed out to other nodes, since the start.",
             static_cast<double>(quota.granted_to_peers));
    setGauge("dewcrank_quota_denied", "Requests of this entry beyond their tenants' limits, since the start.",
             static_cast<double>(quota.denied));
    setGauge("dewcrank_quota_unknown", "Requests of this entry for which no owner of tokens could be asked.",
             static_cast<double>(quota.no_owner));
    setGauge("dewcrank_quota_shards", "Shards of the quotas that this node hands out the tokens of.",
             static_cast<double>(node.quotaShards()));
    setGauge("dewcrank_nodes_known", "Other nodes known.", static_cast<double>(node.directory().others().size()));
    setGauge("dewcrank_calls_in_flight", "Calls in flight at this node.", static_cast<double>(node.inFlight()));
    setGauge("dewcrank_relayed_calls", "Calls relayed for other nodes.", static_cast<double>(node.counters().relayed));
    setGauge("dewcrank_heartbeats", "Heartbeats of the instance.", static_cast<double>(node.counters().heartbeats));
    setGauge("dewcrank_heartbeats_refused", "Heartbeats that could not be read, or name no service of the table.",
             static_cast<double>(stats.heartbeats_rejected));
    setGauge("dewcrank_incomplete_response_bytes", "Bytes of large responses that have not arrived completely.",
             static_cast<double>(stats.incomplete_response_bytes));
    setGauge("dewcrank_response_pauses", "Times that a response was held up, since others took too many bytes.",
             static_cast<double>(stats.response_pauses));
    setGauge("dewcrank_store_entries_skipped", "Invalid entries of the store's list of nodes, in all lists read.",
             static_cast<double>(stats.store_entries_skipped));
    setGauge("dewcrank_store_era", "Raised each time that the store comes back from an older copy; 0: it tells none.",
             static_cast<double>(node.storeEra()));
    setGauge("dewcrank_instance_lives", "Lives of instances that are remembered.",
             static_cast<double>(node.knownIncarnations()));
    setGauge("dewcrank_ready", "1 if callers may be sent here.", node.isReady() ? 1 : 0);
    setGauge("dewcrank_caller_connections", "Open connections of callers.",
             static_cast<double>(stats.caller_connections));
    setGauge("dewcrank_instance_connections", "Open connections to the instance.",
             static_cast<double>(stats.instance_connections));
    setGauge("dewcrank_instance_connections_begun", "Connections to the instance since the start.",
             static_cast<double>(stats.instance_connections_total));
    setGauge("dewcrank_log_lines_dropped", "Lines that their reader did not take.",
             static_cast<double>(stats.log_lines_dropped));
    setCutGauges(node, stats);
    for (const auto& [key, count] : node.counters().wasted_executions) {
        prometheus::BuildGauge()
            .Name("dewcrank_wasted_executions")
            .Help("Failures of the instance that a failed call of it explains, since the start.")
            .Register(registry_)
            .Add({{"route", key.first}, {"bottleneck", key.second}})
            .Set(static_cast<double>(count));
    }
    return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace dewcrank::adapters
