/// @file
/// TCP server that sends fixed bytes, for responses that an HTTP library would not produce.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include <set>
#include <string>

#include "src/adapters/event_loop.h"

namespace dewcrank::tests {

/// Counts requests, which end with a blank line, and sends `response` to each of them. An empty response, or
/// `close_after_response`, closes the connection.
class RawServer {
public:
    RawServer(adapters::EventLoop& loop, std::string response, bool close_after_response)
        : loop_(loop), response_(std::move(response)), close_after_response_(close_after_response) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        listener_ = evconnlistener_new_bind(loop.base(), &RawServer::onAccept, this, LEV_OPT_CLOSE_ON_FREE, 16,
                                            reinterpret_cast<sockaddr*>(&address), sizeof address);
        socklen_t length = sizeof address;
        getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&address), &length);
        address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    }
    ~RawServer() {
        evconnlistener_free(listener_);
        for (auto* stream : streams_) {
            bufferevent_free(stream);
        }
    }
    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;

    [[nodiscard]] const std::string& address() const { return address_; }
    [[nodiscard]] int requests() const { return requests_; }
    [[nodiscard]] int connections() const { return connections_; }
    /// Ignores all further bytes on the connections that are open now, which stay open.
    void silenceConnections() {
        for (auto* stream : streams_) {
            bufferevent_disable(stream, EV_READ);
        }
    }
    void setResponse(std::string response, bool close_after_response) {
        response_ = std::move(response);
        close_after_response_ = close_after_response;
    }

private:
    static void onAccept(evconnlistener*, evutil_socket_t descriptor, sockaddr*, int, void* self) {
        auto* server = static_cast<RawServer*>(self);
        auto* stream = bufferevent_socket_new(server->loop_.base(), descriptor, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(stream, &RawServer::onRead, &RawServer::onWritten, nullptr, server);
        bufferevent_enable(stream, EV_READ | EV_WRITE);
        server->streams_.insert(stream);
        ++server->connections_;
    }
    static void onRead(bufferevent* stream, void* self) {
        auto* server = static_cast<RawServer*>(self);
        auto* input = bufferevent_get_input(stream);
        if (evbuffer_search(input, "\r\n\r\n", 4, nullptr).pos < 0) {
            return;
        }
        evbuffer_drain(input, evbuffer_get_length(input));
        ++server->requests_;
        if (server->response_.empty()) {
            server->closeConnection(stream);
            return;
        }
        bufferevent_write(stream, server->response_.data(), server->response_.size());
    }
    static void onWritten(bufferevent* stream, void* self) {
        auto* server = static_cast<RawServer*>(self);
        if (server->close_after_response_ && server->requests_ > 0) {
            server->closeConnection(stream);
        }
    }
    void closeConnection(bufferevent* stream) {
        streams_.erase(stream);
        bufferevent_free(stream);
    }

    adapters::EventLoop& loop_;
    std::string response_;
    bool close_after_response_;
    evconnlistener* listener_;
    std::string address_;
    int requests_ = 0;
    int connections_ = 0;
    std::set<bufferevent*> streams_;
};

}  // namespace dewcrank::tests
