#include "src/adapters/client_connection.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "src/adapters/socket_address.h"

namespace dewcrank::adapters {

namespace {

/// A peer that acknowledges nothing for this long is gone (TCP_USER_TIMEOUT, in milliseconds).
constexpr int kUnacknowledgedMs = 5000;
/// Idle connections are given up this much before the peer has said that it closes them.
constexpr Duration kIdleMargin = 1s;
constexpr std::string_view kIdleTimeoutKey = "timeout=";

/// The idle time that a peer tells, less a margin; `otherwise` if it tells none.
Duration idleTimeOf(const Headers& headers, Duration otherwise) {
    const auto value = headers.get("keep-alive");
    const auto found = value.find(kIdleTimeoutKey);
    if (found == std::string_view::npos) {
        return otherwise;
    }
    const auto digits = value.substr(found + kIdleTimeoutKey.size());
    int seconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::clamp<Duration>(std::chrono::seconds(seconds) - kIdleMargin, Duration::zero(), otherwise);
}

}  // namespace

ClientConnection::ClientConnection(HttpClient& client, std::string address)
    : client_(client), address_(std::move(address)), parser_(HttpMessageParser::Kind::kAnswer, client.limits_) {
    ++client_.open_connections_;
}

ClientConnection::~ClientConnection() {
    --client_.open_connections_;
    if (stream_ != nullptr) {
        bufferevent_free(stream_);
    }
}

bool ClientConnection::connect() {
    const auto target = parseSocketAddress(address_);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    if (!target || inet_pton(AF_INET, target->ip.c_str(), &address.sin_addr) != 1) {
        return false;
    }
    address.sin_port = htons(target->port);
    ++client_.connections_begun_;
    stream_ = bufferevent_socket_new(client_.loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(stream_, &ClientConnection::onReadable, nullptr, &ClientConnection::onEvent, this);
    bufferevent_enable(stream_, EV_READ | EV_WRITE);
    if (bufferevent_socket_connect(stream_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        return false;
    }
    const int one = 1;
    const auto descriptor = bufferevent_getfd(stream_);
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnacknowledgedMs, sizeof kUnacknowledgedMs);
    return !is_broken_;
}

void ClientConnection::write(const HttpRequest& request) {
    expects_no_body_ = request.method == "HEAD";
    parser_.reset(expects_no_body_);
    keeps_alive_ = false;
    expected_echo_ = request.headers.get(client_.options_.echoed_header);
    auto headers = request.headers;
    if (!headers.has("host")) {
        headers.set("Host", address_);
    }
    const bool has_body = !request.body.empty() || (request.method != "GET" && request.method != "HEAD");
    const auto size = has_body ? static_cast<long long>(request.body.size()) : -1;
    const auto head = writeHead(request.method + " " + request.path + " HTTP/1.1", headers, size, false);
    auto* output = bufferevent_get_output(stream_);
    evbuffer_add(output, head.data(), head.size());
    evbuffer_add(output, request.body.data(), request.body.size());
}

bool ClientConnection::isReusable() const {
    return keeps_alive_ && !is_broken_ && !has_strays_ && evbuffer_get_length(bufferevent_get_input(stream_)) == 0 &&
           evbuffer_get_length(bufferevent_get_output(stream_)) == 0;
}

void ClientConnection::onReadable(bufferevent*, void* self) {
    static_cast<ClientConnection*>(self)->readAnswer();
}

void ClientConnection::onEvent(bufferevent*, short what, void* self) {
    auto* connection = static_cast<ClientConnection*>(self);
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        connection->is_connected_ = true;
        if (connection->listener_ != nullptr) {
            connection->listener_->onConnected();
        }
        return;
    }
    const bool is_clean_end = (what & BEV_EVENT_EOF) != 0;
    if (is_clean_end && connection->listener_ != nullptr && connection->client_.options_.accepts_close_delimited &&
        connection->parser_.endsWithConnection() &&
        connection->parser_.finish() == HttpMessageParser::State::kComplete) {
        connection->is_broken_ = true;
        connection->complete();
        return;
    }
    connection->broken(is_clean_end ? "connection-closed" : "connection-reset");
}

void ClientConnection::readAnswer() {
    auto* input = bufferevent_get_input(stream_);
    if (listener_ == nullptr) {
        broken("unexpected-bytes");
        return;
    }
    while (evbuffer_get_length(input) > 0) {
        const auto size = evbuffer_get_contiguous_space(input);
        const auto* data = reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
        std::size_t consumed = 0;
        const auto state = parser_.feed(data, size, &consumed);
        evbuffer_drain(input, consumed);
        if (state == HttpMessageParser::State::kComplete) {
            complete();
            if (listener_ == nullptr) {
                return;
            }
            continue;
        }
        if (state != HttpMessageParser::State::kIncomplete) {
            broken(state == HttpMessageParser::State::kTooLarge ? "answer-too-large" : "malformed-answer");
            return;
        }
    }
}

bool ClientConnection::isStray(const HttpAnswer& answer) const {
    const auto echo = answer.headers.get(client_.options_.echoed_header);
    return !expected_echo_.empty() && !echo.empty() && echo != expected_echo_;
}

/// The listener may have dropped this connection afterwards, which is then freed by the loop.
void ClientConnection::complete() {
    keeps_alive_ = parser_.keepsAlive() && !parser_.endsWithConnection();
    auto answer = parser_.takeAnswer();
    if (isStray(answer)) {
        has_strays_ = true;
        parser_.reset(expects_no_body_);
        if (is_broken_) {
            broken("connection-closed");
        }
        return;
    }
    longest_idle_ = idleTimeOf(answer.headers, client_.options_.longest_idle);
    std::exchange(listener_, nullptr)->onAnswer(std::move(answer));
}

/// The listener, or the client, may destroy this connection.
void ClientConnection::broken(const std::string& reason) {
    is_broken_ = true;
    if (auto* listener = std::exchange(listener_, nullptr)) {
        listener->onBroken(reason);
    } else {
        client_.onIdleEnded(this);
    }
}

}  // namespace dewcrank::adapters
