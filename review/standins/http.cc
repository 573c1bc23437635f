#include "review/standins/http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <stdexcept>

namespace review {

namespace {

constexpr int kBacklog = 512;
constexpr int kAcceptPollMs = 50;
constexpr long kEnded = 0;
constexpr long kFailed = -1;
constexpr long kLate = -2;

sockaddr_in socketAddress(const Address& address) {
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

int millisecondsUntil(Clock::time_point deadline) {
    const auto left = std::chrono::ceil<Milliseconds>(deadline - Clock::now()).count();
    return static_cast<int>(std::clamp<long long>(left, 0, 1000000));
}

ReadEnd endOf(long received) {
    if (received == kLate) {
        return ReadEnd::kTimedOut;
    }
    return received == kEnded ? ReadEnd::kClosed : ReadEnd::kReset;
}

/// @return false if the bytes are no head.
bool parseHead(const std::string& head, Message* message) {
    std::size_t begin = head.find("\r\n");
    message->start_line = head.substr(0, begin);
    if (message->start_line.find("HTTP/1.") == std::string::npos) {
        return false;
    }
    while (begin != std::string::npos && begin + 2 < head.size()) {
        const auto end = head.find("\r\n", begin + 2);
        const auto line = head.substr(begin + 2, end == std::string::npos ? end : end - begin - 2);
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            return false;
        }
        const auto value = line.find_first_not_of(' ', colon + 1);
        message->headers.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
        begin = end;
    }
    return true;
}

}  // namespace

const char* endText(ReadEnd end) {
    switch (end) {
        case ReadEnd::kComplete:
            return "complete";
        case ReadEnd::kClosed:
            return "closed-early";
        case ReadEnd::kReset:
            return "reset";
        case ReadEnd::kTimedOut:
            return "timed-out";
        case ReadEnd::kMalformed:
            break;
    }
    return "malformed";
}

// Message ------------------------------------------------------------------------

std::string Message::header(const std::string& name) const {
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const auto& header) {
        return strcasecmp(header.first.c_str(), name.c_str()) == 0;
    });
    return found == headers.end() ? "" : found->second;
}

bool Message::hasHeader(const std::string& name) const {
    return std::any_of(headers.begin(), headers.end(),
                       [&](const auto& header) { return strcasecmp(header.first.c_str(), name.c_str()) == 0; });
}

std::string Message::path() const {
    const auto begin = start_line.find(' ');
    const auto end = start_line.rfind(' ');
    return begin == std::string::npos || end <= begin ? "" : start_line.substr(begin + 1, end - begin - 1);
}

int Message::status() const {
    const auto begin = start_line.find(' ');
    return begin == std::string::npos ? 0 : std::atoi(start_line.c_str() + begin + 1);
}

std::string Message::bytes() const {
    std::string text = start_line + "\r\n";
    for (const auto& [name, value] : headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    const bool is_bare_get = start_line.starts_with("GET ") && body.empty();
    if (!is_bare_get) {
        text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    }
    return text.append("\r\n").append(body);
}

// Connection ---------------------------------------------------------------------

Connection::~Connection() {
    if (descriptor_ >= 0) {
        ::close(descriptor_);
    }
}

std::optional<Connection> Connection::open(const Address& address, Milliseconds timeout, int receive_buffer) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    Connection connection(descriptor);
    if (receive_buffer > 0) {
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    }
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto target = socketAddress(address);
    const auto deadline = Clock::now() + timeout;
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0) {
        pollfd event{descriptor, POLLOUT, 0};
        if (errno != EINPROGRESS || ::poll(&event, 1, millisecondsUntil(deadline)) != 1) {
            return std::nullopt;
        }
        int error = 0;
        socklen_t length = sizeof error;
        getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
        if (error != 0) {
            return std::nullopt;
        }
    }
    return connection;
}

bool Connection::write(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count > 0) {
            sent += static_cast<std::size_t>(count);
            continue;
        }
        pollfd event{descriptor_, POLLOUT, 0};
        if ((errno != EAGAIN && errno != EINTR) || ::poll(&event, 1, 20000) != 1) {
            return false;
        }
    }
    return true;
}

