/// @file
/// Loopback TCP proxy that injects network faults (latency, one-way partitions, resets) into the connections through
/// it, without changes to the programs at either end.
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

/// Faults of a link. The default forwards bytes unchanged.
struct LinkFaults {
    Duration delay{};                 ///< Added to each chunk of bytes, in both directions.
    bool blocks_to_target = false;    ///< Keeps back bytes to the target, also those of new connections.
    bool blocks_from_target = false;  ///< Keeps back bytes from the target.
};

/// Accepts connections in place of a target and forwards each over a connection of its own.
class FaultProxy {
public:
    /// @param target address that connections are forwarded to.
    FaultProxy(adapters::EventLoop& loop, adapters::SocketAddress target);
    ~FaultProxy();
    FaultProxy(const FaultProxy&) = delete;
    FaultProxy& operator=(const FaultProxy&) = delete;

    /// @param address to listen at; port 0 selects a free port.
    /// @return the address in use.
    Result<adapters::SocketAddress> listen(const adapters::SocketAddress& address);
    /// Replaces the faults, for open and for new connections.
    void setFaults(const LinkFaults& faults);
    /// Resets all open connections (TCP RST) at both ends.
    void resetAll();
    /// Makes all open connections silent for good: bytes are accepted and never forwarded. New connections work. An end
    /// that closes a silent connection closes it for the other one as well.
    void silenceAll();

private:
    class Link;
    /// Closes a connection. Its link is destroyed in a later event, since it may still be on the stack.
    void release(Link* link);

    adapters::EventLoop& loop_;
    adapters::SocketAddress target_;
    LinkFaults faults_;
    evconnlistener* listener_ = nullptr;
    std::map<Link*, std::unique_ptr<Link>> links_;
    std::vector<std::unique_ptr<Link>> closed_links_;  ///< Destroyed by `cleanup_timer_`.
    TimerHandle cleanup_timer_;
};

}  // namespace dewcrank::soak
