/// @file Conversion of socket addresses from and to text.
#pragma once

#include <sys/socket.h>

#include <optional>
#include <string>
#include <string_view>

namespace snipeshore::http {

struct socket_address {
    sockaddr_storage storage{};
    socklen_t length = 0;

    sockaddr* get()
    {
        return reinterpret_cast<sockaddr*>(&storage);
    }
};

/// Parses "ip:port" or "[ipv6]:port"; host names are not resolved.
std::optional<socket_address> parse_address(std::string_view text);

/// Formats as "ip:port" or "[ipv6]:port".
std::string format_address(const sockaddr* address);

} // namespace snipeshore::http
