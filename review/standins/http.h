/// @file
/// Minimal blocking HTTP/1.1 over TCP for the stand-ins of the review: messages, connections, and a server with a
/// thread for each connection. Independent of the product's own HTTP code.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

struct Address {
    std::string ip;
    std::uint16_t port = 0;
    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};

/// A request or a response.
struct Message {
    std::string start_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    [[nodiscard]] std::string header(const std::string& name) const;
    [[nodiscard]] bool hasHeader(const std::string& name) const;
    [[nodiscard]] std::string method() const { return start_line.substr(0, start_line.find(' ')); }
    /// Path with query of a request.
    [[nodiscard]] std::string path() const;
    /// Status of a response; 0 if the message is none.
    [[nodiscard]] int status() const;
    /// The bytes on the wire, with a Content-Length.
    [[nodiscard]] std::string bytes() const;
};

/// How the wait for a message ended.
enum class ReadEnd {
    kComplete,
    kClosed,     ///< The peer closed the connection, in the middle of the message or before it.
    kReset,      ///< The connection broke.
    kTimedOut,   ///< The deadline passed.
    kMalformed,  ///< Bytes that are no HTTP message.
};

const char* endText(ReadEnd end);

/// Pace at which a connection reads a body; the default does not limit it.
struct ReadPace {
    double bytes_per_second = 0;  ///< 0: no limit.
    std::size_t chunk_bytes = std::size_t{64} * 1024;
};

/// One TCP connection; closed when destroyed.
class Connection {
public:
    explicit Connection(int descriptor) : descriptor_(descriptor) {}
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    Connection(Connection&& other) noexcept
        : descriptor_(std::exchange(other.descriptor_, -1)), buffer_(std::move(other.buffer_)) {}

    /// @param receive_buffer size of the socket's receive buffer in bytes; 0: the system's default.
    static std::optional<Connection> open(const Address& address, Milliseconds timeout, int receive_buffer = 0);

    bool write(const std::string& bytes);
    /// Reads one message. @param received_bytes out: bytes of the body that arrived, if not null.
    ReadEnd read(Message* message, Clock::time_point deadline, const ReadPace& pace = {},
                 std::size_t* received_bytes = nullptr);
    /// Waits until the peer has closed the connection. @return false if it is still open at the deadline.
    bool awaitClose(Clock::time_point deadline);

private:
    /// @return bytes read; 0 at the end of the stream, -1 after an error, -2 at the deadline.
    long receive(std::size_t most, Clock::time_point deadline);

    int descriptor_ = -1;
    std::string buffer_;  ///< Received, but not part of a message yet.
};

/// Sends one request on a new connection. @return the response, if it was complete.
std::optional<Message> exchange(const Address& address, const Message& request, Milliseconds timeout);

/// Accepts connections until it is stopped, and serves each one in a thread of its own.
class Server {
public:
    using Handler = std::function<void(Connection&)>;
    /// Throws std::runtime_error if the address cannot be used.
    Server(const Address& address, Handler handler);
    ~Server() { stop(); }
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;
    /// Closes the listener and all connections, and waits for their threads.
    void stop();

private:
    void accept();

    Handler handler_;
    int listener_ = -1;
    std::atomic<bool> is_stopping_ = false;
    std::thread acceptor_;
    std::mutex mutex_;
    std::set<int> open_;
    std::vector<std::thread> threads_;
};

}  // namespace review
