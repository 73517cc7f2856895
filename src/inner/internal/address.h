/// @file Addresses of the form "ip:port" or "[ip6]:port".
#pragma once

#include <cstdint>
#include <optional>
#include <string>

struct sockaddr;

namespace snipeshore::inner {

struct ip_address {
    std::string ip;
    std::uint16_t port = 0;
    bool v6 = false;
    bool loopback = false;
};

/// Host names are not accepted: a name look-up could block the event loop.
std::optional<ip_address> parse_address(const std::string& text);

std::string to_string(const ip_address& address);

/// Text of a socket address; empty for other families.
std::string to_string(const sockaddr& address);

} // namespace snipeshore::inner
