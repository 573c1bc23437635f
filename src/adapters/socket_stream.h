/// @file
/// One TCP connection with its buffers, on libevent's events.
///
/// Unlike a bufferevent it writes to the socket at once and waits for the socket only if that did
/// not take all; it does not ask how much there is to read before it reads; and it hands on what it
/// reads without a copy. Of the eight system calls that a message in and a message out cost with
/// bufferevents, three are left (docs/adr/0012).
#pragma once

#include <event2/event.h>
#include <event2/event_struct.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "src/adapters/event_loop.h"

namespace dewcrank::adapters {

/// How a stream has ended.
enum class CloseReason {
    kEndOfStream,   ///< The peer has closed its side, after all that was read.
    kError,         ///< Reset, not connected, or a failure of the socket.
    kWriteTimeout,  ///< The peer took nothing for the write timeout.
};

/// Owns a socket. Its listener is called from the loop only, never from inside a call to the
/// stream, and may not destroy the stream before it returns.
class SocketStream {
public:
    class Listener {
    public:
        virtual ~Listener() = default;
        /// After `connect`; not for accepted sockets.
        virtual void onConnected() {}
        /// Bytes have been read; those that were not taken before come first.
        /// @return how many are taken; the rest is kept for the next time.
        virtual std::size_t onBytes(std::string_view bytes) = 0;
        /// The last byte that had to wait has been written. Not called if `write` could send all.
        virtual void onWritten() {}
        /// Called once; nothing follows it.
        virtual void onClosed(CloseReason reason) = 0;
    };

    SocketStream(EventLoop& loop, Listener& listener) : loop_(loop), listener_(listener) {}
    ~SocketStream();
    SocketStream(const SocketStream&) = delete;
    SocketStream& operator=(const SocketStream&) = delete;

    // Begin

    /// @return false if no socket is to be had, or connecting fails at once.
    bool connect(const sockaddr* address, unsigned length);
    /// Takes a connected socket over.
    void accept(evutil_socket_t descriptor);
    /// Stops reading while so many bytes have not been taken. 0: never.
    void setReadAhead(std::size_t bytes) { read_ahead_ = bytes; }
    /// Zero: none.
    void setWriteTimeout(Duration timeout) { write_timeout_ = timeout; }

    // Use

    /// Sends both parts, and keeps what the socket does not take.
    void write(std::string_view head, std::string_view body);
    /// Hands on again, now, what was read and not taken.
    void redeliver();
    /// Nothing more is written: the peer sees the end.
    void closeWriting();
    /// The listener is not called any more.
    void stop();
    [[nodiscard]] std::size_t unconsumedBytes() const { return input_.size(); }
    [[nodiscard]] std::size_t unsentBytes() const { return output_.size() - sent_; }

private:
    void initSocket(evutil_socket_t descriptor);
    void finishConnecting();
    void read();
    void deliver(std::string_view bytes);
    void updateReadEvent();
    [[nodiscard]] std::size_t send(std::string_view head, std::string_view body) const;
    void startWriteEvent();
    void flush();
    void fail(CloseReason reason);
    static void onSocketReadable(evutil_socket_t descriptor, short what, void* self);
    static void onSocketWritable(evutil_socket_t descriptor, short what, void* self);

    EventLoop& loop_;
    Listener& listener_;
    evutil_socket_t descriptor_ = -1;
    std::string input_;     ///< Read and not taken.
    std::string output_;    ///< To be written, from `written_` on; empty when all is written.
    std::size_t sent_ = 0;  ///< At most the size of `output_`.
    event readable_{};      ///< Pending while `read_ahead_` is not reached.
    event writable_{};      ///< Pending while connecting, or while there is output.
    std::size_t read_ahead_ = 0;
    Duration write_timeout_{};
    bool is_connecting_ = false;
    bool is_stopped_ = false;
};

}  // namespace dewcrank::adapters
