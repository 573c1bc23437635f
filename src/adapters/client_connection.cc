#include "src/adapters/client_connection.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "src/adapters/socket_address.h"

namespace dewcrank::adapters {

namespace {

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
    : client_(client),
      address_(std::move(address)),
      stream_(client.loop_, *this),
      parser_(HttpMessageParser::Kind::kAnswer, client.limits_) {
    ++client_.open_connections_;
}

ClientConnection::~ClientConnection() {
    --client_.open_connections_;
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
    return stream_.connect(reinterpret_cast<sockaddr*>(&address), sizeof address);
}

void ClientConnection::write(const HttpRequest& request) {
    expects_no_body_ = request.method == "HEAD";
    parser_.reset(expects_no_body_);
    keeps_alive_ = false;
    expected_echo_ = request.headers.get(client_.options_.echoed_header);
    const bool has_body = !request.body.empty() || (request.method != "GET" && request.method != "HEAD");
    const auto size = has_body ? static_cast<long long>(request.body.size()) : -1;
    const auto head =
        writeHead(request.method + " " + request.path + " HTTP/1.1", request.headers, {size, false, address_});
    stream_.write(head, request.body);
}

bool ClientConnection::isReusable() const {
    return keeps_alive_ && !is_broken_ && !has_strays_ && stream_.unwritten() == 0;
}

void ClientConnection::onConnected() {
    is_connected_ = true;
    if (listener_ != nullptr) {
        listener_->onConnected();
    }
}

void ClientConnection::onEnded(StreamEnd end) {
    const bool is_clean_end = end == StreamEnd::kClosed;
    if (is_clean_end && listener_ != nullptr && client_.options_.accepts_close_delimited &&
        parser_.endsWithConnection() && parser_.finish() == HttpMessageParser::State::kComplete) {
        is_broken_ = true;
        complete();
        return;
    }
    broken(std::string(is_clean_end ? kConnectionClosed : kConnectionReset));
}

/// Bytes behind an answer are not taken: they make the connection useless.
std::size_t ClientConnection::onBytes(std::string_view bytes) {
    if (listener_ == nullptr) {
        broken("unexpected-bytes");
        return bytes.size();
    }
    std::size_t taken = 0;
    while (taken < bytes.size() && listener_ != nullptr) {
        std::size_t consumed = 0;
        const auto state = parser_.feed(bytes.data() + taken, bytes.size() - taken, &consumed);
        taken += consumed;
        if (state == HttpMessageParser::State::kComplete) {
            has_strays_ = has_strays_ || taken < bytes.size();
            complete();
        } else if (state != HttpMessageParser::State::kIncomplete) {
            broken(state == HttpMessageParser::State::kTooLarge ? "answer-too-large" : "malformed-answer");
        }
    }
    return taken;
}

bool ClientConnection::isStray(const HttpResponse& answer) const {
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
            broken(std::string(kConnectionClosed));
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
