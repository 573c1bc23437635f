/// @file
/// HTTP requests to back ends, other nodes and the platform, on libevent's buffered streams.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/adapters/event_loop.h"
#include "src/adapters/http_parser.h"
#include "src/ports/back_end_port.h"

namespace dewcrank::adapters {

class ClientConnection;

/// What a client takes as an answer, and how many connections it keeps.
struct ClientOptions {
    /// Take an answer that is delimited by the clean end of its connection as whole. A reset
    /// always spoils it.
    bool accepts_close_delimited = false;
    std::size_t max_idle_per_address = 64;
    /// Idle connections are not used again after this time, or the peer's own if that is less.
    Duration max_idle_time = kLongestIdle;
    /// Header that an answer echoes from its request. An answer with another value belongs to
    /// an earlier request: it is dropped, and the next one is awaited. Empty: not checked.
    std::string echoed_header;
};

/// Sends each request once on a connection of its own for that time; idle connections are
/// kept and used again.
///
/// A request counts as not sent only if nothing of it was handed to a connected socket. An
/// answer counts as whole only if its end is marked: by length, by chunks, because its status
/// has no body, or (if the options say so) by the clean end of the connection. Bytes that come
/// on an idle connection, or behind an answer, end that connection.
class HttpClient : public BackEndPort {
public:
    HttpClient(EventLoop& loop, HttpLimits limits, ClientOptions options = {});
    ~HttpClient() override;

    [[nodiscard]] AttemptHandle send(const std::string& address, HttpRequest request, Duration timeout,
                                     Callback callback) override;
    [[nodiscard]] std::size_t openConnections() const { return open_connections_; }
    /// Connections that were ever begun.
    [[nodiscard]] std::uint64_t totalConnections() const { return total_connections_; }

private:
    friend class ClientConnection;
    class Exchange;
    friend class Exchange;

    std::unique_ptr<ClientConnection> takeConnection(const std::string& address);
    void keepConnection(std::unique_ptr<ClientConnection> connection);
    void onIdleClosed(ClientConnection* connection);
    void destroyLater(std::unique_ptr<ClientConnection> connection);

    EventLoop& loop_;
    HttpLimits limits_;
    ClientOptions options_;
    std::map<std::string, std::vector<std::unique_ptr<ClientConnection>>> idle_;
    std::vector<std::unique_ptr<ClientConnection>> to_destroy_;
    TimerHandle destroy_timer_;
    std::size_t open_connections_ = 0;
    std::uint64_t total_connections_ = 0;
};

}  // namespace dewcrank::adapters
