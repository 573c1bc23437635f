#include "src/adapters/server_connection.h"

#include <algorithm>
#include <utility>

#include "src/base/http_status.h"

namespace dewcrank::adapters {

namespace {

/// Requests of one connection that may wait for their answers at the same time.
constexpr std::size_t kMostOpen = 16;
/// Bytes that are read ahead of the requests being served.
constexpr std::size_t kReadAhead = std::size_t{256} * 1024;
/// A caller that reads nothing for this long is given up.
constexpr Duration kWriteTimeout = 20s;
/// How long a caller may take to close after the last answer.
constexpr Duration kLinger = 3s;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr const char* kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

ServerConnection::ServerConnection(HttpServer& server, evutil_socket_t descriptor)
    : server_(server), stream_(server.loop_, *this), parser_(HttpMessageParser::Kind::kRequest, server.limits_) {
    stream_.setReadAhead(kReadAhead);
    stream_.setWriteTimeout(kWriteTimeout);
    stream_.accept(descriptor);
    armTimeout();
}

bool ServerConnection::isIdle() const {
    return open_.empty() && stream_.unwritten() == 0;
}

void ServerConnection::close() {
    if (is_closed_) {
        return;
    }
    is_closed_ = true;
    stream_.stop();
    const auto open = std::exchange(open_, {});
    for (const auto& exchange : open) {
        exchange->connection_ = nullptr;
    }
    timeout_.reset();
    offer_timer_.reset();
    server_.forget(this);
    for (const auto& exchange : open) {
        if (!exchange->is_answered_) {
            if (const auto callback = std::exchange(exchange->caller_left_, nullptr)) {
                callback();
            }
        }
    }
}

std::size_t ServerConnection::onBytes(std::string_view bytes) {
    std::size_t taken = 0;
    while (!is_closed_ && !takes_no_more_ && open_.size() < kMostOpen && taken < bytes.size()) {
        std::size_t consumed = 0;
        const auto state = parser_.feed(bytes.data() + taken, bytes.size() - taken, &consumed);
        taken += consumed;
        if (state == HttpMessageParser::State::kComplete) {
            onRequest();
        } else if (state == HttpMessageParser::State::kIncomplete) {
            sendContinueIfExpected();
        } else {
            refuse(state);
        }
    }
    if (is_closed_ || takes_no_more_) {
        taken = bytes.size();
    }
    if (!is_closed_) {
        armTimeout();
    }
    return taken;
}

void ServerConnection::sendContinueIfExpected() {
    if (parser_.hasWholeHead() && parser_.expectsContinue() && !continue_sent_ && open_.empty()) {
        continue_sent_ = true;
        stream_.write(kContinue, {});
    }
}

/// The handler may answer or close at once.
void ServerConnection::onRequest() {
    const bool keeps_alive = parser_.keepsAlive();
    auto request = parser_.takeRequest();
    continue_sent_ = false;
    head_timer_runs_ = false;
    parser_.reset();
    if (!isAllowedMethod(request.method)) {
        refuseWith(kHttpNotImplemented);
        return;
    }
    if (!request.headers.has("host")) {
        refuseWith(kHttpBadRequest);
        return;
    }
    auto exchange = std::make_shared<ServerExchange>(this, request.method, keeps_alive);
    open_.push_back(exchange);
    takes_no_more_ = !keeps_alive;
    server_.handler_(std::move(request), exchange);
}

void ServerConnection::refuse(HttpMessageParser::State state) {
    switch (state) {
        case HttpMessageParser::State::kTooLarge:
            refuseWith(kHttpContentTooLarge);
            return;
        case HttpMessageParser::State::kUnknownMethod:
            refuseWith(kHttpNotImplemented);
            return;
        default:
            refuseWith(kHttpBadRequest);
    }
}

void ServerConnection::refuseWith(int status) {
    takes_no_more_ = true;
    pending_refusal_ = status;
    onAnswered();
}

void ServerConnection::onAnswered() {
    while (!open_.empty() && open_.front()->is_answered_) {
        const auto exchange = open_.front();
        open_.pop_front();
        exchange->connection_ = nullptr;
        // What stands behind has been handed on already: only the last answer may close.
        const bool closes = open_.empty() && pending_refusal_ == 0 && (server_.is_closing_ || !exchange->keeps_alive_);
        writeAnswer(*exchange, closes);
        if (closes) {
            takes_no_more_ = true;
            closes_when_written_ = true;
        }
    }
    if (open_.empty() && pending_refusal_ != 0) {
        ServerExchange refusal(nullptr, "GET", false);
        refusal.answer_.status = std::exchange(pending_refusal_, 0);
        writeAnswer(refusal, true);
        closes_when_written_ = true;
    }
    if (!takes_no_more_ && stream_.untaken() > 0) {
        offer_timer_ = server_.loop_.startTimer(Duration::zero(), [this] { stream_.offerAgain(); });
    }
    finishWriting();
    armTimeout();
}

void ServerConnection::writeAnswer(const ServerExchange& exchange, bool closes) {
    const auto& answer = exchange.answer_;
    const bool has_body = answer.status != kNoContent && answer.status != kNotModified;
    const auto* reason = http_status_str(static_cast<http_status>(answer.status));
    const auto line = "HTTP/1.1 " + std::to_string(answer.status) + " " + reason;
    const auto size = has_body ? static_cast<long long>(answer.body.size()) : -1;
    const auto head = writeHead(line, answer.headers, {size, closes, {}});
    const bool sends_body = has_body && exchange.method_ != "HEAD";
    stream_.write(head, sends_body ? std::string_view(answer.body) : std::string_view());
}

/// All is written. The caller may still be sending: closing with unread bytes would reset the
/// connection under the answer, so the writing side is shut and the rest is read and dropped.
void ServerConnection::finishWriting() {
    if (closes_when_written_ && stream_.unwritten() == 0) {
        stream_.closeWriting();
        armTimeout();
    }
}

void ServerConnection::armTimeout() {
    const bool in_head = parser_.hasStarted() && !parser_.hasWholeHead();
    if (!open_.empty() && !parser_.hasStarted()) {
        closes_at_.reset();
        return;
    }
    if (in_head && head_timer_runs_) {
        return;
    }
    head_timer_runs_ = in_head;
    const auto patience = closes_when_written_ ? std::min(kLinger, server_.timeouts_.idle) : server_.timeouts_.idle;
    closes_at_ = server_.loop_.now() + (in_head ? server_.timeouts_.header : patience);
    if (!timeout_ || *closes_at_ < timeout_at_) {
        startTimeout();
    }
}

/// One timer serves many requests: when it runs out too early it is started again for what is left.
void ServerConnection::startTimeout() {
    timeout_at_ = *closes_at_;
    timeout_ = server_.loop_.startTimer(timeout_at_ - server_.loop_.now(), [this] { onTimeout(); });
}

void ServerConnection::onTimeout() {
    timeout_.reset();
    if (!closes_at_) {
        return;
    }
    if (server_.loop_.now() < *closes_at_) {
        startTimeout();
    } else {
        close();
    }
}

}  // namespace dewcrank::adapters
