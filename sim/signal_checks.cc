/// @file
/// Checks that a fleet heeds what instances say about themselves in responses: rate limits, and that they are leaving.

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <string>

#include "sim/sidecar_fleet.h"

namespace dewcrank::sim {

namespace {

/// One event at the incarnation under check or at an entry, in order of time.
struct SignalEvent {
    enum class Kind { kChange, kPassed, kRestart, kArrival };
    TimePoint at{};
    Kind kind = Kind::kArrival;
    std::string entry;        ///< Not with kChange.
    InstanceSignals signals;  ///< With kChange and kPassed.
    TimePoint sent{};         ///< With kArrival.
    std::string request_id;   ///< With kArrival.
};

/// Replays the events of one incarnation and finds arrivals that its signals forbid.
class SignalReplay {
public:
    SignalReplay(std::string incarnation, std::vector<Violation>* out)
        : incarnation_(std::move(incarnation)), out_(out) {}

    void apply(const SignalEvent& event) {
        switch (event.kind) {
            case SignalEvent::Kind::kChange:
                onChange(event);
                break;
            case SignalEvent::Kind::kPassed:
                if (event.signals.rate_limit) {
                    told_limit_.try_emplace(event.entry, event.at);
                }
                if (event.signals.is_leaving) {
                    told_leaving_.try_emplace(event.entry, event.at);
                }
                break;
            case SignalEvent::Kind::kRestart:
                told_limit_.erase(event.entry);
                told_leaving_.erase(event.entry);
                break;
            case SignalEvent::Kind::kArrival:
                onArrival(event);
                break;
        }
    }

private:
    void onChange(const SignalEvent& event) {
        if (!event.signals.rate_limit) {
            limits_.clear();
            told_limit_.clear();
            arrivals_.clear();
            return;
        }
        limits_.push_back({event.at, *event.signals.rate_limit});
    }

    void onArrival(const SignalEvent& event) {
        const auto leaving = told_leaving_.find(event.entry);
        if (leaving != told_leaving_.end() && event.sent > leaving->second + kDrainBound) {
            out_->push_back({"leaving instances receive no requests", event.request_id + " at " + incarnation_});
        }
        const auto told = told_limit_.find(event.entry);
        if (limits_.empty() || told == told_limit_.end() || event.at < told->second + kRateLimitNotice) {
            return;
        }
        arrivals_.push_back(event.at);
        if (event.at < limits_.front().at + kRateLimitGrace) {
            return;
        }
        const auto first = std::upper_bound(arrivals_.begin(), arrivals_.end(), event.at - kRateLimitWindow);
        const auto count = static_cast<double>(arrivals_.end() - first);
        const double allowed = kRateLimitFactor * allowedUntil(event.at) + kRateLimitSlack;
        if (count > allowed) {
            out_->push_back({"rate limits of instances are respected",
                             incarnation_ + ": " + std::to_string(std::lround(count)) + " requests in 4 s, " +
                                 std::to_string(std::lround(allowed)) + " allowed"});
        }
    }

    /// @return the requests that the limit allows in the window that ends at `end`. The first limit counts for the time
    /// before it was named as well.
    [[nodiscard]] double allowedUntil(TimePoint end) const {
        const auto begin = end - kRateLimitWindow;
        double allowed = 0;
        for (std::size_t number = 0; number < limits_.size(); ++number) {
            const auto from = number == 0 ? begin : std::max(begin, limits_[number].at);
            const auto to = number + 1 < limits_.size() ? limits_[number + 1].at : end;
            allowed += to > from ? toSeconds(to - from) * limits_[number].per_second : 0;
        }
        return allowed;
    }

    struct Limit {
        TimePoint at{};
        double per_second = 0;
    };
    std::string incarnation_;
    std::vector<Violation>* out_;
    std::vector<Limit> limits_;                      ///< Since a limit was last named after none.
    std::vector<TimePoint> arrivals_;                ///< Those that count against the limit.
    std::map<std::string, TimePoint> told_limit_;    ///< By entry: when it first passed the limit on.
    std::map<std::string, TimePoint> told_leaving_;  ///< By entry: when it first passed on that the instance leaves.
};

}  // namespace

RequestOrigin SidecarFleet::originOf(const ArrivalRecord& arrival,
                                     const std::map<std::string, const CallerRequest*>& by_id) const {
    if (!arrival.origin.entry.empty()) {
        return arrival.origin;
    }
    const auto found = by_id.find(arrival.request_id);
    return found == by_id.end() ? RequestOrigin{} : RequestOrigin{found->second->entry_address, found->second->sent};
}

void SidecarFleet::checkSignals(std::vector<Violation>* out) const {
    const auto by_id = requestsById();
    std::map<std::string, std::vector<SignalEvent>> events;
    for (const auto& [incarnation, changes] : records_.signals) {
        for (const auto& change : changes) {
            events[incarnation].push_back({change.at, SignalEvent::Kind::kChange, "", change.signals, {}, ""});
        }
    }
    for (const auto& passed : records_.passed_signals) {
        events[passed.incarnation].push_back(
            {passed.at, SignalEvent::Kind::kPassed, passed.entry, passed.signals, {}, ""});
    }
    for (const auto& arrival : records_.arrivals) {
        if (const auto found = events.find(arrival.incarnation); found != events.end()) {
            const auto origin = originOf(arrival, by_id);
            found->second.push_back(
                {arrival.at, SignalEvent::Kind::kArrival, origin.entry, {}, origin.sent, arrival.request_id});
        }
    }
    for (auto& [incarnation, all] : events) {
        for (const auto& restart : entry_restarts_) {
            all.push_back({restart.at, SignalEvent::Kind::kRestart, restart.entry, {}, {}, ""});
        }
        std::stable_sort(all.begin(), all.end(),
                         [](const SignalEvent& left, const SignalEvent& right) { return left.at < right.at; });
        SignalReplay replay(incarnation, out);
        for (const auto& event : all) {
            replay.apply(event);
        }
    }
}

}  // namespace dewcrank::sim
