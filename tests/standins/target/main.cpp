#include "http/server.h"
#include "tests/standins/target/fake_target.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <string>
#include <thread>

DEFINE_string(address, "127.0.0.1:0", "Address to listen on; port 0 selects a free port");
DEFINE_string(id, "target", "Target id in responses");
DEFINE_uint32(slots, 4, "Requests that run concurrently");
DEFINE_uint32(queue, 8, "Requests that wait for a slot; further ones are shed");
DEFINE_uint32(max_connections, 400, "Maximum number of open connections");
DEFINE_uint32(shed_status, 503, "Status of shed requests, 503 or 429");
DEFINE_uint32(retry_after_s, 1, "Retry-After of shed requests");
DEFINE_uint32(service_ms, 0, "Time that each request takes");
DEFINE_uint32(connection_cost_ms, 0, "Time added to the first request of a connection");
DEFINE_uint32(cold_ms, 0, "Time after the start in which requests take longer");
DEFINE_double(cold_factor, 5.0, "Service time factor at the start; it falls to 1");
DEFINE_uint32(report_lag_ms, 0, "Age of the state that the health and load endpoints report");
DEFINE_string(load_report, "honest",
              "What the load endpoint reports: honest (the actual load), idle or full");
DEFINE_bool(lies_about_health, false, "Report good health also while draining");
DEFINE_bool(unhealthy, false, "Report bad health from the start");
DEFINE_bool(draining, false, "Announce a drain from the start");
DEFINE_uint32(drain_notice_ms, 0, "Time from SIGTERM, when the drain is announced, to the close");
DEFINE_uint64(max_request_bytes, 64U << 20U, "Maximum size of a request body");

namespace {

using namespace snipeshore;

standins::load_report_mode load_report_mode_of(const std::string& name)
{
    if (name == "idle") {
        return standins::load_report_mode::idle;
    }
    return name == "full" ? standins::load_report_mode::full : standins::load_report_mode::accurate;
}

standins::target_settings settings_from_flags()
{
    standins::target_settings settings;
    settings.id = FLAGS_id;
    settings.slots = FLAGS_slots;
    settings.queue = FLAGS_queue;
    settings.shed_status = static_cast<int>(FLAGS_shed_status);
    settings.retry_after = std::chrono::seconds(FLAGS_retry_after_s);
    settings.service_time = std::chrono::milliseconds(FLAGS_service_ms);
    settings.connection_cost = std::chrono::milliseconds(FLAGS_connection_cost_ms);
    settings.cold_time = std::chrono::milliseconds(FLAGS_cold_ms);
    settings.cold_factor = FLAGS_cold_factor;
    settings.report_lag = std::chrono::milliseconds(FLAGS_report_lag_ms);
    settings.load = load_report_mode_of(FLAGS_load_report);
    settings.hides_draining = FLAGS_lies_about_health;
    settings.unhealthy = FLAGS_unhealthy;
    return settings;
}

/// Blocks SIGTERM and SIGINT in all threads, so that one thread can wait for them.
sigset_t block_stop_signals()
{
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const sigset_t signals = block_stop_signals();
    http::loop loop;
    standins::fake_target target(loop, settings_from_flags());
    http::server server(loop,
                        [&](const std::shared_ptr<http::exchange>& from) { target.handle(from); });
    http::server_settings settings;
    settings.address = FLAGS_address;
    settings.max_connections = FLAGS_max_connections;
    settings.max_request_bytes = FLAGS_max_request_bytes;
    settings.request_timeout = std::chrono::seconds(60);
    if (const auto outcome = server.listen(settings); !base::is_ok(outcome)) {
        std::fprintf(stderr, "event=start_failed detail=\"%s\"\n",
                     base::error_of(outcome).detail.c_str());
        return 1;
    }
    if (FLAGS_draining) {
        target.start_draining();
    }
    std::printf("event=listening id=%s address=%s\n", FLAGS_id.c_str(),
                server.bound_address().c_str());
    std::fflush(stdout);
    std::thread signal_thread([&] {
        int signal = 0;
        sigwait(&signals, &signal);
        loop.post([&] {
            target.start_draining();
            loop.schedule(base::boot_clock::now() +
                              std::chrono::milliseconds(FLAGS_drain_notice_ms),
                          [&] { server.drain([&] { loop.stop(); }); });
        });
    });
    loop.run();
    signal_thread.join();
    return 0;
}
