#include "src/adapters/client_connection.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "src/adapters/socket_address.h"

namespace dewcrank::adapters {

namespace {

/// Reuse ends this long before the peer closes an idle connection, to avoid a race with the close.
constexpr Duration kIdleMargin = 1s;
constexpr std::string_view kIdleTimeoutKey = "timeout=";

/// @return the idle timeout in the Keep-Alive header less kIdleMargin, at most `default_time`; `default_time` if none.
Duration peerIdleTime(const Headers& headers, Duration default_time) {
    const auto value = headers.get("keep-alive");
    const auto found = value.find(kIdleTimeoutKey);
    if (found == std::string_view::npos) {
        return default_time;
    }
    const auto digits = value.substr(found + kIdleTimeoutKey.size());
    int seconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::clamp<Duration>(std::chrono::seconds(seconds) - kIdleMargin, Duration::zero(), default_time);
}

}  // namespace

ClientConnection::ClientConnection(HttpClient& client, std::string address)
    : client_(client),
      address_(std::move(address)),
      stream_(client.loop_, *this),
      parser_(HttpMessageParser::Kind::kResponse, client.limits_) {
    ++client_.open_connections_;
}

ClientConnection::~ClientConnection() {
    setHeldBytes(0);
    --client_.open_connections_;
}

void ClientConnection::setHeldBytes(std::size_t bytes) {
    if (client_.options_.budget != nullptr) {
        client_.options_.budget->set(*this, bytes);
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
    ++client_.total_connections_;
    return stream_.connect(reinterpret_cast<sockaddr*>(&address), sizeof address);
}

void ClientConnection::write(const HttpRequest& request) {
    expects_no_body_ = request.method == "HEAD";
    parser_.reset(expects_no_body_);
    keep_alive_ = false;
    expected_echo_ = request.headers.get(client_.options_.echoed_header);
    const bool has_body = !request.body.empty() || (request.method != "GET" && request.method != "HEAD");
    const auto size = has_body ? static_cast<long long>(request.body.size()) : -1;
    const auto head =
        writeHead(request.method + " " + request.path + " HTTP/1.1", request.headers, {size, false, address_});
    request_bytes_ = head.size() + request.body.size();
    stream_.write(head, request.body);
}

bool ClientConnection::isReusable() const {
    return keep_alive_ && !has_failed_ && !has_unexpected_data_ && stream_.unsentBytes() == 0;
}

void ClientConnection::onConnected() {
    is_connected_ = true;
    if (listener_ != nullptr) {
        listener_->onConnected();
    }
}

void ClientConnection::onClosed(CloseReason reason) {
    const bool is_end_of_stream = reason == CloseReason::kEndOfStream;
    if (is_end_of_stream && listener_ != nullptr && client_.options_.accepts_close_delimited &&
        parser_.endsWithConnection() && parser_.finish() == HttpMessageParser::State::kComplete) {
        has_failed_ = true;
        completeResponse();
        return;
    }
    fail(std::string(is_end_of_stream ? kConnectionClosed : kConnectionReset));
}

/// Bytes after the end of a response are not consumed, and prevent the reuse of the connection.
std::size_t ClientConnection::onBytes(std::string_view bytes) {
    if (listener_ == nullptr) {
        fail("unexpected-bytes");
        return bytes.size();
    }
    std::size_t consumed = 0;
    while (consumed < bytes.size() && listener_ != nullptr) {
        std::size_t count = 0;
        const auto state = parser_.feed(bytes.data() + consumed, bytes.size() - consumed, &count);
        consumed += count;
        if (state == HttpMessageParser::State::kComplete) {
            has_unexpected_data_ = has_unexpected_data_ || consumed < bytes.size();
            completeResponse();
        } else if (state != HttpMessageParser::State::kIncomplete) {
            fail(state == HttpMessageParser::State::kTooLarge ? "answer-too-large" : "malformed-answer");
        }
    }
    setHeldBytes(listener_ == nullptr ? 0 : parser_.bodyBytes());
    return consumed;
}

bool ClientConnection::belongsToEarlierRequest(const HttpResponse& response) const {
    const auto echo = response.headers.get(client_.options_.echoed_header);
    return !expected_echo_.empty() && !echo.empty() && echo != expected_echo_;
}

/// The listener may release this connection; the loop destroys it later.
void ClientConnection::completeResponse() {
    setHeldBytes(0);
    keep_alive_ = parser_.shouldKeepAlive() && !parser_.endsWithConnection();
    auto response = parser_.takeResponse();
    if (belongsToEarlierRequest(response)) {
        has_unexpected_data_ = true;
        parser_.reset(expects_no_body_);
        if (has_failed_) {
            fail(std::string(kConnectionClosed));
        }
        return;
    }
    max_idle_time_ = peerIdleTime(response.headers, client_.options_.max_idle_time);
    std::exchange(listener_, nullptr)->onResponse(std::move(response));
}

/// The listener or the client may release this connection; the loop destroys it later.
void ClientConnection::fail(const std::string& reason) {
    has_failed_ = true;
    setHeldBytes(0);
    if (auto* listener = std::exchange(listener_, nullptr)) {
        listener->onFailed(reason);
    } else {
        client_.onIdleClosed(this);
    }
}

}  // namespace dewcrank::adapters
