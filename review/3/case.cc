/// @file
/// Case 3: while a machine is being stopped, each answer is cut three seconds after it was queued, though its client
/// goes on reading and the process goes on running for another request.
/// Usage: case-3 FOLDER RECORD; TROUBLE=0 leaves the SIGTERM out. Exit status: 1 rule broken, 0 rule held, 2 not run.
#include "review/standins/planned_stop.h"

int main(int argc, char** argv) {
    review::PlannedStop plan;
    // At 6 MB a second an answer takes 4.2 seconds of the five that the client waits.
    plan.answer_bytes = std::size_t{24} * 1024 * 1024;
    plan.pace.bytes_per_second = 6e6;
    plan.starts = {100, 400, 700};
    // Ends 4.7 s after the SIGTERM, before the last sixth of the grace period.
    plan.long_work = review::Milliseconds(4800);
    return review::mainOfPlannedStop(plan, argc, argv);
}
