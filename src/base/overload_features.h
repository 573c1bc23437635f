/// @file
/// Optional parts of the overload control, which a deployment switches on in its settings.
#pragma once

namespace dewcrank {

/// Parts that are on. All are off by default, so that a fleet that does not ask for them behaves as before.
struct OverloadFeatures {
    bool pace_balancing = false;   ///< Relays are chosen by how long work takes at their instances.
    bool zone_balancing = false;   ///< Under full load, zones keep the demand that their own instances have room for.
    bool retry_admission = false;  ///< Admission also limits the retries that requests need at a bottleneck.
    bool fair_shares = false;      ///< Tenants, or routes, share a bottleneck by max-min fairness.
    bool call_samples = false;     ///< Some runs of repeatable requests get less time, to learn their calls.
    bool return_priority = false;  ///< Callers that wait as told before a retry are admitted before those that do not.
};

}  // namespace dewcrank
