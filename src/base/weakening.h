/// @file
/// Switches that turn one mechanism each off. No setting of a daemon reaches them: only the
/// simulator and the tests do, to show that each invariant fails without its mechanism.
#pragma once

namespace dewcrank {

struct Weakening {
    bool repeats_unrepeatable = false;    ///< A request that may have run is sent again whatever its route says.
    bool promises_without_proof = false;  ///< 503 is answered also where a request may have run.
    bool serves_draining = false;         ///< A relay sends to its instance after that has said it leaves.
    bool ignores_gone_callers = false;    ///< What a caller has left goes on.
    bool takes_unsigned_answers = false;  ///< An answer without the instance's signature is an answer.
    bool repeats_without_budget = false;  ///< Repeats are not counted.
    bool suspects_nobody = false;         ///< What ran when an instance ended is forgotten.
    bool tries_suspects_at_once = false;  ///< Suspects run however many instances are left.
    bool ignores_table_age = false;       ///< A table is taken for the newest however long ago that was known.
    bool hands_on_keys = false;           ///< What the caller has sent of keys and tenants goes on to the instance.
    bool grants_beyond_quota = false;     ///< Tokens are handed out without a limit.
    bool trusts_any_answer = false;       ///< Whoever answers at a node's address counts as that node.
    bool ignores_store_era = false;       ///< A store that has come back from an older copy is taken for the same.
    bool stops_without_waiting = false;   ///< A planned stop ends at once.
};

}  // namespace dewcrank
