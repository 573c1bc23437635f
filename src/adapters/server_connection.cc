#include "src/adapters/server_connection.h"

#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

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
constexpr timeval kWriteTimeout{20, 0};
/// A peer that acknowledges nothing for this long is gone (TCP_USER_TIMEOUT, in milliseconds).
constexpr int kUnacknowledgedMs = 5000;
/// How long a caller may take to close after the last answer.
constexpr Duration kLinger = 3s;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr const char* kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

ServerConnection::ServerConnection(HttpServer& server, evutil_socket_t descriptor)
    : server_(server),
      stream_(bufferevent_socket_new(server.loop_.base(), descriptor, BEV_OPT_CLOSE_ON_FREE)),
      parser_(HttpMessageParser::Kind::kRequest, server.limits_) {
    const int one = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnacknowledgedMs, sizeof kUnacknowledgedMs);
    bufferevent_setcb(stream_, &ServerConnection::onReadable, &ServerConnection::onWritten, &ServerConnection::onEvent,
                      this);
    bufferevent_setwatermark(stream_, EV_READ, 0, kReadAhead);
    bufferevent_set_timeouts(stream_, nullptr, &kWriteTimeout);
    bufferevent_enable(stream_, EV_READ | EV_WRITE);
    armTimeout();
}

ServerConnection::~ServerConnection() {
    bufferevent_free(stream_);
}

bool ServerConnection::isIdle() const {
    return open_.empty() && evbuffer_get_length(bufferevent_get_output(stream_)) == 0;
}

void ServerConnection::close() {
    if (is_closed_) {
        return;
    }
    is_closed_ = true;
    bufferevent_setcb(stream_, nullptr, nullptr, nullptr, nullptr);
    bufferevent_disable(stream_, EV_READ | EV_WRITE);
    const auto open = std::exchange(open_, {});
    for (const auto& exchange : open) {
        exchange->connection_ = nullptr;
    }
    timeout_.reset();
    reread_.reset();
    server_.forget(this);
    for (const auto& exchange : open) {
        if (!exchange->is_answered_) {
            if (const auto callback = std::exchange(exchange->caller_left_, nullptr)) {
                callback();
            }
        }
    }
}

void ServerConnection::onEvent(bufferevent*, short, void* self) {
    static_cast<ServerConnection*>(self)->close();
}

void ServerConnection::onReadable(bufferevent*, void* self) {
    static_cast<ServerConnection*>(self)->readRequests();
}

void ServerConnection::onWritten(bufferevent*, void* self) {
    static_cast<ServerConnection*>(self)->finishWriting();
}

void ServerConnection::readRequests() {
    auto* input = bufferevent_get_input(stream_);
    while (!is_closed_ && !takes_no_more_ && open_.size() < kMostOpen && evbuffer_get_length(input) > 0) {
        const auto size = evbuffer_get_contiguous_space(input);
        const auto* data = reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
        std::size_t consumed = 0;
        const auto state = parser_.feed(data, size, &consumed);
        evbuffer_drain(input, consumed);
        if (state == HttpMessageParser::State::kIncomplete) {
            if (parser_.hasWholeHead() && parser_.expectsContinue() && !continue_sent_ && open_.empty()) {
                continue_sent_ = true;
                bufferevent_write(stream_, kContinue, std::char_traits<char>::length(kContinue));
            }
            continue;
        }
        if (state != HttpMessageParser::State::kComplete) {
            refuse(state);
            return;
        }
        onRequest();
    }
    if (is_closed_) {
        return;
    }
    if (takes_no_more_) {
        evbuffer_drain(input, evbuffer_get_length(input));
    }
    armTimeout();
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
    if (!takes_no_more_ && evbuffer_get_length(bufferevent_get_input(stream_)) > 0) {
        reread_ = server_.loop_.startTimer(Duration::zero(), [this] { readRequests(); });
    }
    armTimeout();
}

void ServerConnection::writeAnswer(const ServerExchange& exchange, bool closes) {
    const auto& answer = exchange.answer_;
    const bool has_body = answer.status != kNoContent && answer.status != kNotModified;
    const auto* reason = http_status_str(static_cast<http_status>(answer.status));
    const auto line = "HTTP/1.1 " + std::to_string(answer.status) + " " + reason;
    const auto size = has_body ? static_cast<long long>(answer.body.size()) : -1;
    const auto head = writeHead(line, answer.headers, size, closes);
    auto* output = bufferevent_get_output(stream_);
    evbuffer_add(output, head.data(), head.size());
    if (has_body && exchange.method_ != "HEAD") {
        evbuffer_add(output, answer.body.data(), answer.body.size());
    }
}

/// All is written. The caller may still be sending: closing with unread bytes would reset the
/// connection under the answer, so the writing side is shut and the rest is read and dropped.
void ServerConnection::finishWriting() {
    if (closes_when_written_ && evbuffer_get_length(bufferevent_get_output(stream_)) == 0) {
        shutdown(bufferevent_getfd(stream_), SHUT_WR);
        armTimeout();
    }
}

void ServerConnection::armTimeout() {
    const bool in_head = parser_.hasStarted() && !parser_.hasWholeHead();
    if (!open_.empty() && !parser_.hasStarted()) {
        timeout_.reset();
        return;
    }
    if (in_head && head_timer_runs_) {
        return;
    }
    head_timer_runs_ = in_head;
    const auto patience = closes_when_written_ ? std::min(kLinger, server_.timeouts_.idle) : server_.timeouts_.idle;
    const auto limit = in_head ? server_.timeouts_.header : patience;
    timeout_ = server_.loop_.startTimer(limit, [this] { close(); });
}

}  // namespace dewcrank::adapters
