#include "src/ports/reconnecting_sender.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace dewcrank {

namespace {
/// Calls with larger bodies are not kept for a second try.
constexpr std::size_t kMaxKeptBody = std::size_t{16} * 1024;
}  // namespace

/// One request, sent at most twice.
class ReconnectingSender::Attempt : public dewcrank::Attempt {
public:
    Attempt(Clock& clock, HttpTransport& transport, std::string address, Duration timeout, Resend resend,
            HttpTransport::Callback callback)
        : clock_(clock),
          transport_(transport),
          address_(std::move(address)),
          timeout_(timeout),
          resend_(resend),
          callback_(std::move(callback)),
          started_(clock.now()) {}

    void start(HttpRequest request) {
        if (resend_ != Resend::kNever) {
            request_ = request;
        }
        first_ = transport_.send(address_, std::move(request), timeout_,
                                 [this](AttemptResult result) { onFirstEnded(std::move(result)); });
        timer_ = clock_.startTimer(std::min(kReconnectTime, timeout_ / 2), [this] { onNoResponse(); });
    }

private:
    void onNoResponse() {
        const bool is_silent = first_->isUnacknowledged();
        if (is_silent) {
            transport_.closeIdleConnections(address_, elapsed());
        }
        if (resend_ == Resend::kWithoutResponse || (resend_ == Resend::kUnacknowledged && is_silent)) {
            sendAgain();
        }
    }

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
    HttpRequest request_;  ///< For the second try, if there may be one.
    Duration timeout_;
    Resend resend_;
    HttpTransport::Callback callback_;
    TimePoint started_;
    bool is_sent_again_ = false;
    std::optional<AttemptResult> first_result_;   ///< Set if the first try has failed while the second one runs.
    std::optional<AttemptResult> second_result_;  ///< Set if the second try has failed while the first one runs.
    AttemptHandle first_;
    AttemptHandle second_;
    TimerHandle timer_;
};

AttemptHandle ReconnectingSender::start(const std::string& address, HttpRequest request, Duration timeout,
                                        Resend resend, HttpTransport::Callback callback) {
    if (!transport_.idleTime(address)) {
        return transport_.send(address, std::move(request), timeout, std::move(callback));
    }
    auto attempt = std::make_unique<Attempt>(clock_, transport_, address, timeout, resend, std::move(callback));
    attempt->start(std::move(request));
    return attempt;
}

AttemptHandle ReconnectingSender::send(const std::string& address, HttpRequest request, Duration timeout,
                                       HttpTransport::Callback callback) {
    return start(address, std::move(request), timeout, Resend::kWithoutResponse, std::move(callback));
}

AttemptHandle ReconnectingSender::sendCall(const std::string& address, HttpRequest request, Duration timeout,
                                           bool may_run_twice, HttpTransport::Callback callback) {
    if (!may_run_twice && transport_.idleTime(address).value_or(Duration::zero()) > kMaxUnverifiedTime) {
        return transport_.sendOnNewConnection(address, std::move(request), timeout, std::move(callback));
    }
    const bool is_small = request.body.size() <= kMaxKeptBody;
    const auto resend = may_run_twice && is_small ? Resend::kUnacknowledged : Resend::kNever;
    return start(address, std::move(request), timeout, resend, std::move(callback));
}

AttemptHandle ReconnectingSender::sendCallToStopping(const std::string& address, HttpRequest request, Duration timeout,
                                                     bool may_run_twice, HttpTransport::Callback callback) {
    return may_run_twice ? sendCall(address, std::move(request), timeout, may_run_twice, std::move(callback))
                         : transport_.sendOnNewConnection(address, std::move(request), timeout, std::move(callback));
}

}  // namespace dewcrank
