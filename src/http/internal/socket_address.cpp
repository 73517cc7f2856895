#include "http/internal/socket_address.h"

#include "base/ip_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstring>

namespace snipeshore::http {

namespace {

socket_address make_ipv4(const in_addr& ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr = ip;
    address.sin_port = htons(port);
    socket_address out;
    std::memcpy(&out.storage, &address, sizeof(address));
    out.length = sizeof(address);
    return out;
}

socket_address make_ipv6(const in6_addr& ip, std::uint16_t port)
{
    sockaddr_in6 address{};
    address.sin6_family = AF_INET6;
    address.sin6_addr = ip;
    address.sin6_port = htons(port);
    socket_address out;
    std::memcpy(&out.storage, &address, sizeof(address));
    out.length = sizeof(address);
    return out;
}

} // namespace

std::optional<socket_address> parse_address(std::string_view text)
{
    const auto parsed = base::parse_ip_port(text);
    if (!parsed) {
        return std::nullopt;
    }
    if (parsed->v6) {
        in6_addr ip{};
        inet_pton(AF_INET6, parsed->ip.c_str(), &ip);
        return make_ipv6(ip, parsed->port);
    }
    in_addr ip{};
    inet_pton(AF_INET, parsed->ip.c_str(), &ip);
    return make_ipv4(ip, parsed->port);
}

std::string format_address(const sockaddr* address)
{
    return base::to_string(*address);
}

} // namespace snipeshore::http
