/// @file
/// Switches that turn one mechanism each off. No setting of a daemon reaches them: only the
/// simulator and the tests do, to show that each invariant fails without its mechanism.
#pragma once

namespace dewcrank {

struct Weakening {
    bool retries_without_ledger = false;  ///< An allowance at each hop instead of one for the action.
    bool runs_without_claim = false;      ///< A keyed request is sent without asking the replicas.
    bool refuses_without_void = false;    ///< A keyed request is refused without asking the replicas.
    bool adopts_older_tables = false;     ///< A table update is adopted whatever its revision.
    bool ignores_leaving = false;         ///< Drain marks and lists are ignored.
    bool stops_at_once = false;           ///< A planned stop does not wait for calls in flight.
    bool serves_by_arrival = false;       ///< Priorities count nothing.
    bool votes_after_restart = false;     ///< A replica answers for formations of its former life.

    // Of sidecar nodes.
    bool repeats_unrepeatable = false;    ///< A request that may have run is sent again whatever its route says.
    bool promises_without_proof = false;  ///< 503 is answered also where a request may have run.
    bool serves_draining = false;         ///< A relay sends to its instance after that has said it leaves.
    bool ignores_gone_callers = false;    ///< What a caller has left goes on.
    bool takes_unsigned_answers = false;  ///< An answer without the instance's signature is an answer.
    bool repeats_without_budget = false;  ///< Repeats are not counted.
    bool expects_any_instance = false;    ///< Sends name whatever instance is there.
    bool stops_without_waiting = false;   ///< A planned stop ends at once.
};

}  // namespace dewcrank
