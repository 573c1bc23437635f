/// @file
/// An HTTP listener on libevent's buffered streams. docs/adr/0010 says why not evhttp.
#pragma once

#include <event2/event.h>
#include <event2/listener.h>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "src/adapters/event_loop.h"
#include "src/adapters/http_parser.h"
#include "src/adapters/socket_address.h"
#include "src/base/error.h"
#include "src/base/http_message.h"

namespace dewcrank::adapters {

class ServerConnection;

/// One request at the listener that waits for its answer.
///
/// `reply` may be called once; later calls are ignored, as is one after the caller has left.
class ServerExchange : public std::enable_shared_from_this<ServerExchange> {
public:
    ServerExchange(ServerConnection* connection, std::string method, bool keep_alive);
    ServerExchange(const ServerExchange&) = delete;
    ServerExchange& operator=(const ServerExchange&) = delete;

    void reply(HttpAnswer response);
    /// Calls back once if the caller closes its connection before the answer.
    void onClientDisconnected(std::function<void()> callback);
    /// Closes the connection without any answer, as a failing server would.
    void abort();

private:
    friend class ServerConnection;
    ServerConnection* connection_;  ///< Null once answered or closed.
    std::string method_;
    bool keep_alive_;
    bool is_replied_ = false;
    HttpAnswer response_;
    std::function<void()> on_client_disconnected_;
};

/// How long a caller may take.
struct ServerTimeouts {
    Duration header = 10s;  ///< From the first byte of a request to the end of its head.
    Duration idle = 60s;    ///< Between requests; also between two reads of a body.
};

/// Listens on one address and hands on whole requests.
///
/// Requests that come behind an unanswered one are handed on at once, and answered in their
/// order. Malformed or ambiguously framed requests get 400 and the connection is closed, too
/// large ones 413, unknown methods 501. A caller slower than the time-outs is closed.
class HttpServer {
public:
    using Handler = std::function<void(HttpRequest, std::shared_ptr<ServerExchange>)>;

    HttpServer(EventLoop& loop, HttpLimits limits, Duration client_timeout, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Starts to listen. Port 0 takes a free one. @return the address in use.
    Result<SocketAddress> listen(const SocketAddress& address);
    /// Applies to requests and connections that begin from now on.
    void setLimits(HttpLimits limits, ServerTimeouts timeouts);
    /// Closes each open connection after its next answer; further ones are still accepted.
    void closeAfterResponses() { close_after_response_ = true; }
    /// Closes the connections on which no request waits for its answer; what they have sent
    /// since is not read.
    void closeIdleConnections();
    /// Takes no further connections, and closes each open one after its next answer.
    void stopAccepting();
    [[nodiscard]] std::size_t openConnections() const { return connections_.size(); }

private:
    friend class ServerConnection;
    static void onAccept(evconnlistener* listener, evutil_socket_t descriptor, sockaddr* address, int length,
                         void* self);

    /// Destroys a closed connection from the loop: it may still be on the stack.
    void destroyLater(ServerConnection* connection);

    EventLoop& loop_;
    HttpLimits limits_;
    ServerTimeouts timeouts_;
    Handler handler_;
    evconnlistener* listener_ = nullptr;
    bool close_after_response_ = false;
    std::set<ServerConnection*> connections_;
    std::vector<std::unique_ptr<ServerConnection>> to_destroy_;
    TimerHandle destroy_timer_;
};

}  // namespace dewcrank::adapters
