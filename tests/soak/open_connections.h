/// @file
/// Callers of the soak that keep their connections until the node closes them or its process is gone, whatever its
/// readiness: some overlap their requests, some read large responses slowly.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "src/adapters/http_parser.h"
#include "tests/soak/fleet.h"

namespace dewcrank::soak {

/// How the caller of a connection behaves.
enum class ConnectionUse {
    kOverlapping,  ///< Sends a long-running request each 100 to 300 ms, before the last one has its response.
    kSlowReading,  ///< Reads a response of standins::kLargeBodyBytes in two seconds, then sends the next request.
};

/// One caller with a connection to one node. Opens another connection when the node has closed it and callers may use
/// the node.
class OpenConnection {
public:
    /// @param name prefix of the ids of its requests.
    OpenConnection(adapters::EventLoop& loop, Fleet& fleet, adapters::SeededRandom& random, std::string name,
                   std::size_t node, ConnectionUse use);
    ~OpenConnection();
    OpenConnection(const OpenConnection&) = delete;
    OpenConnection& operator=(const OpenConnection&) = delete;

    /// Sends no further request. Requests without a response are still awaited.
    void stop() { is_stopped_ = true; }

private:
    void tick();
    void open();
    void send();
    void read();
    /// Parses received bytes, and records the responses.
    void parse(std::string_view bytes);
    void onResponse(const HttpResponse& response, bool closes);
    void close();
    [[nodiscard]] bool mayRead() const;

    adapters::EventLoop& loop_;
    Fleet& fleet_;
    adapters::SeededRandom& random_;
    std::string name_;
    std::size_t node_;
    ConnectionUse use_;
    HeaderNames names_;
    int descriptor_ = -1;
    adapters::HttpMessageParser parser_;
    std::deque<CallerRequest*> waiting_;  ///< Requests of this connection without a response, oldest first.
    TimePoint next_send_{};
    TimePoint reading_since_{};  ///< When the request was sent whose response is being read slowly.
    std::size_t bytes_read_ = 0;
    bool is_stopped_ = false;
    std::uint64_t last_number_ = 0;
    TimerHandle timer_;
};

/// The open connections of a soak: one of each use at each node.
class OpenConnections {
public:
    /// @param seed of the times between requests; separate from the fleet's, so that its faults and arrivals stay.
    OpenConnections(adapters::EventLoop& loop, Fleet& fleet, std::uint64_t seed)
        : loop_(loop), fleet_(fleet), random_(seed) {}
    void start();
    void stop();

private:
    adapters::EventLoop& loop_;
    Fleet& fleet_;
    adapters::SeededRandom random_;
    std::vector<std::unique_ptr<OpenConnection>> connections_;
};

}  // namespace dewcrank::soak