long Connection::receive(std::size_t most, Clock::time_point deadline) {
    std::vector<char> chunk(most);
    while (true) {
        const auto count = ::recv(descriptor_, chunk.data(), chunk.size(), MSG_DONTWAIT);
        if (count > 0) {
            buffer_.append(chunk.data(), static_cast<std::size_t>(count));
            return count;
        }
        if (count == 0) {
            return kEnded;
        }
        if (errno != EAGAIN && errno != EINTR) {
            return kFailed;
        }
        pollfd event{descriptor_, POLLIN, 0};
        const int wait = millisecondsUntil(deadline);
        if (wait == 0 || ::poll(&event, 1, wait) == 0) {
            return kLate;
        }
    }
}

ReadEnd Connection::read(Message* message, Clock::time_point deadline, const ReadPace& pace,
                         std::size_t* received_bytes) {
    *message = {};
    auto head_end = buffer_.find("\r\n\r\n");
    while (head_end == std::string::npos) {
        if (const auto count = receive(4096, deadline); count <= 0) {
            return endOf(count);
        }
        head_end = buffer_.find("\r\n\r\n");
    }
    if (!parseHead(buffer_.substr(0, head_end), message)) {
        return ReadEnd::kMalformed;
    }
    buffer_.erase(0, head_end + 4);
    const auto length = static_cast<std::size_t>(std::atoll(message->header("Content-Length").c_str()));
    const auto began = Clock::now();
    while (buffer_.size() < length) {
        if (received_bytes != nullptr) {
            *received_bytes = buffer_.size();
        }
        if (pace.bytes_per_second > 0) {
            const std::chrono::duration<double> due(static_cast<double>(buffer_.size()) / pace.bytes_per_second);
            std::this_thread::sleep_until(began + std::chrono::duration_cast<Clock::duration>(due));
        }
        if (const auto count = receive(std::min(pace.chunk_bytes, length - buffer_.size()), deadline); count <= 0) {
            return endOf(count);
        }
    }
    if (received_bytes != nullptr) {
        *received_bytes = length;
    }
    message->body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return ReadEnd::kComplete;
}

bool Connection::awaitClose(Clock::time_point deadline) {
    while (true) {
        const auto count = receive(4096, deadline);
        if (count <= 0) {
            return count != kLate;
        }
    }
}

std::optional<Message> exchange(const Address& address, const Message& request, Milliseconds timeout) {
    const auto deadline = Clock::now() + timeout;
    auto connection = Connection::open(address, timeout);
    Message response;
    const bool is_complete =
        connection && connection->write(request.bytes()) && connection->read(&response, deadline) == ReadEnd::kComplete;
    return is_complete ? std::optional(response) : std::nullopt;
}

// Server -------------------------------------------------------------------------

Server::Server(const Address& address, Handler handler) : handler_(std::move(handler)) {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto target = socketAddress(address);
    if (::bind(listener_, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0 ||
        ::listen(listener_, kBacklog) != 0) {
        ::close(listener_);
        throw std::runtime_error("cannot listen at " + address.text());
    }
    acceptor_ = std::thread([this] { accept(); });
}

void Server::accept() {
    while (!is_stopping_) {
        pollfd event{listener_, POLLIN, 0};
        if (::poll(&event, 1, kAcceptPollMs) != 1) {
            continue;
        }
        const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (descriptor < 0) {
            continue;
        }
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard lock(mutex_);
        open_.insert(descriptor);
        threads_.emplace_back([this, descriptor] {
            const int own = ::fcntl(descriptor, F_DUPFD_CLOEXEC, 0);
            {
                Connection connection(own);
                handler_(connection);
            }
            const std::lock_guard inner(mutex_);
            if (open_.erase(descriptor) > 0) {
                ::close(descriptor);
            }
        });
    }
}

void Server::stop() {
    if (is_stopping_.exchange(true)) {
        return;
    }
    acceptor_.join();
    ::close(listener_);
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(mutex_);
        for (const int descriptor : open_) {
            ::shutdown(descriptor, SHUT_RDWR);
        }
        threads.swap(threads_);
    }
    for (auto& thread : threads) {
        thread.join();
    }
}

}  // namespace review
