#include "src/adapters/http_server.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <iterator>
#include <utility>

#include "src/adapters/server_connection.h"

namespace dewcrank::adapters {

namespace {

/// Length of the queue of connections that are not accepted yet.
constexpr int kBacklog = 1024;
constexpr unsigned kListenOptions = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE;

std::uint16_t boundPort(evutil_socket_t descriptor) {
    sockaddr_in address{};
    socklen_t length = sizeof address;
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
    return ntohs(address.sin_port);
}

}  // namespace

// Exchange -----------------------------------------------------------------

ServerExchange::ServerExchange(ServerConnection* connection, std::string method, std::string request_id,
                               bool keep_alive)
    : connection_(connection),
      method_(std::move(method)),
      request_id_(std::move(request_id)),
      keep_alive_(keep_alive) {}

void ServerExchange::reply(HttpResponse response) {
    if (connection_ == nullptr || is_replied_) {
        return;
    }
    is_replied_ = true;
    response_ = std::move(response);
    on_client_disconnected_ = nullptr;
    connection_->onReplied();
}

void ServerExchange::onClientDisconnected(std::function<void()> callback) {
    if (connection_ != nullptr && !is_replied_) {
        on_client_disconnected_ = std::move(callback);
    }
}

void ServerExchange::abort() {
    if (connection_ != nullptr) {
        const auto keep = shared_from_this();
        on_client_disconnected_ = nullptr;
        connection_->close(CutReason::kAborted);
    }
}

// Server -------------------------------------------------------------------

HttpServer::HttpServer(EventLoop& loop, HttpLimits limits, Duration client_timeout, Handler handler)
    : loop_(loop), limits_(limits), timeouts_{client_timeout, client_timeout}, handler_(std::move(handler)) {}

HttpServer::~HttpServer() {
    if (listener_ != nullptr) {
        evconnlistener_free(listener_);
    }
    closeAll(CutReason::kProcessEnd);
}

void HttpServer::closeAll(CutReason reason) {
    while (!connections_.empty()) {
        (*connections_.begin())->close(reason);
    }
}

void HttpServer::observeCuts(std::string request_id_header, ResponseCutObserver observer) {
    request_id_header_ = std::move(request_id_header);
    cut_observer_ = std::move(observer);
}

Result<SocketAddress> HttpServer::listen(const SocketAddress& address) {
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr) != 1) {
        return stepError("http.listen", address.text(), "not an IPv4 address");
    }
    listener_ = evconnlistener_new_bind(loop_.base(), &HttpServer::onAccept, this, kListenOptions, kBacklog,
                                        reinterpret_cast<sockaddr*>(&target), sizeof target);
    if (listener_ == nullptr) {
        return stepError("http.listen", address.text(), std::strerror(errno));
    }
    return SocketAddress{address.ip, boundPort(evconnlistener_get_fd(listener_))};
}

void HttpServer::setLimits(HttpLimits limits, ServerTimeouts timeouts) {
    limits_ = limits;
    timeouts_ = timeouts;
    for (auto* connection : connections_) {
        connection->onLimitsChanged();
    }
}

void HttpServer::stopAccepting() {
    close_after_response_ = true;
    if (listener_ != nullptr) {
        acceptWaiting();
        evconnlistener_free(std::exchange(listener_, nullptr));
    }
}

void HttpServer::acceptWaiting() {
    int descriptor = -1;
    const auto listener = evconnlistener_get_fd(listener_);
    do {
        sockaddr_in peer{};
        socklen_t length = sizeof peer;
        descriptor = accept4(listener, reinterpret_cast<sockaddr*>(&peer), &length, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor >= 0) {
            connections_.insert(new ServerConnection(*this, descriptor, peer));
        }
    } while (descriptor >= 0 || errno == EINTR || errno == ECONNABORTED);
}

void HttpServer::closeIdleConnections() {
    const auto connections = connections_;
    for (auto* connection : connections) {
        connection->closeWhenIdle();
    }
}

void HttpServer::closeAfterPresentResponses() {
    closeAfterResponses();
    present_.emplace();
    std::copy_if(connections_.begin(), connections_.end(), std::inserter(*present_, present_->end()),
                 [](const auto* connection) { return !connection->isIdle(); });
}

bool HttpServer::hasDeliveredAll() const {
    const auto& covered = present_ ? *present_ : connections_;
    return std::all_of(covered.begin(), covered.end(), [](const auto* connection) { return connection->isIdle(); });
}

void HttpServer::destroyLater(ServerConnection* connection) {
    connections_.erase(connection);
    if (present_) {
        present_->erase(connection);
    }
    to_destroy_.emplace_back(connection);
    if (to_destroy_.size() == 1) {
        destroy_timer_ = loop_.startTimer(Duration::zero(), [this] { to_destroy_.clear(); });
    }
}

void HttpServer::onAccept(evconnlistener*, evutil_socket_t descriptor, sockaddr* address, int length, void* self) {
    auto* server = static_cast<HttpServer*>(self);
    sockaddr_in peer{};
    std::memcpy(&peer, address, std::min(sizeof peer, static_cast<std::size_t>(length)));
    server->connections_.insert(new ServerConnection(*server, descriptor, peer));
}

}  // namespace dewcrank::adapters
