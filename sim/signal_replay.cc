#include "sim/signal_replay.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace dewcrank::sim {

namespace {

/// Replays the events of one incarnation and finds arrivals that its signals forbid.
class SignalReplay {
public:
    SignalReplay(std::string incarnation, std::vector<SignalViolation>* out)
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
        if (event.entry.empty()) {
            return;
        }
        const auto leaving = told_leaving_.find(event.entry);
        if (leaving != told_leaving_.end() && event.sent > leaving->second + kLeavingNotice) {
            out_->push_back({kLeavingInvariant, event.request_id + " at " + incarnation_});
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
            out_->push_back({kRateLimitInvariant, incarnation_ + ": " + std::to_string(std::lround(count)) +
                                                      " requests in 4 s, " + std::to_string(std::lround(allowed)) +
                                                      " allowed"});
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
    std::vector<SignalViolation>* out_;
    std::vector<Limit> limits_;                      ///< Since a limit was last named after none.
    std::vector<TimePoint> arrivals_;                ///< Those that count against the limit.
    std::map<std::string, TimePoint> told_limit_;    ///< By entry: when it first passed the limit on.
    std::map<std::string, TimePoint> told_leaving_;  ///< By entry: when it first passed on that the instance leaves.
};

}  // namespace

void writeSignals(const InstanceSignals& signals, const HeaderNames& names, Headers* headers) {
    if (signals.rate_limit) {
        headers->set(names.rate_limit.front(), std::to_string(*signals.rate_limit));
    }
    if (signals.is_leaving) {
        headers->set(names.leaving.front(), "1");
    }
}

InstanceSignals signalsIn(const HttpResponse& response, const HeaderNames& names) {
    InstanceSignals signals;
    signals.is_leaving = response.headers.get(names.leaving.front()) == "1";
    if (response.headers.has(names.rate_limit.front())) {
        signals.rate_limit = std::stod(std::string(response.headers.get(names.rate_limit.front())));
    }
    return signals;
}

std::vector<SignalViolation> replaySignals(const std::string& incarnation, std::vector<SignalEvent> events) {
    std::stable_sort(events.begin(), events.end(),
                     [](const SignalEvent& left, const SignalEvent& right) { return left.at < right.at; });
    std::vector<SignalViolation> violations;
    SignalReplay replay(incarnation, &violations);
    for (const auto& event : events) {
        replay.apply(event);
    }
    return violations;
}

}  // namespace dewcrank::sim
