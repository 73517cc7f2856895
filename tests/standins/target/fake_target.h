/// @file Stand-in for a target in tests. It can queue, shed, warm up, drain, crash and report a
/// wrong state.
#pragma once

#include "base/time.h"
#include "http/exchange.h"
#include "http/loop.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

namespace snipeshore::standins {

/// What the load endpoint reports: the actual load, no load or full load.
enum class load_report_mode { accurate, idle, full };

struct target_settings {
    std::string id = "target";
    std::size_t slots = 4;
    std::size_t queue = 8; ///< Maximum number of requests that wait for a slot; others are shed.
    int shed_status = 503;
    std::chrono::seconds retry_after{1};
    std::chrono::milliseconds service_time{0};
    std::chrono::milliseconds connection_cost{0}; ///< Added to the first request of a connection.
    std::chrono::milliseconds cold_time{0}; ///< Time after the start in which requests take longer.
    double cold_factor = 5.0;               ///< Service time factor at the start; it falls to 1.
    std::chrono::milliseconds report_lag{0}; ///< Age of the state that health and load report.
    load_report_mode load = load_report_mode::accurate;
    bool hides_draining = false; ///< Reports good health also while it drains.
    bool unhealthy = false;
};

/// One request that needs a slot.
struct target_job {
    std::shared_ptr<http::exchange> from;
    base::time_point deadline = base::time_point::max();
    http::timer_id timer = 0;
    std::uint64_t random = 0; ///< State of the generator behind `/bytes`.
    std::uint64_t bytes_left = 0;
    std::string run_response; ///< Response body of `/run`.
    bool is_running = false;
    bool is_done = false;
};

class fake_target {
public:
    fake_target(http::loop& loop, target_settings settings);

    void handle(const std::shared_ptr<http::exchange>& from);

    /// Announces the drain in the health report and in each response.
    void start_draining();

private:
    struct load_sample {
        base::time_point at;
        std::size_t running = 0;
        std::size_t queued = 0;
        bool is_draining = false;
    };

    using job_ptr = std::shared_ptr<target_job>;

    bool respond_control(http::exchange& from);
    std::string health_body(const load_sample& reported) const;
    std::string load_body(const load_sample& reported) const;
    std::string runs_body() const;

    void admit(const std::shared_ptr<http::exchange>& from);
    void shed(http::exchange& from);
    void start(const job_ptr& job);
    void execute(const job_ptr& job);
    static bool is_run(const http::exchange& from);
    void count_run(const job_ptr& job);
    void stream(const job_ptr& job, bool has_length);
    void write_next(const job_ptr& job);
    void truncate(const job_ptr& job);
    void finish(const job_ptr& job);
    void on_cancelled(const job_ptr& job);

    std::chrono::milliseconds service_time(const http::exchange& from);
    bool is_new_connection(const std::string& peer);
    void sample();
    load_sample reported_sample() const;
    http::response_head make_head(int status) const;
    void respond_json(http::exchange& from, int status, std::string body) const;

    http::loop* m_loop;
    target_settings m_settings;
    base::time_point m_started;
    bool m_is_draining = false;
    std::size_t m_running = 0;
    std::deque<job_ptr> m_queue;
    std::deque<load_sample> m_samples;
    std::unordered_set<std::string> m_peers;
    std::map<std::string, std::uint64_t> m_runs;
    std::uint64_t m_requests = 0;
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_shed = 0;
    std::uint64_t m_expired = 0;
    std::uint64_t m_connections = 0;
};

/// Numeric value of a query parameter of a path; `fallback` if it is missing or invalid.
std::uint64_t query_number(std::string_view path, std::string_view name, std::uint64_t fallback);

/// Next chunk of the pseudo-random body of `/bytes`. Every target sends the same body for a seed.
std::string next_bytes(std::uint64_t& state, std::size_t count);

} // namespace snipeshore::standins
