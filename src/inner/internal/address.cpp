#include "inner/internal/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <charconv>
#include <cstring>

namespace snipeshore::inner {

namespace {

constexpr std::uint8_t loopback_net = 127;

std::string format(const std::string& ip, std::uint16_t port, bool v6)
{
    return (v6 ? "[" + ip + "]" : ip) + ":" + std::to_string(port);
}

} // namespace

std::optional<ip_address> parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    ip_address address;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, address.port);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    address.ip = text.substr(0, colon);
    in_addr v4{};
    if (inet_pton(AF_INET, address.ip.c_str(), &v4) == 1) {
        address.loopback = (ntohl(v4.s_addr) >> 24U) == loopback_net;
        return address;
    }
    if (address.ip.size() < 2 || address.ip.front() != '[' || address.ip.back() != ']') {
        return std::nullopt;
    }
    address.ip = address.ip.substr(1, address.ip.size() - 2);
    in6_addr v6{};
    if (inet_pton(AF_INET6, address.ip.c_str(), &v6) != 1) {
        return std::nullopt;
    }
    address.v6 = true;
    address.loopback = std::memcmp(&v6, &in6addr_loopback, sizeof(v6)) == 0;
    return address;
}

std::string to_string(const ip_address& address)
{
    return format(address.ip, address.port, address.v6);
}

std::string to_string(const sockaddr& address)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address.sa_family == AF_INET) {
        sockaddr_in v4{};
        std::memcpy(&v4, &address, sizeof(v4));
        inet_ntop(AF_INET, &v4.sin_addr, text.data(), text.size());
        return format(text.data(), ntohs(v4.sin_port), false);
    }
    if (address.sa_family == AF_INET6) {
        sockaddr_in6 v6{};
        std::memcpy(&v6, &address, sizeof(v6));
        inet_ntop(AF_INET6, &v6.sin6_addr, text.data(), text.size());
        return format(text.data(), ntohs(v6.sin6_port), true);
    }
    return {};
}

} // namespace snipeshore::inner
