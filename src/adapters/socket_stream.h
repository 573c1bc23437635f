/// @file
/// One TCP connection with its buffers, on libevent's events and evbuffers.
///
/// Unlike a bufferevent it writes to the socket at once and waits for the socket only if that did
/// not take all, and it does not ask how much there is to read before it reads. Of the eight system
/// calls that a message in and a message out cost with bufferevents, three are left
/// (docs/adr/0012).
#pragma once

#include <event2/event.h>
#include <event2/event_struct.h>

#include <cstddef>
#include <string_view>

#include "src/adapters/event_loop.h"

struct evbuffer;

namespace dewcrank::adapters {

/// How a stream has ended.
enum class StreamEnd {
    kClosed,   ///< The peer has closed its side, after all that was read.
    kBroken,   ///< Reset, not connected, or a failure of the socket.
    kStalled,  ///< The peer took nothing for the write timeout.
};

/// Owns a socket. Its listener is called from the loop only, never from inside a call to the
/// stream, and may not destroy the stream before it returns.
class SocketStream {
public:
    class Listener {
    public:
        virtual ~Listener() = default;
        virtual void onConnected() {}             ///< After `connect`; not for accepted sockets.
        virtual void onReadable() = 0;            ///< There are new bytes in `input`.
        virtual void onWritten() {}               ///< The last byte of `output` has gone, later than in `write`.
        virtual void onEnded(StreamEnd end) = 0;  ///< Once; nothing follows it.
    };

    SocketStream(EventLoop& loop, Listener& listener) : loop_(loop), listener_(listener) {}
    ~SocketStream();
    SocketStream(const SocketStream&) = delete;
    SocketStream& operator=(const SocketStream&) = delete;

    // Begin
    bool connect(const sockaddr* address,
                 unsigned length);            ///< @return false if no socket is to be had, or it fails at once.
    void accept(evutil_socket_t descriptor);  ///< Takes a connected socket over.
    void setReadAhead(std::size_t bytes) { read_ahead_ = bytes; }  ///< Stops reading at so many in `input`. 0: never.
    void setWriteTimeout(Duration timeout) { write_timeout_ = timeout; }

    // Use
    [[nodiscard]] std::string_view front() const;              ///< Some of the bytes that were read and not consumed.
    void consume(std::size_t bytes);                           ///< Drops bytes from the front.
    void write(std::string_view head, std::string_view body);  ///< Sends both, or keeps what the socket does not take.
    void closeWriting();                                       ///< Nothing follows; the peer sees the end.
    void stop();                                               ///< No further calls of the listener.

    [[nodiscard]] std::size_t unread() const;     ///< Bytes read and not consumed.
    [[nodiscard]] std::size_t unwritten() const;  ///< Bytes that the socket has not taken yet.

private:
    void open(evutil_socket_t descriptor);
    void watchWriting();
    std::size_t sendNow(std::string_view head, std::string_view body) const;
    void read();
    void flush();
    void finishConnecting();
    void end(StreamEnd how);
    static void onSocketReadable(evutil_socket_t descriptor, short what, void* self);
    static void onSocketWritable(evutil_socket_t descriptor, short what, void* self);

    EventLoop& loop_;
    Listener& listener_;
    evutil_socket_t descriptor_ = -1;
    evbuffer* input_ = nullptr;  ///< Both exist as long as the socket does.
    evbuffer* output_ = nullptr;
    event readable_{};  ///< Pending while read_ahead_ is not reached.
    event writable_{};  ///< Pending while connecting, or while output_ holds bytes.
    std::size_t read_ahead_ = 0;
    Duration write_timeout_{};  ///< 0: none.
    bool is_connecting_ = false;
    bool has_ended_ = false;
};

}  // namespace dewcrank::adapters
