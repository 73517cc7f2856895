/// @file Addresses of the form "ip:port" or "[ipv6]:port".
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

struct sockaddr;

namespace snipeshore::base {

struct ip_port {
    std::string ip; ///< Without brackets.
    std::uint16_t port = 0;
    bool v6 = false;
};

/// Parses a numeric address with a port. Host names are rejected, because resolving a name could
/// block an event loop.
std::optional<ip_port> parse_ip_port(std::string_view text);

std::string to_string(const ip_port& address);

/// Formats an IPv4 or IPv6 socket address. Returns an empty string for other address families.
std::string to_string(const sockaddr& address);

} // namespace snipeshore::base
