/// @file
/// HTTP/1.1 server on SocketStream. docs/adr/0010 explains why it does not use evhttp.
#pragma once

#include <event2/event.h>
#include <event2/listener.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/adapters/event_loop.h"
#include "src/adapters/http_parser.h"
#include "src/adapters/response_cut.h"
#include "src/adapters/socket_address.h"
#include "src/base/error.h"
#include "src/base/http_message.h"

namespace dewcrank::adapters {

class ServerConnection;

/// One request that waits for its response.
///
/// Only the first call of `reply` has an effect, and none after the client has disconnected.
class ServerExchange : public std::enable_shared_from_this<ServerExchange> {
public:
    /// @param request_id reported if the response is cut; empty: a cut is not reported.
    ServerExchange(ServerConnection* connection, std::string method, std::string request_id, bool keep_alive);
    ServerExchange(const ServerExchange&) = delete;
    ServerExchange& operator=(const ServerExchange&) = delete;

    /// Sends the response, after the responses to earlier requests of the same connection.
    void reply(HttpResponse response);
    /// Sets a callback that runs once if the connection closes before `reply`.
    void onClientDisconnected(std::function<void()> callback);
    /// Closes the connection without a response, as a crashed server would.
    void abort();

private:
    friend class ServerConnection;
    ServerConnection* connection_;  ///< Null once the response is written or the connection is closed.
    std::string method_;
    std::string request_id_;
    bool keep_alive_;
    bool is_replied_ = false;
    HttpResponse response_;
    std::function<void()> on_client_disconnected_;
};

/// Timeouts of a connection. The server closes a connection that exceeds one.
struct ServerTimeouts {
    Duration header = 10s;  ///< From the first byte of a request to the end of its header fields.
    Duration idle = 60s;    ///< Between two requests, and between two reads of a body.
};

/// Listens on one address and passes complete requests to a handler.
///
/// Pipelined requests are passed on at once, and their responses are sent in request order. The server responds with
/// 400 to a malformed or ambiguously framed request, with 413 to a body over the limit and with 501 to an unknown
/// method; each of these closes the connection.
class HttpServer {
public:
    using Handler = std::function<void(HttpRequest, std::shared_ptr<ServerExchange>)>;

    /// @param client_timeout initial value of both ServerTimeouts.
    /// @param handler receives each complete request; it may call `reply` at once or later.
    HttpServer(EventLoop& loop, HttpLimits limits, Duration client_timeout, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Starts to listen; port 0 selects a free port. @return the bound address, or the error.
    Result<SocketAddress> listen(const SocketAddress& address);
    /// Sets the size limits and timeouts of all requests that begin from now on, and of the times until they come, on
    /// open connections too. A request that has begun keeps its own.
    void setLimits(HttpLimits limits, ServerTimeouts timeouts);
    /// Reports the responses that clients do not receive, of requests with an id.
    /// @param request_id_header name of the header with the id.
    void observeCuts(std::string request_id_header, ResponseCutObserver observer);
    /// Closes all connections, as the destructor does. @param reason reported for the responses that this cuts.
    void closeAll(CutReason reason);
    /// Closes each connection after its next response, or after the last one if requests are pipelined; a request
    /// behind a pending one is not taken any more. New connections are still accepted.
    void closeAfterResponses() { close_after_response_ = true; }
    /// Closes the connections without a pending response, apart from those whose next request has arrived: these are
    /// given a response first. The others take no further request, and close once their clients have the pending
    /// responses.
    void closeIdleConnections();
    /// As closeAfterResponses(). From now on hasDeliveredAll() covers only the connections that are not idle yet:
    /// clients that go on sending requests, each on a new connection, would hold up a stop up to its limit.
    void closeAfterPresentResponses();
    /// @return true if no request waits for its response, and the hosts of all clients have received what was sent.
    [[nodiscard]] bool hasDeliveredAll() const;
    /// Stops listening, and closes each open connection like `closeAfterResponses`. Connections that wait to be
    /// accepted are accepted first, since the end of the listener would reset them.
    void stopAccepting();
    [[nodiscard]] std::size_t openConnections() const { return connections_.size(); }

private:
    friend class ServerConnection;
    static void onAccept(evconnlistener* listener, evutil_socket_t descriptor, sockaddr* address, int length,
                         void* self);

    /// Accepts the connections that are waiting.
    void acceptWaiting();
    /// Destroys a closed connection from the loop, since its methods may still be on the call stack.
    void destroyLater(ServerConnection* connection);

    EventLoop& loop_;
    HttpLimits limits_;
    ServerTimeouts timeouts_;
    Handler handler_;
    std::string request_id_header_;
    ResponseCutObserver cut_observer_;  ///< Null: cuts are not reported.
    evconnlistener* listener_ = nullptr;
    bool close_after_response_ = false;
    std::set<ServerConnection*> connections_;
    std::optional<std::set<ServerConnection*>> present_;  ///< Connections that hasDeliveredAll() covers; none: all.
    std::vector<std::unique_ptr<ServerConnection>> to_destroy_;
    TimerHandle destroy_timer_;
};

}  // namespace dewcrank::adapters
