/// @file
/// Replays callers that compete at one bottleneck, without a network: each node has its own admission and sees a random
/// part of the requests.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/adapters/seeded_random.h"
#include "src/decision/admission.h"
#include "src/quota/asked_rates.h"

namespace dewcrank::tests {

/// A tenant, or a route of callers without one.
struct ReplayFlow {
    std::string name;
    double per_s = 0;
    bool is_tenant = true;        ///< Tenants have a fleet-wide rate, if there are owners of the quota shards.
    double retrying_clients = 0;  ///< Share of the clients that retry at once after a rejection, three times.
    Duration burst_after{};  ///< From the start of the replay; before, the flow sends `usual_part` of its requests.
    double usual_part = 1;
};

struct ReplayOptions {
    std::size_t nodes = 1;
    bool fair_shares = true;
    double admit_ratio = 0.6;
    Duration warm_up = 6s;  ///< Not counted.
    Duration counted = 30s;
    std::uint64_t seed = 1;
    std::function<bool(TimePoint)> has_owners = [](TimePoint) { return true; };
    Duration report_age{};                                                           ///< Age of the fleet-wide rates.
    std::function<bool(TimePoint)> is_restarting = [](TimePoint) { return false; };  ///< All nodes start anew then.
};

struct FlowCount {
    double requests = 0;  ///< First attempts.
    double admitted_first = 0;
    double attempts = 0;  ///< Client retries included.
    double admitted = 0;
    [[nodiscard]] double refusedShare() const { return 1 - admitted_first / std::max(1.0, requests); }
};

struct ReplayCounts {
    std::map<std::string, FlowCount> flows;
    double requests = 0;
    double admitted_first = 0;
    std::uint64_t flow_rejections = 0;
    [[nodiscard]] double admittedShare() const { return admitted_first / std::max(1.0, requests); }
};

/// 87 tenants with rates by 1 / rank^1.2.
inline std::vector<ReplayFlow> replayTenants(double total_per_s, std::size_t count = 87) {
    double sum = 0;
    for (std::size_t rank = 1; rank <= count; ++rank) {
        sum += std::pow(rank, -1.2);
    }
    std::vector<ReplayFlow> flows;
    for (std::size_t rank = 1; rank <= count; ++rank) {
        flows.push_back({"tenant/" + std::to_string(rank), total_per_s * std::pow(rank, -1.2) / sum});
    }
    return flows;
}

/// The level at which the flows' shares sum up to the admitted ratio of all of their requests.
inline double fairLevel(const std::vector<ReplayFlow>& flows, double admit_ratio) {
    double total = 0;
    double high = 0;
    for (const auto& flow : flows) {
        total += flow.per_s;
        high = std::max(high, flow.per_s);
    }
    double low = 0;
    for (int step = 0; step < 60; ++step) {
        const double middle = (low + high) / 2;
        double sum = 0;
        for (const auto& flow : flows) {
            sum += std::min(flow.per_s, middle);
        }
        (sum < admit_ratio * total ? low : high) = middle;
    }
    return high;
}

class FlowReplay {
public:
    FlowReplay(std::vector<ReplayFlow> flows, ReplayOptions options)
        : flows_(std::move(flows)), options_(std::move(options)), random_(options_.seed) {
        startNodes();
        for (const auto& flow : flows_) {
            total_per_s_ += flow.per_s;
            cumulative_.push_back(total_per_s_);
        }
    }

    ReplayCounts run() {
        const TimePoint begin(100s);
        const auto end = begin + options_.warm_up + options_.counted;
        bool was_restarting = false;
        for (auto now = begin; now < end; now += fromSeconds(-std::log(1 - random_.unit()) / total_per_s_)) {
            const bool is_restarting = options_.is_restarting(now);
            if (is_restarting && !was_restarting) {
                startNodes();
            }
            was_restarting = is_restarting;
            const double drawn = random_.unit() * total_per_s_;
            const auto index = std::lower_bound(cumulative_.begin(), cumulative_.end(), drawn) - cumulative_.begin();
            const auto& flow = flows_[static_cast<std::size_t>(index)];
            if (now - begin >= flow.burst_after || random_.unit() < flow.usual_part) {
                request(now, flow, now >= begin + options_.warm_up);
            }
        }
        return counts_;
    }

private:
    void startNodes() {
        nodes_.clear();
        OverloadFeatures features;
        features.fair_shares = options_.fair_shares;
        for (std::size_t node = 0; node < options_.nodes; ++node) {
            nodes_.push_back(std::make_unique<decision::Admission>(random_, decision::AdmissionKnobs(), features));
            nodes_.back()->signalFlowRejected().connect(
                [this](const decision::FlowRejection&) { ++counts_.flow_rejections; });
        }
    }

    void request(TimePoint now, const ReplayFlow& flow, bool is_counted) {
        const bool retries = random_.unit() < flow.retrying_clients;
        for (int attempt = 0; attempt <= (retries ? 3 : 0); ++attempt) {
            const bool is_admitted = send(now, flow, attempt > 0);
            if (is_counted) {
                auto& count = counts_.flows[flow.name];
                count.requests += attempt == 0 ? 1 : 0;
                count.admitted_first += attempt == 0 && is_admitted ? 1 : 0;
                count.attempts += 1;
                count.admitted += is_admitted ? 1 : 0;
                counts_.requests += attempt == 0 ? 1 : 0;
                counts_.admitted_first += attempt == 0 && is_admitted ? 1 : 0;
            }
            if (is_admitted) {
                return;
            }
        }
    }

    bool send(TimePoint now, const ReplayFlow& flow, bool is_client_retry) {
        decision::AdmissionRequest request{0, is_client_retry, false, flow.name};
        if (flow.is_tenant && options_.has_owners(now)) {
            owner_.onAsked(now, flow.name, 1);
            if (const double rate = owner_.perSecond(now, flow.name); rate > 0) {
                request.fleet_rate = FleetRate{rate, options_.report_age};
            }
        }
        auto& node = *nodes_[random_.below(nodes_.size())];
        return node.admits(now, {"leaf", options_.admit_ratio, 40ms}, request);
    }

    std::vector<ReplayFlow> flows_;
    ReplayOptions options_;
    adapters::SeededRandom random_;
    std::vector<std::unique_ptr<decision::Admission>> nodes_;
    quota::AskedRates owner_;
    double total_per_s_ = 0;
    std::vector<double> cumulative_;
    ReplayCounts counts_;
};

}  // namespace dewcrank::tests
