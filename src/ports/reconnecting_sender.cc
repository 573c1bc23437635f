#include "src/ports/reconnecting_sender.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace dewcrank {

/// One request, sent at most twice.
class ReconnectingSender::Attempt : public dewcrank::Attempt {
public:
    Attempt(Clock& clock, HttpTransport& transport, std::string address, HttpRequest request, Duration timeout,
            HttpTransport::Callback callback)
        : clock_(clock),
          transport_(transport),
          address_(std::move(address)),
          request_(std::move(request)),
          timeout_(timeout),
          callback_(std::move(callback)),
          started_(clock.now()) {}

    void start() {
        first_ = transport_.send(address_, request_, timeout_,
                                 [this](AttemptResult result) { onFirstEnded(std::move(result)); });
        timer_ = clock_.startTimer(std::min(kReconnectTime, timeout_ / 2), [this] { sendAgain(); });
    }

private:
    void sendAgain() {
        is_sent_again_ = true;
        second_ = transport_.sendOnNewConnection(address_, std::move(request_), timeout_ - elapsed(),
                                                 [this](AttemptResult result) { onSecondEnded(std::move(result)); });
    }

    void onFirstEnded(AttemptResult result) {
        const bool has_response = result.outcome == AttemptOutcome::kResponded;
        if (has_response || !is_sent_again_ || second_result_) {
            finish(std::move(result));
        } else {
            first_result_ = std::move(result);
        }
    }

    /// The first result says whether the request may have been executed.
    void onSecondEnded(AttemptResult result) {
        if (result.outcome == AttemptOutcome::kResponded) {
            transport_.closeIdleConnections(address_, elapsed());
            finish(std::move(result));
        } else if (first_result_) {
            finish(std::move(*first_result_));
        } else {
            second_result_ = std::move(result);
        }
    }

    [[nodiscard]] Duration elapsed() const { return clock_.now() - started_; }

    /// The callback may destroy this object.
    void finish(AttemptResult result) {
        timer_.reset();
        const auto callback = std::exchange(callback_, nullptr);
        callback(std::move(result));
    }

    Clock& clock_;
    HttpTransport& transport_;
    std::string address_;
    HttpRequest request_;
    Duration timeout_;
    HttpTransport::Callback callback_;
    TimePoint started_;
    bool is_sent_again_ = false;
    std::optional<AttemptResult> first_result_;   ///< Set if the first try has failed while the second one runs.
    std::optional<AttemptResult> second_result_;  ///< Set if the second try has failed while the first one runs.
    AttemptHandle first_;
    AttemptHandle second_;
    TimerHandle timer_;
};

AttemptHandle ReconnectingSender::send(const std::string& address, HttpRequest request, Duration timeout,
                                       HttpTransport::Callback callback) {
    if (!transport_.hasIdleConnection(address)) {
        return transport_.send(address, std::move(request), timeout, std::move(callback));
    }
    auto attempt =
        std::make_unique<Attempt>(clock_, transport_, address, std::move(request), timeout, std::move(callback));
    attempt->start();
    return attempt;
}

}  // namespace dewcrank
