/// @file
/// A proxy on loopback that harms the connections through it: what a network does to them, done from
/// outside of the programs.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "src/adapters/event_loop.h"
#include "src/adapters/socket_address.h"
#include "src/base/error.h"

struct bufferevent;
struct evconnlistener;

namespace dewcrank::soak {

/// What a link does to bytes. All off: it passes them on.
struct LinkFaults {
    Duration delay{};                ///< Each way, for each piece.
    bool holds_to_target = false;    ///< Bytes to the target wait until this ends; new connections as well.
    bool holds_from_target = false;  ///< The same for the other way.
};

/// Listens in place of a target, and passes connections on to it.
class FaultProxy {
public:
    FaultProxy(adapters::EventLoop& loop, adapters::SocketAddress target);
    ~FaultProxy();
    FaultProxy(const FaultProxy&) = delete;
    FaultProxy& operator=(const FaultProxy&) = delete;

    /// Port 0 takes a free one. @return the address in use.
    Result<adapters::SocketAddress> listen(const adapters::SocketAddress& address);
    void setFaults(const LinkFaults& faults);
    /// Resets every open connection.
    void resetAll();

private:
    class Link;
    void forget(Link* link);

    adapters::EventLoop& loop_;
    adapters::SocketAddress target_;
    LinkFaults faults_;
    evconnlistener* listener_ = nullptr;
    std::map<Link*, std::unique_ptr<Link>> links_;
    std::vector<std::unique_ptr<Link>> ended_;  ///< May still be on the stack.
    TimerHandle ended_timer_;
};

}  // namespace dewcrank::soak
