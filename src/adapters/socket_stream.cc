#include "src/adapters/socket_stream.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace dewcrank::adapters {

namespace {

/// Maximum size of one read. All streams share the buffer, since the loop has one thread.
constexpr std::size_t kReadChunk = std::size_t{16} * 1024;
/// Time without an acknowledgement after which the kernel closes the connection (TCP_USER_TIMEOUT).
constexpr std::chrono::milliseconds kUnacknowledgedTimeout{5000};

bool isTransient(int error) {
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

void setTcpOption(evutil_socket_t descriptor, int option, int value) {
    setsockopt(descriptor, IPPROTO_TCP, option, &value, sizeof value);
}

}  // namespace

SocketStream::~SocketStream() {
    if (descriptor_ < 0) {
        return;
    }
    stop();
    evutil_closesocket(descriptor_);
}

// Setup ----------------------------------------------------------------------

void SocketStream::initSocket(evutil_socket_t descriptor) {
    descriptor_ = descriptor;
    setTcpOption(descriptor, TCP_NODELAY, 1);
    setTcpOption(descriptor, TCP_USER_TIMEOUT, static_cast<int>(kUnacknowledgedTimeout.count()));
    event_assign(&readable_, loop_.base(), descriptor, EV_READ | EV_PERSIST, &SocketStream::onSocketReadable, this);
    event_assign(&writable_, loop_.base(), descriptor, EV_WRITE | EV_PERSIST, &SocketStream::onSocketWritable, this);
}

void SocketStream::accept(evutil_socket_t descriptor) {
    initSocket(descriptor);
    event_add(&readable_, nullptr);
}

bool SocketStream::connect(const sockaddr* address, unsigned length) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return false;
    }
    initSocket(descriptor);
    if (::connect(descriptor, address, length) != 0 && errno != EINPROGRESS) {
        return false;
    }
    is_connecting_ = true;
    startWriteEvent();
    return true;
}

void SocketStream::finishConnecting() {
    int error = 0;
    socklen_t length = sizeof error;
    getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) {
        notifyClosed(CloseReason::kError);
        return;
    }
    is_connecting_ = false;
    event_add(&readable_, nullptr);
    if (unsentBytes() == 0) {
        event_del(&writable_);
    }
    listener_.onConnected();
}

// Read -----------------------------------------------------------------------

bool SocketStream::read() {
    static std::array<char, kReadChunk> chunk;
    const auto count = recv(descriptor_, chunk.data(), chunk.size(), 0);
    if (count < 0) {
        if (!isTransient(errno)) {
            notifyClosed(CloseReason::kError);
        }
        return false;
    }
    if (count == 0) {
        notifyClosed(CloseReason::kEndOfStream);
        return false;
    }
    const std::string_view bytes(chunk.data(), static_cast<std::size_t>(count));
    if (input_.empty()) {
        deliver(bytes);
    } else {
        input_ += bytes;
        redeliver();
    }
    return true;
}

bool SocketStream::readArrived() {
    return !is_stopped_ && !is_connecting_ && read();
}

void SocketStream::deliver(std::string_view bytes) {
    const auto consumed = listener_.onBytes(bytes);
    input_.assign(bytes.substr(consumed));
    updateReadEvent();
}

void SocketStream::redeliver() {
    const auto bytes = std::exchange(input_, {});
    deliver(bytes);
}

void SocketStream::setPaused(bool is_paused) {
    is_paused_ = is_paused;
    if (descriptor_ >= 0 && !is_connecting_) {
        updateReadEvent();
    }
}

void SocketStream::updateReadEvent() {
    if (is_stopped_) {
        return;
    }
    const bool is_full = is_paused_ || (read_ahead_ > 0 && unconsumedBytes() >= read_ahead_);
    const bool is_watching = event_pending(&readable_, EV_READ, nullptr) != 0;
    if (is_full && is_watching) {
        event_del(&readable_);
    } else if (!is_full && !is_watching) {
        event_add(&readable_, nullptr);
    }
}

// Write ----------------------------------------------------------------------

/// Errors are not reported here: unsent data stays in `output_`, and the next write from the loop fails and closes the
/// stream.
void SocketStream::write(std::string_view head, std::string_view body) {
    if (is_stopped_ || descriptor_ < 0) {
        return;
    }
    const bool can_send_now = !is_connecting_ && unsentBytes() == 0;
    const auto sent = can_send_now ? send(head, body) : 0;
    if (sent == head.size() + body.size()) {
        return;
    }
    const auto from_head = std::min(sent, head.size());
    head.remove_prefix(from_head);
    body.remove_prefix(sent - from_head);
    output_.append(head).append(body);
    startWriteEvent();
}

std::size_t SocketStream::send(std::string_view head, std::string_view body) const {
    std::array<iovec, 2> parts{
        {{const_cast<char*>(head.data()), head.size()}, {const_cast<char*>(body.data()), body.size()}}};
    msghdr message{};
    message.msg_iov = parts.data();
    message.msg_iovlen = body.empty() ? 1 : parts.size();
    const auto count = sendmsg(descriptor_, &message, MSG_NOSIGNAL);
    return count > 0 ? static_cast<std::size_t>(count) : 0;
}

void SocketStream::startWriteEvent() {
    if (event_pending(&writable_, EV_WRITE, nullptr) != 0) {
        return;
    }
    const auto value = toTimeval(write_timeout_);
    event_add(&writable_, write_timeout_ > Duration::zero() ? &value : nullptr);
}

void SocketStream::flush() {
    const auto count = ::send(descriptor_, output_.data() + sent_, unsentBytes(), MSG_NOSIGNAL);
    if (count < 0) {
        if (!isTransient(errno)) {
            notifyClosed(CloseReason::kError);
        }
        return;
    }
    sent_ += static_cast<std::size_t>(count);
    if (unsentBytes() == 0) {
        output_.clear();
        sent_ = 0;
        event_del(&writable_);
        listener_.onWritten();
    }
}

std::size_t SocketStream::unacknowledgedBytes() const {
    int queued = 0;
    const bool is_known = descriptor_ >= 0 && ioctl(descriptor_, SIOCOUTQ, &queued) == 0;
    return is_known ? static_cast<std::size_t>(queued) + unsentBytes() : 0;
}

void SocketStream::closeWriting() {
    if (descriptor_ >= 0) {
        shutdown(descriptor_, SHUT_WR);
    }
}

// Close ----------------------------------------------------------------------

void SocketStream::stop() {
    is_stopped_ = true;
    if (descriptor_ >= 0) {
        event_del(&readable_);
        event_del(&writable_);
    }
}

void SocketStream::notifyClosed(CloseReason reason) {
    stop();
    listener_.onClosed(reason);
}

void SocketStream::onSocketReadable(evutil_socket_t, short, void* self) {
    static_cast<SocketStream*>(self)->read();
}

void SocketStream::onSocketWritable(evutil_socket_t, short what, void* self) {
    auto* stream = static_cast<SocketStream*>(self);
    if ((what & EV_TIMEOUT) != 0) {
        stream->notifyClosed(CloseReason::kWriteTimeout);
    } else if (stream->is_connecting_) {
        stream->finishConnecting();
    } else {
        stream->flush();
    }
}

}  // namespace dewcrank::adapters
