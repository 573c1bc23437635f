#include "src/adapters/http_client.h"

#include <algorithm>
#include <utility>

#include "src/adapters/client_connection.h"

namespace dewcrank::adapters {

/// One attempt. Owns a connection until the response, a failure or a timeout.
class HttpClient::Exchange : public Attempt, private ClientConnection::Listener {
public:
    Exchange(HttpClient& client, HttpRequest request, Callback callback)
        : client_(client), request_(std::move(request)), callback_(std::move(callback)) {}
    ~Exchange() override { releaseConnection(); }
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

    void start(std::unique_ptr<ClientConnection> connection, Duration timeout) {
        timeout_ = timeout;
        connection_ = std::move(connection);
        if (!isAllowedMethod(request_.method)) {
            releaseConnection();
            finishLater({AttemptOutcome::kNotSent, {}, "bad-address-or-method"});
            return;
        }
        connection_->setListener(this);
        if (connection_->isConnected()) {
            used_idle_connection_ = true;
            sendRequest();
            return;
        }
        if (!connection_->connect()) {
            releaseConnection();
            finishLater(failureResult("connect-failed"));
            return;
        }
        timer_ = client_.loop_.startTimer(std::min(timeout, kConnectTimeout), [this] { onTimeout(); });
    }

    [[nodiscard]] bool isUnacknowledged() const override {
        return is_sent_ && connection_ != nullptr && connection_->isRequestUnacknowledged();
    }

private:
    void onConnected() override { sendRequest(); }

    void sendRequest() {
        is_sent_ = true;
        connection_->write(request_);
        timer_ = client_.loop_.startTimer(timeout_, [this] { onTimeout(); });
    }

    void onResponse(HttpResponse response) override {
        auto connection = std::move(connection_);
        if (connection->isReusable()) {
            client_.keepConnection(std::move(connection));
        } else {
            client_.destroyLater(std::move(connection));
        }
        finish({AttemptOutcome::kResponded, std::move(response), "", used_idle_connection_});
    }

    void onFailed(const std::string& reason) override {
        releaseConnection();
        finishLater(failureResult(is_sent_ ? reason : "connect-failed"));
    }

    void onTimeout() {
        releaseConnection();
        finish(failureResult(std::string(kTimedOut)));
    }

    /// Moves the request into the result if it was not sent.
    [[nodiscard]] AttemptResult failureResult(std::string reason) {
        AttemptResult result;
        result.outcome = is_sent_ ? AttemptOutcome::kUnknown : AttemptOutcome::kNotSent;
        result.reason = std::move(reason);
        result.used_idle_connection = used_idle_connection_;
        if (!is_sent_) {
            result.unsent = std::move(request_);
        }
        return result;
    }

    void releaseConnection() {
        if (connection_ != nullptr) {
            connection_->setListener(nullptr);
            client_.destroyLater(std::move(connection_));
        }
    }

    /// Reports from the loop: a failure may occur inside `send`, where the callback must not run.
    void finishLater(AttemptResult result) {
        timer_ = client_.loop_.startTimer(Duration::zero(),
                                          [this, result = std::move(result)]() mutable { finish(std::move(result)); });
    }

    /// The callback may destroy this object.
    void finish(AttemptResult result) {
        timer_.reset();
        const auto callback = std::exchange(callback_, nullptr);
        callback(std::move(result));
    }

    HttpClient& client_;
    HttpRequest request_;
    Callback callback_;
    Duration timeout_{};
    std::unique_ptr<ClientConnection> connection_;
    bool is_sent_ = false;
    bool used_idle_connection_ = false;
    TimerHandle timer_;
};

HttpClient::HttpClient(EventLoop& loop, HttpLimits limits, ClientOptions options)
    : loop_(loop), limits_(limits), options_(std::move(options)) {}

HttpClient::~HttpClient() = default;

AttemptHandle HttpClient::send(const std::string& address, HttpRequest request, Duration timeout, Callback callback) {
    auto exchange = std::make_unique<Exchange>(*this, std::move(request), std::move(callback));
    exchange->start(takeConnection(address), timeout);
    return exchange;
}

AttemptHandle HttpClient::sendOnNewConnection(const std::string& address, HttpRequest request, Duration timeout,
                                              Callback callback) {
    auto exchange = std::make_unique<Exchange>(*this, std::move(request), std::move(callback));
    exchange->start(std::make_unique<ClientConnection>(*this, address), timeout);
    return exchange;
}

std::optional<Duration> HttpClient::idleTime(const std::string& address) const {
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return std::nullopt;
    }
    const auto& idle = found->second;
    const auto now = loop_.now();
    const auto next =
        std::find_if(idle.rbegin(), idle.rend(), [now](const auto& it) { return it->isWithinIdleTime(now); });
    return next == idle.rend() ? std::nullopt : std::optional((*next)->idleTime(now));
}

void HttpClient::closeIdleConnections(const std::string& address, Duration min_idle_time) {
    auto& idle = idle_[address];
    const auto is_recent = [&](const auto& it) { return it->idleTime(loop_.now()) < min_idle_time; };
    const auto old = std::stable_partition(idle.begin(), idle.end(), is_recent);
    std::for_each(old, idle.end(), [this](auto& it) { destroyLater(std::move(it)); });
    idle.erase(old, idle.end());
}

/// Reuses the most recently used connection first, so that surplus connections reach their idle limit.
std::unique_ptr<ClientConnection> HttpClient::takeConnection(const std::string& address) {
    auto& idle = idle_[address];
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (connection->isWithinIdleTime(loop_.now())) {
            return connection;
        }
        destroyLater(std::move(connection));
    }
    return std::make_unique<ClientConnection>(*this, address);
}

void HttpClient::keepConnection(std::unique_ptr<ClientConnection> connection) {
    auto& idle = idle_[connection->address()];
    if (idle.size() >= options_.max_idle_per_address) {
        destroyLater(std::move(connection));
        return;
    }
    connection->markIdle(loop_.now());
    idle.push_back(std::move(connection));
}

void HttpClient::onIdleClosed(ClientConnection* connection) {
    auto& idle = idle_[connection->address()];
    const auto found =
        std::find_if(idle.begin(), idle.end(), [&](const auto& candidate) { return candidate.get() == connection; });
    if (found != idle.end()) {
        destroyLater(std::move(*found));
        idle.erase(found);
    }
}

void HttpClient::destroyLater(std::unique_ptr<ClientConnection> connection) {
    to_destroy_.push_back(std::move(connection));
    if (to_destroy_.size() == 1) {
        destroy_timer_ = loop_.startTimer(Duration::zero(), [this] { to_destroy_.clear(); });
    }
}

}  // namespace dewcrank::adapters
