/// @file
/// Buffered TCP connection on libevent events.
///
/// It needs fewer system calls than a bufferevent: it writes to the socket at once and waits for the socket only if
/// data is left, it reads without a query for the available size, and it passes input on without a copy
/// (docs/adr/0012).
#pragma once

#include <event2/event.h>
#include <event2/event_struct.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "src/adapters/event_loop.h"

namespace dewcrank::adapters {

/// Why a stream was closed.
enum class CloseReason {
    kEndOfStream,   ///< The peer closed its sending side; all its data was read.
    kError,         ///< Connection reset, connect failure or other socket error.
    kWriteTimeout,  ///< The peer accepted no data for the write timeout.
};

/// Owns a socket and its buffers. Listener callbacks run from the loop, and never inside a call to the stream other
/// than `redeliver` and `readArrived`. They must not destroy the stream.
class SocketStream {
public:
    /// Receives the events of a stream.
    class Listener {
    public:
        virtual ~Listener() = default;
        /// Called when `connect` succeeds; not for accepted sockets.
        virtual void onConnected() {}
        /// Called with received bytes; bytes not consumed by earlier calls come first.
        /// @return number of bytes consumed; the stream keeps the rest for the next call.
        virtual std::size_t onBytes(std::string_view bytes) = 0;
        /// Called when all buffered output is written. Not called if `write` could send everything at once.
        virtual void onWritten() {}
        /// Called once, as the last callback.
        virtual void onClosed(CloseReason reason) = 0;
    };

    SocketStream(EventLoop& loop, Listener& listener) : loop_(loop), listener_(listener) {}
    ~SocketStream();
    SocketStream(const SocketStream&) = delete;
    SocketStream& operator=(const SocketStream&) = delete;

    // Setup

    /// Starts to connect. @return false if no socket can be created or connecting fails at once.
    bool connect(const sockaddr* address, unsigned length);
    /// Takes ownership of a connected socket.
    void accept(evutil_socket_t descriptor);
    /// Pauses reading while at least this many bytes are unconsumed (backpressure). 0: no limit.
    void setReadAhead(std::size_t bytes) { read_ahead_ = bytes; }
    /// Stops reading whatever has arrived (backpressure), or goes on. A close by the peer shows only when it goes on.
    void setPaused(bool is_paused);
    /// Closes the stream if the peer accepts no data for this time. Zero: no timeout.
    void setWriteTimeout(Duration timeout) { write_timeout_ = timeout; }

    // Input and output

    /// Sends both parts, and buffers what the socket does not accept.
    void write(std::string_view head, std::string_view body);
    /// Passes the unconsumed bytes to the listener again, inside this call.
    void redeliver();
    /// Reads once what has arrived, without waiting for the loop; callbacks to the listener run inside this call.
    /// @return whether bytes were read.
    bool readArrived();
    /// Shuts down the sending side of the socket.
    void closeWriting();
    /// Stops all callbacks to the listener. The socket stays open until destruction.
    void stop();
    /// Received bytes that the listener has not consumed.
    [[nodiscard]] std::size_t unconsumedBytes() const { return input_.size(); }
    /// Output that the peer's host has not acknowledged; 0 if that is not known.
    [[nodiscard]] std::size_t unacknowledgedBytes() const;
    /// Buffered output that the socket has not accepted.
    [[nodiscard]] std::size_t unsentBytes() const { return output_.size() - sent_; }

private:
    /// Sets the options and events of a new socket.
    void initSocket(evutil_socket_t descriptor);
    void finishConnecting();
    /// @return whether bytes were read.
    bool read();
    /// Passes bytes to the listener and keeps those that it does not consume.
    void deliver(std::string_view bytes);
    /// Pauses or resumes reading, according to `read_ahead_`.
    void updateReadEvent();
    [[nodiscard]] std::size_t send(std::string_view head, std::string_view body) const;
    /// Waits until the socket is writable, for the write timeout at most.
    void startWriteEvent();
    /// Sends buffered output.
    void flush();
    /// Stops the stream and reports the reason to the listener.
    void notifyClosed(CloseReason reason);
    static void onSocketReadable(evutil_socket_t descriptor, short what, void* self);
    static void onSocketWritable(evutil_socket_t descriptor, short what, void* self);

    EventLoop& loop_;
    Listener& listener_;
    evutil_socket_t descriptor_ = -1;
    std::string input_;     ///< Received bytes that are not consumed.
    std::string output_;    ///< Output to send, starting at `sent_`; empty when everything is sent.
    std::size_t sent_ = 0;  ///< At most the size of `output_`.
    event readable_{};      ///< Pending unless paused, or `read_ahead_` is reached.
    event writable_{};      ///< Pending while connecting or while output is buffered.
    std::size_t read_ahead_ = 0;
    Duration write_timeout_{};
    bool is_paused_ = false;
    bool is_connecting_ = false;
    bool is_stopped_ = false;
};

}  // namespace dewcrank::adapters
