/// @file Stand-in for the platform's table, object store and host list, for tests.
#include "base/result.h"
#include "http/loop.h"
#include "tests/standins/platform/platform_server.h"

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(listen, "127.0.0.1:7100", "address, \"ip:port\"; port 0 selects a free port");
DEFINE_int64(host_list_lag_ms, 0, "time until listings show a change of the host list");
DEFINE_int64(slow_ms, 0, "delay before a request takes effect");

using namespace snipeshore;

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Stand-in for the platform: table, objects, host list.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    http::loop loop;
    standins::fault_switches faults;
    faults.host_list_lag_ms = std::chrono::milliseconds(FLAGS_host_list_lag_ms);
    faults.slow_ms = std::chrono::milliseconds(FLAGS_slow_ms);
    standins::platform_server server(loop, faults);
    const base::status outcome = server.listen(FLAGS_listen);
    if (!base::is_ok(outcome)) {
        std::cerr << "error: " << base::error_of(outcome).detail << '\n';
        return 1;
    }
    std::cout << "listening " << server.bound_address() << std::endl;
    loop.run();
    return 0;
}
