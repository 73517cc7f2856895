#include "inner/internal/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstring>

namespace snipeshore::inner {

bool is_loopback(const base::ip_port& address)
{
    constexpr std::uint8_t loopback_net = 127;
    if (address.v6) {
        in6_addr ip{};
        inet_pton(AF_INET6, address.ip.c_str(), &ip);
        return std::memcmp(&ip, &in6addr_loopback, sizeof ip) == 0;
    }
    in_addr ip{};
    inet_pton(AF_INET, address.ip.c_str(), &ip);
    return (ntohl(ip.s_addr) >> 24U) == loopback_net;
}

} // namespace snipeshore::inner
