/// @file
/// IPv4 socket addresses in the form "ip:port".
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace dewcrank::adapters {

/// IPv4 address and TCP port.
struct SocketAddress {
    std::string ip;  ///< In dotted decimal notation.
    std::uint16_t port = 0;
    /// @return "ip:port".
    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};

/// TCP ports from the first to the last.
struct PortRange {
    std::uint16_t first = 0;
    std::uint16_t last = 0;
    /// @return "first,last".
    [[nodiscard]] std::string text() const { return std::to_string(first) + "," + std::to_string(last); }
};

/// Parses "first,last". @return nothing if the text has another form, a port is 0, or the last one is below the first.
std::optional<PortRange> parsePortRange(const std::string& text);
/// Parses "ip:port" with a numeric IPv4 address. @return nothing if the text has another form.
std::optional<SocketAddress> parseSocketAddress(const std::string& text);

}  // namespace dewcrank::adapters
