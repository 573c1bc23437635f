/// @file
/// Load generator of the soak: sends requests to ready nodes at a configurable rate and disconnects from some of them
/// before the response.
#pragma once

#include <map>
#include <string>

#include "src/adapters/http_client.h"
#include "tests/soak/fleet.h"

namespace dewcrank::soak {

/// Open-loop load generator: Poisson arrivals whose times do not depend on responses.
/// Records every request and its outcome in the fleet's observations.
class Callers {
public:
    Callers(adapters::EventLoop& loop, Fleet& fleet);
    /// Starts sending; `setRate` must have been called before.
    void start() {
        next_due_ = loop_.now();
        sendNext();
    }
    /// Stops sending. Pending requests still complete.
    void stop() { timer_.reset(); }
    /// @param per_second mean request rate from the next request on.
    void setRate(double per_second) { per_second_ = per_second; }
    /// @param client_retries how many times a request is sent again, without delay, after a 503.
    void setClientRetries(int client_retries) { client_retries_ = client_retries; }
    /// Also sends, at a fixed interval, requests that crash the instances that run them. Each call uses new paths.
    void startCrashing();
    void stopCrashing() { crash_timer_.reset(); }

private:
    void sendNext();
    void send(const std::string& route, const std::string& path, int client_retries);
    void sendCrashing(std::size_t index);
    void onCompleted(std::uint64_t number, CallerRequest* request, int client_retries, const AttemptResult& result);

    adapters::EventLoop& loop_;
    Fleet& fleet_;
    adapters::HttpClient client_;
    HeaderNames names_;
    double per_second_ = 0;
    int client_retries_ = 0;
    TimerHandle timer_;
    TimerHandle crash_timer_;
    std::uint64_t crash_path_number_ = 0;  ///< Number in the path of the current crashing requests.
    TimePoint next_due_{};                 ///< When the next request is due; delays of the timer do not accumulate.
    std::uint64_t last_number_ = 0;
    /// A request that has neither completed nor been abandoned.
    struct PendingRequest {
        AttemptHandle attempt;
        TimerHandle disconnect_timer;
    };
    std::map<std::uint64_t, PendingRequest> pending_;  ///< By request number.
};

}  // namespace dewcrank::soak
