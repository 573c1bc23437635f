/// @file
/// Case 3: a planned stop of the machine that took a request cuts the answer that its client is still reading, since
/// the process ends 0.1 s after its last call.
/// Usage: case-3 FOLDER RECORD; TROUBLE=0 leaves the SIGTERM out. Exit status: 1 rule broken, 0 rule held, 2 not run.
#include "review/standins/planned_stop.h"

int main(int argc, char** argv) {
    review::PlannedStop plan;
    // At 3 MB a second an answer takes four seconds of the five that the client waits.
    plan.answer_bytes = std::size_t{12} * 1024 * 1024;
    plan.pace.bytes_per_second = 3e6;
    // The platform asks for readiness once a second and leads clients away after two misses: new requests come for a
    // second at least.
    plan.starts = {-1000, -600, -200, 200, 600, 900};
    return review::mainOfPlannedStop(plan, argc, argv);
}
