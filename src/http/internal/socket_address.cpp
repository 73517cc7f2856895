#include "http/internal/socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>
#include <charconv>
#include <cstring>

namespace snipeshore::http {

namespace {

std::optional<std::uint16_t> parse_port(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (failure != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return port;
}

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
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const auto port = parse_port(text.substr(colon + 1));
    std::string host(text.substr(0, colon));
    if (!port) {
        return std::nullopt;
    }
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
        in6_addr ip{};
        if (inet_pton(AF_INET6, host.c_str(), &ip) != 1) {
            return std::nullopt;
        }
        return make_ipv6(ip, *port);
    }
    in_addr ip{};
    if (inet_pton(AF_INET, host.c_str(), &ip) != 1) {
        return std::nullopt;
    }
    return make_ipv4(ip, *port);
}

std::string format_address(const sockaddr* address)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address->sa_family == AF_INET) {
        sockaddr_in v4{};
        std::memcpy(&v4, address, sizeof(v4));
        inet_ntop(AF_INET, &v4.sin_addr, text.data(), text.size());
        return std::string(text.data()) + ":" + std::to_string(ntohs(v4.sin_port));
    }
    if (address->sa_family == AF_INET6) {
        sockaddr_in6 v6{};
        std::memcpy(&v6, address, sizeof(v6));
        inet_ntop(AF_INET6, &v6.sin6_addr, text.data(), text.size());
        return "[" + std::string(text.data()) + "]:" + std::to_string(ntohs(v6.sin6_port));
    }
    return {};
}

} // namespace snipeshore::http
