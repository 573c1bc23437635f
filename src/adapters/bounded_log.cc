#include "src/adapters/bounded_log.h"

#include <utility>

namespace dewcrank::adapters {

BoundedLog::BoundedLog(Clock& clock, EventLog& log, std::set<std::string> routine_events, LogBounds bounds)
    : clock_(clock), log_(log), routine_events_(std::move(routine_events)), bounds_(bounds) {}

void BoundedLog::write(const Event& event) {
    if (clock_.now() - second_ >= 1s) {
        beginSecond();
    }
    const bool is_routine = routine_events_.contains(event.name());
    auto& count = is_routine ? routine_ : other_;
    const auto bound = is_routine ? bounds_.routine_lines : bounds_.other_lines;
    if (count >= bound) {
        ++left_out_;
        return;
    }
    ++count;
    log_.write(event);
}

void BoundedLog::beginSecond() {
    second_ = clock_.now();
    routine_ = 0;
    other_ = 0;
    if (const auto left_out = std::exchange(left_out_, 0); left_out > 0) {
        log_.write(Event("events_left_out").with("count", left_out));
    }
}

}  // namespace dewcrank::adapters
