/// @file
/// An address for heartbeats that only responses of this process name, so that a heartbeat which arrives there was
/// composed after the process began.
#pragma once

#include <optional>
#include <string>

#include "src/adapters/http_server.h"
#include "src/adapters/socket_address.h"

namespace dewcrank {

/// Listens at one port of a range from the first use on, until the process ends. Two processes that run one after the
/// other choose different ports, unless their starts are a multiple of the size of the range apart, in seconds.
class FreshAddress {
public:
    /// @param ip of the listener.
    FreshAddress(adapters::EventLoop& loop, adapters::HttpLimits limits, Duration client_timeout, std::string ip,
                 std::optional<adapters::PortRange> ports, adapters::HttpServer::Handler handler);
    /// @return "ip:port"; empty if there are no ports, or none of them is free.
    std::string text();

private:
    std::string ip_;
    std::optional<adapters::PortRange> ports_;
    std::uint64_t started_s_;  ///< Seconds since the host has started, which a process that ends does not restart.
    adapters::HttpServer server_;
    std::optional<adapters::SocketAddress> address_;
};

}  // namespace dewcrank
