#include "src/adapters/server_connection.h"

#include <algorithm>
#include <utility>

#include "src/base/http_status.h"

namespace dewcrank::adapters {

namespace {

/// Pipelined requests of one connection that may be pending at the same time.
constexpr std::size_t kMaxPipelined = 16;
/// Unconsumed bytes above which reading pauses.
constexpr std::size_t kReadAhead = std::size_t{256} * 1024;
/// The connection of a client that reads nothing for this time is closed.
constexpr Duration kWriteTimeout = 20s;
/// Time for the client to close the connection after the last response.
constexpr Duration kLingerTimeout = 3s;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr const char* kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

ServerConnection::ServerConnection(HttpServer& server, evutil_socket_t descriptor, const sockaddr_in& peer)
    : server_(server),
      stream_(server.loop_, *this),
      peer_(peer),
      parser_(HttpMessageParser::Kind::kRequest, server.limits_) {
    stream_.setReadAhead(kReadAhead);
    stream_.setWriteTimeout(kWriteTimeout);
    stream_.accept(descriptor);
    updateDeadline();
}

void ServerConnection::onLimitsChanged() {
    parser_.setLimits(server_.limits_);
    if (!is_closed_ && !parser_.hasStarted()) {
        updateDeadline();
    }
}

bool ServerConnection::isIdle() const {
    return pending_.empty() && stream_.unacknowledgedBytes() == 0;
}

/// A request that has arrived, but that the loop has not come to read, would be lost by the close.
void ServerConnection::closeWhenIdle() {
    close_after_response_ = true;
    while (isIdle() && !is_reading_done_ && stream_.readArrived()) {
    }
    if (isIdle()) {
        close(CutReason::kProcessEnd);
        return;
    }
    stopReading();
    close_after_write_ = close_after_write_ || pending_.empty();
    shutdownIfWritten();
}

bool ServerConnection::closesAfterResponse() const {
    return server_.close_after_response_ || close_after_response_;
}

void ServerConnection::close(CutReason reason) {
    if (is_closed_) {
        return;
    }
    is_closed_ = true;
    stream_.stop();
    const auto pending = std::exchange(pending_, {});
    reportCuts(pending, reason);
    for (const auto& exchange : pending) {
        exchange->connection_ = nullptr;
    }
    timer_.reset();
    redeliver_timer_.reset();
    server_.destroyLater(this);
    for (const auto& exchange : pending) {
        if (!exchange->is_replied_) {
            if (const auto callback = std::exchange(exchange->on_client_disconnected_, nullptr)) {
                callback();
            }
        }
    }
}

void ServerConnection::onClosed(CloseReason reason) {
    switch (reason) {
        case CloseReason::kEndOfStream:
            close(CutReason::kPeerClosed);
            return;
        case CloseReason::kWriteTimeout:
            close(CutReason::kWriteTimeout);
            return;
        case CloseReason::kError:
            close(CutReason::kReset);
    }
}

/// A FIN that the client's host has not acknowledged counts as a byte of the socket's output.
std::uint64_t ServerConnection::acknowledgedBytes() const {
    const auto missing = stream_.unacknowledgedBytes();
    const std::size_t fin = close_after_write_ && stream_.unsentBytes() == 0 && missing > 0 ? 1 : 0;
    return written_bytes_ - std::min<std::uint64_t>(written_bytes_, missing - fin);
}

void ServerConnection::reportCuts(const std::deque<std::shared_ptr<ServerExchange>>& pending, CutReason reason) {
    if (!server_.cut_observer_ || (sent_.empty() && pending.empty())) {
        return;
    }
    ResponseCut cut;
    cut.peer = peer_;
    cut.reason = reason;
    const auto acknowledged = sent_.empty() ? 0 : acknowledgedBytes();
    for (const auto& response : sent_) {
        if (response.end > acknowledged) {
            const auto begin = response.end - response.size;
            cut.request_id = response.request_id;
            cut.is_queued = true;
            cut.delivered = acknowledged - std::min(acknowledged, begin);
            cut.total = response.size;
            server_.cut_observer_(cut);
        }
    }
    cut.delivered = 0;
    cut.total = 0;
    for (const auto& exchange : pending) {
        if (!exchange->request_id_.empty()) {
            cut.request_id = exchange->request_id_;
            cut.is_queued = exchange->is_replied_;
            server_.cut_observer_(cut);
        }
    }
}

std::size_t ServerConnection::onBytes(std::string_view bytes) {
    std::size_t consumed = 0;
    while (consumed < bytes.size() && readsRequests()) {
        std::size_t count = 0;
        const auto state = parser_.feed(bytes.data() + consumed, bytes.size() - consumed, &count);
        consumed += count;
        if (state == HttpMessageParser::State::kComplete) {
            onRequest();
        } else if (state == HttpMessageParser::State::kIncomplete) {
            sendContinueIfExpected();
        } else {
            rejectUnparsed(state);
        }
    }
    if (is_closed_ || is_reading_done_) {
        consumed = bytes.size();
    }
    if (!is_closed_) {
        updateDeadline();
    }
    return consumed;
}

/// A connection that closes after its pending responses takes no request behind them. The last response announces the
/// close, so that the client sends again what came behind it.
bool ServerConnection::readsRequests() {
    if (closesAfterResponse() && !pending_.empty()) {
        stopReading();
    }
    return !is_closed_ && !is_reading_done_ && pending_.size() < kMaxPipelined;
}

void ServerConnection::stopReading() {
    is_reading_done_ = true;
    is_head_timed_ = false;
    parser_.reset();
}

void ServerConnection::sendContinueIfExpected() {
    if (parser_.hasCompleteHead() && parser_.expectsContinue() && !continue_sent_ && pending_.empty()) {
        continue_sent_ = true;
        write(kContinue, {});
    }
}

/// The handler may reply, or abort the connection, inside this call.
void ServerConnection::onRequest() {
    const bool keep_alive = parser_.shouldKeepAlive();
    auto request = parser_.takeRequest();
    continue_sent_ = false;
    is_head_timed_ = false;
    parser_.reset();
    if (!isAllowedMethod(request.method)) {
        reject(kHttpNotImplemented);
        return;
    }
    if (!request.headers.has("host")) {
        reject(kHttpBadRequest);
        return;
    }
    std::string request_id;
    if (server_.cut_observer_) {
        request_id = request.headers.get(server_.request_id_header_);
    }
    auto exchange = std::make_shared<ServerExchange>(this, request.method, std::move(request_id), keep_alive);
    pending_.push_back(exchange);
    is_reading_done_ = !keep_alive;
    server_.handler_(std::move(request), exchange);
}

void ServerConnection::rejectUnparsed(HttpMessageParser::State state) {
    switch (state) {
        case HttpMessageParser::State::kTooLarge:
            reject(kHttpContentTooLarge);
            return;
        case HttpMessageParser::State::kUnknownMethod:
            reject(kHttpNotImplemented);
            return;
        default:
            reject(kHttpBadRequest);
    }
}

void ServerConnection::reject(int status) {
    is_reading_done_ = true;
    pending_error_status_ = status;
    onReplied();
}

void ServerConnection::onReplied() {
    while (!pending_.empty() && pending_.front()->is_replied_) {
        const auto exchange = pending_.front();
        pending_.pop_front();
        exchange->connection_ = nullptr;
        // The requests behind it were taken already, so only the last response may close the connection.
        const bool close_connection =
            pending_.empty() && pending_error_status_ == 0 && (closesAfterResponse() || !exchange->keep_alive_);
        writeResponse(exchange.get(), close_connection);
        if (close_connection) {
            stopReading();
            close_after_write_ = true;
        }
    }
    if (pending_.empty() && pending_error_status_ != 0) {
        ServerExchange rejection(nullptr, "GET", "", false);
        rejection.response_.status = std::exchange(pending_error_status_, 0);
        writeResponse(&rejection, true);
        close_after_write_ = true;
    }
    if (stream_.unconsumedBytes() > 0) {
        redeliver_timer_ = server_.loop_.startTimer(Duration::zero(), [this] { stream_.redeliver(); });
    }
    shutdownIfWritten();
    updateDeadline();
}

void ServerConnection::write(std::string_view head, std::string_view body) {
    written_bytes_ += head.size() + body.size();
    stream_.write(head, body);
}

void ServerConnection::writeResponse(ServerExchange* exchange, bool close_connection) {
    const auto& response = exchange->response_;
    const bool has_body = response.status != kNoContent && response.status != kNotModified;
    const auto* reason = http_status_str(static_cast<http_status>(response.status));
    const auto line = "HTTP/1.1 " + std::to_string(response.status) + " " + reason;
    const auto size = has_body ? static_cast<long long>(response.body.size()) : -1;
    const auto head = writeHead(line, response.headers, {size, close_connection, {}});
    const bool sends_body = has_body && exchange->method_ != "HEAD";
    const auto body = sends_body ? std::string_view(response.body) : std::string_view();
    write(head, body);
    if (!exchange->request_id_.empty()) {
        if (sent_.size() == kMaxPipelined) {
            sent_.pop_front();
        }
        sent_.push_back({std::move(exchange->request_id_), written_bytes_, head.size() + body.size()});
    }
}

void ServerConnection::onWritten() {
    shutdownIfWritten();
    updateDeadline();
}

/// The client may still be sending. Closing the socket with unread bytes would reset the connection and could lose the
/// response, so only the sending side is shut down; further input is read and discarded.
void ServerConnection::shutdownIfWritten() {
    if (close_after_write_ && stream_.unsentBytes() == 0) {
        stream_.closeWriting();
    }
}

/// A client may take any time to read a response as long as it goes on reading; the write timeout of the stream covers
/// one that does not.
void ServerConnection::updateDeadline() {
    const bool in_head = parser_.hasStarted() && !parser_.hasCompleteHead();
    const bool is_awaiting_handler = !pending_.empty() && !parser_.hasStarted();
    if (is_awaiting_handler || stream_.unsentBytes() > 0) {
        deadline_.reset();
        is_head_timed_ = false;
        return;
    }
    if (in_head && is_head_timed_) {
        return;
    }
    is_head_timed_ = in_head;
    const auto idle_timeout =
        close_after_write_ ? std::min(kLingerTimeout, server_.timeouts_.idle) : server_.timeouts_.idle;
    deadline_ = server_.loop_.now() + (in_head ? server_.timeouts_.header : idle_timeout);
    if (!timer_ || *deadline_ < timer_expiry_) {
        startTimer();
    }
}

/// The timer is not restarted for each request: if it fires before the deadline, it is started for the remaining time.
void ServerConnection::startTimer() {
    timer_expiry_ = *deadline_;
    timer_ = server_.loop_.startTimer(timer_expiry_ - server_.loop_.now(), [this] { onTimer(); });
}

void ServerConnection::onTimer() {
    timer_.reset();
    if (!deadline_) {
        return;
    }
    if (server_.loop_.now() < *deadline_) {
        startTimer();
    } else if (pending_.empty() && !parser_.hasStarted() && !isIdle()) {
        updateDeadline();  // The client's host has not received all of the last response yet.
    } else if (!pending_.empty()) {
        // The next request came in part only. The responses to those before it are still owed.
        stopReading();
        close_after_response_ = true;
        updateDeadline();
    } else {
        close(CutReason::kIdleTimeout);
    }
}

}  // namespace dewcrank::adapters
