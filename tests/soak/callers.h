/// @file
/// Callers of a soak: requests at a steady rate to nodes that are ready, some of which leave early.
#pragma once

#include <map>
#include <string>

#include "src/adapters/http_client.h"
#include "tests/soak/fleet.h"

namespace dewcrank::soak {

/// An open loop: what becomes of a request does not change when the next is sent.
class Callers {
public:
    Callers(adapters::EventLoop& loop, Fleet& fleet);
    void start() {
        next_ = loop_.now();
        sendNext();
    }
    void stop() { timer_.reset(); }
    /// Requests a second, from now on.
    void setRate(double per_second) { per_second_ = per_second; }
    /// How often each refused request is sent again, at once.
    void setResends(int resends) { resends_ = resends; }
    /// Sends requests that end the instances that run them, again and again, beside all others.
    void startCrashing();
    void stopCrashing() { crash_timer_.reset(); }

private:
    void sendNext();
    void send(const std::string& route, const std::string& path, int resends);
    void sendCrashing(std::size_t place);
    void onEnded(std::uint64_t number, CallerRequest* request, int resends, const AttemptResult& result);

    adapters::EventLoop& loop_;
    Fleet& fleet_;
    adapters::HttpClient client_;
    HeaderNames names_;
    double per_second_ = 0;
    int resends_ = 0;
    TimerHandle timer_;
    TimerHandle crash_timer_;
    std::uint64_t crash_number_ = 0;  ///< Distinct requests of that kind so far.
    TimePoint next_{};                ///< When the next request is due: a late one does not hold up those behind it.
    std::uint64_t last_number_ = 0;
    struct Open {
        AttemptHandle attempt;
        TimerHandle leaves;
    };
    std::map<std::uint64_t, Open> open_;
};

}  // namespace dewcrank::soak
