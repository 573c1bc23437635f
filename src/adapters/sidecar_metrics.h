/// @file
/// Metrics of a sidecar node in the Prometheus text format.
#pragma once

#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

#include "src/adapters/response_cut_log.h"
#include "src/sidecar/sidecar_node.h"

namespace dewcrank::adapters {

/// Values that the adapters count, in addition to those of the node.
struct AdapterStats {
    std::size_t caller_connections = 0;            ///< Open connections from callers.
    std::size_t instance_connections = 0;          ///< Open connections to the local instance.
    std::uint64_t instance_connections_total = 0;  ///< Connections opened to the local instance since the start.
    std::uint64_t heartbeats_rejected = 0;         ///< Invalid, or for an unknown service.
    std::size_t incomplete_response_bytes = 0;     ///< See BufferBudget::held().
    std::uint64_t response_pauses = 0;             ///< See BufferBudget::pauses().
    std::uint64_t store_entries_skipped = 0;       ///< See ControlStore::skippedEntries().
    ResponseCutLog::Totals response_cuts;          ///< See ResponseCutLog.
    std::uint64_t log_lines_dropped = 0;           ///< See ProcessLog::droppedLines.
};

/// Counts completed calls, and samples the gauges of the node at each scrape.
class SidecarMetrics {
public:
    SidecarMetrics();
    /// Records the result and latency of one call.
    void onCallEnded(const entry::EntryReport& report);
    /// @return all metrics in the Prometheus text format; the gauges are sampled now.
    [[nodiscard]] std::string text(sidecar::SidecarNode& node, const AdapterStats& stats);

private:
    void setGauge(const char* name, const char* help, double value);
    void setCutGauges(const sidecar::SidecarNode& node, const AdapterStats& stats);

    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter>& calls_;
    prometheus::Family<prometheus::Histogram>& latencies_;
};

}  // namespace dewcrank::adapters
