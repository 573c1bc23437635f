/// @file
/// HTTP/1.1 client with a connection pool, used for requests to instances, other nodes and the platform.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/adapters/buffer_budget.h"
#include "src/adapters/event_loop.h"
#include "src/adapters/http_parser.h"
#include "src/ports/http_transport.h"

namespace dewcrank::adapters {

class ClientConnection;

/// Options of a client: accepted responses and connection pooling.
struct ClientOptions {
    /// Accept a response without a length that ends when the peer closes the connection. After a reset such a
    /// response is always incomplete.
    bool accepts_close_delimited = false;
    std::size_t max_idle_per_address = 64;  ///< Idle connections kept for each address.
    /// An idle connection is not reused after this time, or after a shorter one that the peer announces in Keep-Alive.
    Duration max_idle_time = kMaxIdleTime;
    /// Name of a header that the peer echoes from each request. A response with another value belongs to an earlier
    /// request: the client discards it and waits for the next one. Empty: not checked.
    std::string echoed_header;
    /// Bounds the incomplete responses of this client, with those of others that share it; null: no bound. Outlives it.
    BufferBudget* budget = nullptr;
};

/// Sends each request once, without retries. A connection carries one request at a time and is pooled afterwards.
///
/// A request counts as not sent only if no byte of it was passed to a connected socket. A response is complete only if
/// its end is explicit: a length, the last chunk, a status without a body or, if the options allow it, an orderly
/// close. The client closes a connection that receives bytes while idle or after the end of a response.
class HttpClient : public HttpTransport {
public:
    HttpClient(EventLoop& loop, HttpLimits limits, ClientOptions options = {});
    ~HttpClient() override;

    [[nodiscard]] AttemptHandle send(const std::string& address, HttpRequest request, Duration timeout,
                                     Callback callback) override;
    [[nodiscard]] AttemptHandle sendOnNewConnection(const std::string& address, HttpRequest request, Duration timeout,
                                                    Callback callback) override;
    [[nodiscard]] std::optional<Duration> idleTime(const std::string& address) const override;
    void closeIdleConnections(const std::string& address, Duration min_idle_time) override;
    /// Number of connections that exist now, idle ones included.
    [[nodiscard]] std::size_t openConnections() const { return open_connections_; }
    /// Number of connections opened since construction, failed attempts included.
    [[nodiscard]] std::uint64_t totalConnections() const { return total_connections_; }

private:
    friend class ClientConnection;
    class Exchange;
    friend class Exchange;

    /// @return a reusable idle connection to the address, or a new one that is not connected.
    std::unique_ptr<ClientConnection> takeConnection(const std::string& address);
    /// Returns a connection to the pool, or closes it if the pool of its address is full.
    void keepConnection(std::unique_ptr<ClientConnection> connection);
    /// Removes an idle connection that was closed or is unusable from the pool.
    void onIdleClosed(ClientConnection* connection);
    /// Destroys a connection from the loop, since its methods may still be on the call stack.
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
