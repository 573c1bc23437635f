/// @file
/// Figures of a sidecar node in the Prometheus text format.
#pragma once

#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

#include "src/sidecar/sidecar_node.h"

namespace dewcrank::adapters {

/// Figures that adapters keep beside the node's.
struct AdapterStats {
    std::size_t caller_connections = 0;
    std::size_t instance_connections = 0;
    std::uint64_t instance_connections_total = 0;
    std::uint64_t heartbeats_rejected = 0;
    std::uint64_t log_lines_dropped = 0;
};

/// Counts each call's end, and shows gauges of the node as they are when asked.
class SidecarMetrics {
public:
    SidecarMetrics();
    void onCallEnded(const entry::EntryReport& report);
    [[nodiscard]] std::string text(sidecar::SidecarNode& node, const AdapterStats& stats);

private:
    void setGauge(const char* name, const char* help, double value);

    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter>& calls_;
    prometheus::Family<prometheus::Histogram>& latencies_;
};

}  // namespace dewcrank::adapters
