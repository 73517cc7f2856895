/// @file One run of the soak: its load, its faults and its checks.
#pragma once

#include "http/client.h"
#include "http/loop.h"
#include "tests/soak/host_fleet.h"
#include "tests/soak/invariant_checker.h"
#include "tests/soak/open_caller.h"
#include "tests/soak/soak.h"
#include "tests/soak/soak_target.h"
#include "tests/soak/store_service.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace snipeshore::soak {

/// Operators and targets have written again what a restored store has lost after this time.
inline constexpr std::chrono::milliseconds write_again_time{2000};
/// A target's entry is removed after this time without a report.
inline constexpr std::chrono::milliseconds expiry_time{3000};

class soak_run {
public:
    explicit soak_run(const soak_settings& settings);

    soak_result run();

private:
    // Load and checks, in soak_run.cpp.
    void every(std::chrono::milliseconds interval, std::chrono::milliseconds delay,
               const std::function<void()>& work);
    void add_open_callers();
    void poll_open_callers();
    void write_config();
    void write_config_again();
    void check_in_force(unsigned version, base::time_point written);
    void probe(std::size_t host, unsigned version);
    void add_target();
    void report(const soak_target& target);
    void report_targets();
    std::string choose_key();
    void send_request();
    void fetch(http::client_request request,
               std::function<void(int status, const std::string& body)> done);
    void check_hosts();
    bool is_serving(std::size_t host) const;
    void disconnect_callers(std::size_t host);
    void start_host(std::size_t host);

    /// Whether the host may have read an earlier content of the store as its first one.
    bool may_know_old_rows(const host_slot& slot) const;

    // Faults, in soak_faults.cpp.
    void record_fault(const std::string& what);
    void inject_fault();
    void inject_unplanned_fault();
    void inject_planned_work();
    void inject_change();
    void restart(std::size_t host, int signal);
    void await_end(std::size_t host, int signal, base::time_point deadline);
    void hold_up(std::size_t host);
    void stop_several();
    void stop_twice(std::size_t host);
    void reload_several();
    void pause(std::size_t host, std::chrono::milliseconds duration);
    /// `choice` decides how long a silence lasts.
    void disturb_store(store_fault fault, std::uint64_t choice);
    void restore_store();
    void lose_store();
    void return_store();
    void accept_old_rows();
    void settle_after(std::chrono::milliseconds duration);
    void replace_key();
    void drain(soak_target& target);
    void remove_without_drain(soak_target& target);
    void remove_row(soak_target& target);
    void end_of_use(soak_target& target);

    std::chrono::milliseconds random_time(std::chrono::milliseconds limit);

    const soak_settings& m_settings;
    http::loop m_loop;
    std::mt19937_64 m_random;
    invariant_checker m_checker;
    store_service m_store;
    host_fleet m_fleet;
    http::client m_client;
    std::vector<std::unique_ptr<soak_target>> m_targets;
    /// A fixed number for each host, in the order of the hosts.
    std::vector<std::unique_ptr<open_caller>> m_callers;
    std::map<std::uint64_t, std::unique_ptr<http::client_call>> m_calls;
    std::vector<std::string> m_faults;
    std::string m_key = "key-first";
    std::string m_old_key = "key-never";
    base::time_point m_old_key_until{};
    /// Withdrawn keys that no host in touch accepts any more.
    std::vector<std::string> m_dead_keys;
    base::time_point m_started{};
    base::time_point m_store_lost{};
    base::time_point m_store_returned{};
    std::uint64_t m_requests = 0;
    std::uint64_t m_last_call = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_disturbances = 0;
    unsigned m_version = 0;
    int m_reloads = 0;
    bool m_is_disturbed = false;
    bool m_is_restoring = false;
    /// Since the store was lost, and until its rows are as they were and in force.
    bool m_has_old_rows = false;
};

} // namespace snipeshore::soak
