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
    void onAnswered();
    /// True if no request waits for its answer and no answer is being written.
    [[nodiscard]] bool isIdle() const;
    /// Closes at once; callers of open exchanges count as left. Destroyed later by the loop.
    void close();

private:
    std::size_t onBytes(std::string_view bytes) override;
    void onWritten() override { finishWriting(); }
    void onEnded(StreamEnd) override { close(); }
    void onRequest();
    void sendContinueIfExpected();
    void refuse(HttpMessageParser::State state);
    void refuseWith(int status);
    void writeAnswer(const ServerExchange& exchange, bool closes);
    void finishWriting();
    void armTimeout();
    void startTimeout();
    void onTimeout();

    HttpServer& server_;
    SocketStream stream_;
    HttpMessageParser parser_;
    std::deque<std::shared_ptr<ServerExchange>> open_;
    std::optional<TimePoint> closes_at_;  ///< Nothing while an answer is due.
    TimePoint timeout_at_{};              ///< When the timer runs out: never after closes_at_.
    TimerHandle timeout_;
    TimerHandle offer_timer_;
    bool head_timer_runs_ = false;
    bool continue_sent_ = false;
    bool is_closed_ = false;
    bool takes_no_more_ = false;  ///< No further request is read from this connection.
    bool closes_when_written_ = false;
    int pending_refusal_ = 0;  ///< Status for a request that could not be read.
};

}  // namespace dewcrank::adapters
