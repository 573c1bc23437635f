/// @file
/// Admission by retries: where the retry budget of the bottleneck service is the scarce resource, rejects requests
/// whose calls would hardly complete with the retries that the budget allows, before their first hop.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "src/base/time.h"
#include "src/decision/admission.h"
#include "src/decision/bottleneck_view.h"
#include "src/ports/random_source.h"

namespace dewcrank::decision {

/// Constants of the admission by retries.
struct RetryAdmissionKnobs {
    /// Requests with at most the first probability of completing all of their calls are admitted as probes only, those
    /// with at least the second one all; between them the admitted share rises linearly.
    double min_completion = 0.05;
    double full_completion = 0.15;
    /// Share of the requests of a kind that is admitted at least, so that recovery is detected through them too. Their
    /// calls also allow retries to other requests: a higher share completes more of these and wastes more executions.
    double probe_share = 0.05;
    /// Instances that a call is sent to at most. An entry does not know this setting of the routes that are called.
    int attempts_per_call = 3;
};

/// What is decided for the requests of one kind.
struct RetryDecision {
    bool is_admitted = true;
    double probability = 1;     ///< With which requests of this kind are admitted.
    double no_retry_share = 0;  ///< Share of the calls of an admitted request that must not be retried.
    double kept_share = 1;      ///< Share of all calls at the bottleneck that belongs to admitted requests.
};

/// Divides the retries at each bottleneck among the kinds of requests that arrive at this node, in the order of their
/// rank and, within a rank, of the calls that one request makes there. A kind is cut down to probes if its requests
/// would hardly complete with the retries that are left for it. Retries are a share of the admitted calls, so that the
/// calls of a kind that is cut allow none to the others.
class RetryAdmission {
public:
    RetryAdmission(RandomSource& random, RetryAdmissionKnobs knobs) : random_(random), knobs_(knobs) {}

    /// Counts a request and decides on it. Everything is admitted where retries are not the scarce resource.
    RetryDecision decide(TimePoint now, const Bottleneck& bottleneck, const AdmissionRequest& request);

private:
    /// A kind of requests: rank and calls at the bottleneck, in the order of admission.
    using Kind = std::pair<std::uint32_t, std::uint32_t>;
    struct KindState {
        double requests = 0;       ///< That have arrived; decays exponentially.
        double probability = 1;    ///< With which requests are admitted.
        double granted_share = 1;  ///< Share of the retries that their calls request which is granted.
        double completion = 1;     ///< Probability that a request completes all of its calls.
        double calls_made = 0;     ///< Calls that a request makes on average until one of them fails.
        [[nodiscard]] double admittedCalls() const { return probability * requests * calls_made; }
    };
    struct Arrivals {
        TimePoint decayed_at{};
        TimePoint planned_at{};
        double kept_share = 1;
        std::map<Kind, KindState> kinds;
    };
    static void decay(TimePoint now, Arrivals* arrivals);
    void plan(const Bottleneck& bottleneck, Arrivals* arrivals) const;
    void divideRetries(const Bottleneck& bottleneck, Arrivals* arrivals) const;
    void updateExpectations(const Bottleneck& bottleneck, Arrivals* arrivals) const;
    [[nodiscard]] double callCompletion(double accepted_share, double retries_per_call) const;
    [[nodiscard]] double usefulRetries(double accepted_share) const;

    RandomSource& random_;
    RetryAdmissionKnobs knobs_;
    std::map<std::string, Arrivals> arrivals_;  ///< By bottleneck service.
};

}  // namespace dewcrank::decision
