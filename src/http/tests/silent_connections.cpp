#include "http/tests/silent_connections.h"

#include "http/internal/socket_address.h"

#include <doctest/doctest.h>

#include <linux/filter.h>
#include <sys/socket.h>

#include <filesystem>

namespace snipeshore::http::tests {

namespace {

std::string address_of(int descriptor, decltype(getsockname)* lookup)
{
    sockaddr_storage address{};
    socklen_t size = sizeof address;
    if (lookup(descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0 ||
        address.ss_family != AF_INET) {
        return "";
    }
    return format_address(reinterpret_cast<sockaddr*>(&address));
}

/// Drops all that arrives, as if the network had lost the connection: neither end hears of it.
void silence(int descriptor)
{
    sock_filter drop_all{BPF_RET | BPF_K, 0, 0, 0};
    const sock_fprog program{1, &drop_all};
    REQUIRE(setsockopt(descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) == 0);
}

} // namespace

int silence_connections(const std::string& address)
{
    int silenced = 0;
    for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) {
        const int descriptor = std::stoi(entry.path().filename());
        const std::string peer = address_of(descriptor, getpeername);
        const bool is_connected = !peer.empty();
        if (is_connected && (peer == address || address_of(descriptor, getsockname) == address)) {
            silence(descriptor);
            ++silenced;
        }
    }
    return silenced;
}

} // namespace snipeshore::http::tests
