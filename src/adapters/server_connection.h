/// @file
/// One caller's connection at an HTTP listener.
#pragma once

#include <deque>
#include <memory>
#include <optional>

#include "src/adapters/http_server.h"
#include "src/adapters/socket_stream.h"

namespace dewcrank::adapters {

/// Reads requests, hands them on and writes their answers in order. Destroys itself when the
/// connection ends.
class ServerConnection : private SocketStream::Listener {
public:
    ServerConnection(HttpServer& server, evutil_socket_t descriptor);
    ~ServerConnection() override = default;
    ServerConnection(const ServerConnection&) = delete;
    ServerConnection& operator=(const ServerConnection&) = delete;

    /// An exchange has its answer: writes all answers that are due.
    void onReplied();
    /// True if no request waits for its answer and no answer is being written.
    [[nodiscard]] bool isIdle() const;
    /// Closes at once; callers of open exchanges count as left. Destroyed later by the loop.
    void close();

private:
    std::size_t onBytes(std::string_view bytes) override;
    void onWritten() override { shutdownIfWritten(); }
    void onClosed(CloseReason) override { close(); }
    void onRequest();
    void sendContinueIfExpected();
    void rejectUnparsed(HttpMessageParser::State state);
    void reject(int status);
    void writeResponse(const ServerExchange& exchange, bool close_connection);
    void shutdownIfWritten();
    void updateDeadline();
    void startTimer();
    void onTimer();

    HttpServer& server_;
    SocketStream stream_;
    HttpMessageParser parser_;
    std::deque<std::shared_ptr<ServerExchange>> pending_;
    std::optional<TimePoint> deadline_;  ///< Nothing while an answer is due.
    TimePoint timer_expiry_{};           ///< When the timer runs out: never after closes_at_.
    TimerHandle timer_;
    TimerHandle redeliver_timer_;
    bool is_head_timed_ = false;
    bool continue_sent_ = false;
    bool is_closed_ = false;
    bool is_reading_done_ = false;  ///< No further request is read from this connection.
    bool close_after_write_ = false;
    int pending_error_status_ = 0;  ///< Status for a request that could not be read.
};

}  // namespace dewcrank::adapters
