/// @file
/// Callers of the soak that send non-idempotent requests with timed work on connections that they keep until the node
/// closes them or its process is gone, whatever its readiness.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "src/adapters/http_parser.h"
#include "tests/soak/fleet.h"

namespace dewcrank::soak {

/// One caller with a connection to one node and one request at a time. Opens another connection when the node has
/// closed it and callers may use the node.
class KeptPost {
public:
    /// @param name prefix of the ids of its requests.
    KeptPost(adapters::EventLoop& loop, Fleet& fleet, adapters::SeededRandom& random, std::string name,
             std::size_t node);
    ~KeptPost();
    KeptPost(const KeptPost&) = delete;
    KeptPost& operator=(const KeptPost&) = delete;

    /// Opens, sends and reads what is due.
    /// @param may_send false: sends no further request.
    void advance(bool may_send);

private:
    void open();
    void sendRequest();
    /// @return path of a request with random work, and of its calls.
    std::string drawPath();
    /// Appends the parts of the message with the times at which they are sent.
    void planSegments(const CallerRequest& request);
    void sendSegments();
    void read();
    void onResponse(bool closes);
    void close();

    /// A part of a message.
    struct Segment {
        TimePoint due{};
        std::string bytes;
    };
    adapters::EventLoop& loop_;
    Fleet& fleet_;
    adapters::SeededRandom& random_;
    std::string name_;
    std::size_t node_;
    HeaderNames names_;
    int descriptor_ = -1;
    adapters::HttpMessageParser parser_;
    std::deque<Segment> segments_;
    CallerRequest* request_ = nullptr;  ///< Request of this connection without a response; null if there is none.
    TimePoint next_send_{};
    bool reads_slowly_ = false;
    std::uint64_t last_number_ = 0;
};

/// The callers of a soak, several at each node.
class KeptPosts {
public:
    /// @param seed separate from the fleet's, so that its faults and arrivals stay.
    KeptPosts(adapters::EventLoop& loop, Fleet& fleet, std::uint64_t seed)
        : loop_(loop), fleet_(fleet), random_(seed) {}
    void start();
    /// Requests without a response are still awaited.
    void stop() { is_stopped_ = true; }

private:
    void tick();

    adapters::EventLoop& loop_;
    Fleet& fleet_;
    adapters::SeededRandom random_;
    std::vector<std::unique_ptr<KeptPost>> callers_;
    bool is_stopped_ = false;
    TimerHandle timer_;
};

}  // namespace dewcrank::soak
