/// @file
/// One connection of an HttpClient.
#pragma once

#include <functional>
#include <string>

#include "src/adapters/http_client.h"
#include "src/adapters/socket_stream.h"

namespace dewcrank::adapters {

/// Connection to one address that carries one request at a time and parses the response.
class ClientConnection : private SocketStream::Listener, private BufferBudget::Reader {
public:
    /// Receives the events of a connection. After onResponse or onFailed the listener is detached.
    class Listener {
    public:
        virtual ~Listener() = default;
        virtual void onConnected() = 0;
        virtual void onResponse(HttpResponse response) = 0;
        /// The connection closed, or received data that makes it unusable. @param reason as in AttemptResult::reason.
        virtual void onFailed(const std::string& reason) = 0;
    };

    ClientConnection(HttpClient& client, std::string address);
    ~ClientConnection() override;
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    /// Starts to connect. @return false if the address is invalid or no socket can be created.
    bool connect();
    [[nodiscard]] const std::string& address() const { return address_; }
    [[nodiscard]] bool isConnected() const { return is_connected_; }
    /// Sets the receiver of events. While it is null the connection is idle, and its client handles a close.
    void setListener(Listener* listener) { listener_ = listener; }
    /// Sends one request and prepares the parser for its response.
    void write(const HttpRequest& request);
    /// @return true if the peer's host is known to have acknowledged no byte of the request written last.
    [[nodiscard]] bool isRequestUnacknowledged() const { return stream_.unacknowledgedBytes() >= request_bytes_; }
    /// Valid after onResponse. @return true if another request may be sent on this connection.
    [[nodiscard]] bool isReusable() const;
    /// Records the start of an idle period.
    void markIdle(TimePoint now) { idle_since_ = now; }
    /// @return false if the connection was idle for too long to be reused: the peer may be closing it.
    [[nodiscard]] bool isWithinIdleTime(TimePoint now) const { return idleTime(now) < max_idle_time_; }
    [[nodiscard]] Duration idleTime(TimePoint now) const { return now - idle_since_; }

private:
    void onConnected() override;
    std::size_t onBytes(std::string_view bytes) override;
    void onClosed(CloseReason reason) override;
    void setPaused(bool is_paused) override { stream_.setPaused(is_paused); }
    /// Reports the bytes of an incomplete response to the budget.
    void setHeldBytes(std::size_t bytes);
    /// Passes the parsed response to the listener, or discards it if it belongs to an earlier request.
    void completeResponse();
    /// @return true if the echoed header of the response differs from that of the request.
    [[nodiscard]] bool belongsToEarlierRequest(const HttpResponse& response) const;
    /// Marks the connection unusable and reports this to the listener, or to the client if there is none.
    void fail(const std::string& reason);

    HttpClient& client_;
    std::string address_;
    SocketStream stream_;
    HttpMessageParser parser_;
    Listener* listener_ = nullptr;
    bool is_connected_ = false;
    bool has_failed_ = false;
    bool keep_alive_ = false;
    bool has_unexpected_data_ = false;  ///< Received bytes that belong to no open request.
    bool expects_no_body_ = false;
    std::size_t request_bytes_ = 0;  ///< Size of the request written last.
    std::string expected_echo_;      ///< Value of the echoed header in the current request; empty: not checked.
    TimePoint idle_since_{};
    Duration max_idle_time_{};  ///< From the options, or shorter if the peer announced so.
};

}  // namespace dewcrank::adapters
