#include "src/adapters/socket_address.h"

#include <arpa/inet.h>

#include <charconv>

namespace dewcrank::adapters {

namespace {

/// @return nothing if the text is no number from 0 to 65535.
std::optional<std::uint16_t> parsePort(std::string_view text) {
    std::uint16_t port = 0;
    const auto* end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, port);
    return error == std::errc{} && rest == end && !text.empty() ? std::optional(port) : std::nullopt;
}

}  // namespace

std::optional<PortRange> parsePortRange(const std::string& text) {
    const auto comma = text.find(',');
    if (comma == std::string::npos) {
        return std::nullopt;
    }
    const auto first = parsePort(std::string_view(text).substr(0, comma));
    const auto last = parsePort(std::string_view(text).substr(comma + 1));
    const bool is_range = first && last && *first > 0 && *first <= *last;
    return is_range ? std::optional(PortRange{*first, *last}) : std::nullopt;
}

std::optional<SocketAddress> parseSocketAddress(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    SocketAddress address;
    address.ip = text.substr(0, colon);
    in_addr parsed{};
    if (inet_pton(AF_INET, address.ip.c_str(), &parsed) != 1) {
        return std::nullopt;
    }
    const auto port = parsePort(std::string_view(text).substr(colon + 1));
    if (!port) {
        return std::nullopt;
    }
    address.port = *port;
    return address;
}

}  // namespace dewcrank::adapters
