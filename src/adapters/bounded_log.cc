#include "src/adapters/bounded_log.h"

#include <utility>

namespace dewcrank::adapters {

BoundedLog::BoundedLog(Clock& clock, EventLog& log, std::set<std::string, std::less<>> routine_events, LogBounds bounds)
    : clock_(clock),
      log_(log),
      routine_events_(std::move(routine_events)),
      routine_{0, bounds.routine_lines},
      other_{0, bounds.other_lines} {}

BoundedLog::Use& BoundedLog::useOf(std::string_view name) {
    if (clock_.now() - second_ >= 1s) {
        beginSecond();
    }
    return routine_events_.contains(name) ? routine_ : other_;
}

bool BoundedLog::accepts(std::string_view name) {
    const auto& use = useOf(name);
    const bool is_taken = use.lines < use.bound;
    left_out_ += is_taken ? 0 : 1;
    return is_taken;
}

void BoundedLog::write(const Event& event) {
    auto& use = useOf(event.name());
    if (use.lines >= use.bound) {
        ++left_out_;
        return;
    }
    ++use.lines;
    log_.write(event);
}

void BoundedLog::beginSecond() {
    second_ = clock_.now();
    routine_.lines = 0;
    other_.lines = 0;
    if (const auto left_out = std::exchange(left_out_, 0); left_out > 0) {
        log_.write(Event("events_left_out").with("count", left_out));
    }
}

}  // namespace dewcrank::adapters
