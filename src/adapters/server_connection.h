/// @file
/// One client connection of an HttpServer.
#pragma once

#include <deque>
#include <memory>
#include <optional>

#include "src/adapters/http_server.h"
#include "src/adapters/socket_stream.h"

namespace dewcrank::adapters {

/// Parses requests, passes them to the handler of the server and writes the responses in request order. When the
/// connection closes, it deregisters at the server, which destroys it.
class ServerConnection : private SocketStream::Listener {
public:
    ServerConnection(HttpServer& server, evutil_socket_t descriptor, const sockaddr_in& peer);
    ~ServerConnection() override = default;
    ServerConnection(const ServerConnection&) = delete;
    ServerConnection& operator=(const ServerConnection&) = delete;

    /// Called when an exchange has its response: writes the responses at the head of the queue.
    void onReplied();
    /// Applies the limits and timeouts of the server to the next request, and to the time until it comes.
    void onLimitsChanged();
    /// @return true if no request waits for its response, and the client's host has all responses. False if it has gone
    /// silent, until the connection times out.
    [[nodiscard]] bool isIdle() const;
    /// Takes one more request if it has arrived, and none after it. Closes once the client's host has the responses to
    /// those that were taken.
    void closeWhenIdle();
    /// Closes at once, reports the responses that this cuts, and runs the disconnect callbacks of pending exchanges.
    /// The loop destroys this object later.
    void close(CutReason reason);

private:
    std::size_t onBytes(std::string_view bytes) override;
    void onWritten() override;
    void onClosed(CloseReason reason) override;
    [[nodiscard]] bool closesAfterResponse() const;
    /// @return whether the next bytes may be a request that is taken.
    bool readsRequests();
    /// Drops a request that was read in part, and discards all further bytes.
    void stopReading();
    /// Passes the parsed request to the handler.
    void onRequest();
    void sendContinueIfExpected();
    /// Rejects a request that the parser did not accept.
    void rejectUnparsed(HttpMessageParser::State state);
    /// Stops reading; after the pending responses it sends a response with this status and closes.
    void reject(int status);
    /// A response that was written, until it is known that the client's host has it.
    struct SentResponse {
        std::string request_id;
        std::uint64_t end = 0;  ///< Position in the output at which it ends.
        std::uint64_t size = 0;
    };
    /// Reports each response that is due, or not completely acknowledged.
    void reportCuts(const std::deque<std::shared_ptr<ServerExchange>>& pending, CutReason reason);
    /// @return the number of bytes of the output that the client's host has acknowledged.
    [[nodiscard]] std::uint64_t acknowledgedBytes() const;
    void write(std::string_view head, std::string_view body);
    /// Takes the id of the request from the exchange.
    void writeResponse(ServerExchange* exchange, bool close_connection);
    /// Shuts down the sending side once all output is written, if the connection is to close.
    void shutdownIfWritten();
    /// Sets `deadline_` for the current state: reading a head, idle, closing, or waiting for the handler.
    void updateDeadline();
    void startTimer();
    void onTimer();

    HttpServer& server_;
    SocketStream stream_;
    sockaddr_in peer_;  ///< Kept, since a socket that was reset no longer tells it.
    HttpMessageParser parser_;
    std::deque<std::shared_ptr<ServerExchange>> pending_;  ///< Requests without a written response, oldest first.
    std::deque<SentResponse> sent_;      ///< The last ones of requests with an id, if the server reports cuts.
    std::uint64_t written_bytes_ = 0;    ///< Output since the connection was accepted.
    std::optional<TimePoint> deadline_;  ///< When the connection times out; unset while a response is due or sent.
    TimePoint timer_expiry_{};           ///< When `timer_` fires: not later than `deadline_`.
    TimerHandle timer_;
    TimerHandle redeliver_timer_;  ///< Parses or discards unconsumed bytes when a response was written.
    bool is_head_timed_ = false;   ///< `deadline_` is the header timeout of the current request.
    bool continue_sent_ = false;   ///< "100 Continue" was sent for the current request.
    bool is_closed_ = false;
    bool is_reading_done_ = false;       ///< No further request is read; received bytes are discarded.
    bool close_after_response_ = false;  ///< As that of the server, for this connection.
    bool close_after_write_ = false;     ///< The last response was queued.
    int pending_error_status_ = 0;       ///< Status of the response to a rejected request; 0: none.
};

}  // namespace dewcrank::adapters
