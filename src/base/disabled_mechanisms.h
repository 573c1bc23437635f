/// @file
/// Fault injection switches for the simulator and the tests, which show that each invariant fails without its
/// mechanism. No setting of a daemon reaches them.
#pragma once

namespace dewcrank {

/// Each member that is true disables one mechanism; its comment says what the fleet then does.
struct DisabledMechanisms {
    bool idempotency_check = false;         ///< Entries retry requests that may have run, even if not idempotent.
    bool not_executed_check = false;        ///< Entries respond 503 even if the request may have run.
    bool drain_check = false;               ///< Relays forward to a draining instance.
    bool rate_limit_check = false;          ///< Relays ignore the rate limit that an instance names.
    bool leaving_check = false;             ///< Nodes ignore responses which say that the instance is leaving.
    bool caller_cancellation = false;       ///< Calls continue after their caller has disconnected.
    bool response_signature_check = false;  ///< Relays accept responses without the instance's signature.
    bool retry_budget_check = false;        ///< Retries are not limited.
    bool crash_quarantine = false;          ///< Requests that ran during a crash do not become suspects.
    bool suspect_trial_gate = false;        ///< Suspects run however few instances are left.
    bool table_age_check = false;           ///< A table is accepted however old its last confirmation is.
    bool table_refresh = false;             ///< The age of tables is not bounded: watches alone show changes.
    bool credential_removal = false;        ///< Keys and tenant headers of the caller reach the instance.
    bool quota_limit = false;               ///< Tokens are granted without limit.
    bool peer_name_check = false;           ///< Any response from a node's address counts as that node's.
    bool store_era_check = false;           ///< A store restored from an older copy is treated as unchanged.
    bool stop_time_check = false;           ///< A stopping node takes requests that it cannot end in time.
    bool shutdown_wait = false;             ///< A planned shutdown does not wait for calls in flight.
};

}  // namespace dewcrank
