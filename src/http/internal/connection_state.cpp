#include "http/internal/connection_state.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <chrono>

namespace snipeshore::http {

bool is_peer_connected(int descriptor)
{
    pollfd connection{descriptor, POLLRDHUP, 0};
    return poll(&connection, 1, 0) <= 0;
}

bool is_reset(int descriptor)
{
    // Errors and hang-ups are reported without being asked for.
    pollfd connection{descriptor, 0, 0};
    return poll(&connection, 1, 0) != 0;
}

base::time_point last_bytes_received_at(int descriptor)
{
    const base::time_point now = base::boot_clock::now();
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return now;
    }
    return now - std::chrono::milliseconds(info.tcpi_last_data_recv);
}

base::duration wall_clock_offset()
{
    return std::chrono::system_clock::now().time_since_epoch() -
           base::boot_clock::now().time_since_epoch();
}

void reset_on_close(int descriptor)
{
    const linger reset{1, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

delivery delivery_of(int descriptor)
{
    int bytes = 0;
    if (ioctl(descriptor, SIOCOUTQ, &bytes) != 0) {
        return delivery::unknown;
    }
    return bytes > 0 ? delivery::pending : delivery::acknowledged;
}

} // namespace snipeshore::http
