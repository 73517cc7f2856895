#include "apps/entry/crash_monitor.h"

#include "apps/common/fleet_state.h"
#include "http/internal/socket_address.h"
#include "http/tests/test_support.h"
#include "inner/node.h"
#include "retries/quarantine.h"

#include <doctest/doctest.h>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

using namespace snipeshore;
using namespace snipeshore::http::tests;

namespace {

constexpr std::uint64_t suspected = 7;
const std::string healthy = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// A target whose sockets the test closes one by one, as the kernel does for a process that ends.
class dying_target {
public:
    dying_target() : m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
    {
        auto address = http::parse_address("127.0.0.1:0");
        REQUIRE(bind(m_listener, address->get(), address->length) == 0);
        REQUIRE(listen(m_listener, 4) == 0);
        getsockname(m_listener, address->get(), &address->length);
        m_address = http::format_address(address->get());
    }

    ~dying_target()
    {
        close_listener();
    }

    dying_target(const dying_target&) = delete;
    dying_target& operator=(const dying_target&) = delete;
    dying_target(dying_target&&) = delete;
    dying_target& operator=(dying_target&&) = delete;

    const std::string& address() const
    {
        return m_address;
    }

    /// Descriptor of a connection that waits to be accepted, or -1.
    int accept_waiting() const
    {
        return m_listener < 0 ? -1 : accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    }

    void close_listener()
    {
        if (m_listener >= 0) {
            close(m_listener);
            m_listener = -1;
        }
    }

private:
    int m_listener = -1;
    std::string m_address;
};

} // namespace

// Guards against crashes that are not counted: the health check used a connection that the process
// that was ending had not closed yet, which broke as well and was taken for a sign of life.
TEST_CASE("a health check that breaks is repeated until the target answers or refuses")
{
    http::loop loop;
    http::client client(loop, {});
    inner::node node({});
    const apps::fleet_state fleet;
    apps::crash_monitor monitor(loop, client, node, fleet, base::host_id("entry-1"));
    dying_target target;
    bool is_done = false;
    monitor.on_broken_connection({"target-1", target.address(), "/health", {suspected}},
                                 [&] { is_done = true; });
    bool was_broken = false;

    SUBCASE("the process ends, and the crash is counted")
    {
        REQUIRE(run_until(loop, [&] {
            if (const int connection = target.accept_waiting(); connection >= 0) {
                target.close_listener();
                close(connection);
                was_broken = true;
            }
            return is_done;
        }));
        CHECK(was_broken);
        CHECK(monitor.suspicion_of(suspected) == retries::suspicion::suspect);
    }
    SUBCASE("the process goes on running, and no crash is counted")
    {
        REQUIRE(run_until(loop, [&] {
            if (const int connection = target.accept_waiting(); connection >= 0) {
                if (std::exchange(was_broken, true)) {
                    write_all(connection, healthy);
                }
                close(connection);
            }
            return is_done;
        }));
        CHECK(was_broken);
        CHECK(monitor.suspicion_of(suspected) == retries::suspicion::none);
    }
}
