#include "base/ip_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>
#include <charconv>
#include <cstring>

namespace snipeshore::base {

namespace {

bool is_ip_address(const std::string& text, int family)
{
    std::array<unsigned char, sizeof(in6_addr)> bytes{};
    // inet_pton would parse only the part before an embedded null character.
    return text.find('\0') == std::string::npos &&
           inet_pton(family, text.c_str(), bytes.data()) == 1;
}

template <typename Address>
Address copy_as(const sockaddr& address)
{
    Address copy{};
    std::memcpy(&copy, &address, sizeof copy);
    return copy;
}

} // namespace

std::optional<ip_port> parse_ip_port(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    ip_port address;
    const char* const end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data() + colon + 1, end, address.port);
    if (failure != std::errc{} || stop != end) {
        return std::nullopt;
    }
    address.ip = std::string(text.substr(0, colon));
    address.v6 = address.ip.size() > 2 && address.ip.front() == '[' && address.ip.back() == ']';
    if (address.v6) {
        address.ip = address.ip.substr(1, address.ip.size() - 2);
    }
    if (!is_ip_address(address.ip, address.v6 ? AF_INET6 : AF_INET)) {
        return std::nullopt;
    }
    return address;
}

std::string to_string(const ip_port& address)
{
    return (address.v6 ? "[" + address.ip + "]" : address.ip) + ":" + std::to_string(address.port);
}

std::string to_string(const sockaddr& address)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address.sa_family == AF_INET) {
        const auto v4 = copy_as<sockaddr_in>(address);
        inet_ntop(AF_INET, &v4.sin_addr, text.data(), text.size());
        return to_string(ip_port{text.data(), ntohs(v4.sin_port), false});
    }
    if (address.sa_family == AF_INET6) {
        const auto v6 = copy_as<sockaddr_in6>(address);
        inet_ntop(AF_INET6, &v6.sin6_addr, text.data(), text.size());
        return to_string(ip_port{text.data(), ntohs(v6.sin6_port), true});
    }
    return {};
}

} // namespace snipeshore::base
