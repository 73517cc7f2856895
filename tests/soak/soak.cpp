#include "tests/soak/soak.h"

#include "http/client.h"
#include "http/loop.h"
#include "tests/soak/host_fleet.h"
#include "tests/soak/invariant_checker.h"
#include "tests/soak/soak_target.h"
#include "tests/soak/store_service.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <functional>
#include <memory>
#include <random>

namespace snipeshore::soak {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr quota_bounds small_account{20, 10, 5000ms, 0.1, 20};

/// Longest time after a drain is written to the store in which the target may still get requests.
constexpr auto drain_bound = 3500ms;
/// Longest time after a key is replaced in the store in which the old key may still work.
constexpr auto key_bound = 3500ms;
constexpr auto startup_time = 3000ms;
constexpr auto request_interval = 4ms;
constexpr auto fault_interval = 500ms;
constexpr auto heartbeat_interval = 1000ms;

class soak_run {
public:
    explicit soak_run(const soak_settings& settings)
        : m_settings(settings), m_random(settings.seed), m_checker(small_account), m_store(m_loop),
          m_fleet(settings.program, settings.directory, settings.hosts, m_store.address()),
          m_client(m_loop, client_settings())
    {}

    soak_result run()
    {
        for (std::size_t i = 0; i < m_settings.targets; ++i) {
            add_target();
            // Half of the targets are faulty from the start, so that a short run covers many kinds
            // of faults.
            if (i % 2 == 0) {
                m_targets.back()->fault = static_cast<target_fault>(1 + m_random() % 6);
            }
        }
        write_config();
        for (std::size_t i = 0; i < m_fleet.slots.size(); ++i) {
            m_fleet.start(i);
        }
        m_started = base::boot_clock::now();
        every(heartbeat_interval, 0ms, [this] { report_targets(); });
        every(request_interval, startup_time, [this] { send_request(); });
        every(fault_interval, startup_time, [this] { inject_fault(); });
        m_loop.schedule(m_started + startup_time + m_settings.duration, [this] { m_loop.stop(); });
        m_loop.run();
        return {m_checker.violations(), m_faults,          m_checker.runs, m_checker.responses,
                m_checker.successes,    m_checker.refusals};
    }

private:
    static http::client_settings client_settings()
    {
        http::client_settings settings;
        settings.connect_timeout = 300ms;
        return settings;
    }

    void every(std::chrono::milliseconds interval, std::chrono::milliseconds delay,
               const std::function<void()>& work)
    {
        m_loop.schedule(base::boot_clock::now() + delay, [this, interval, work] {
            work();
            every(interval, interval, work);
        });
    }

    void write_config()
    {
        ++m_version;
        char version[16];
        std::snprintf(version, sizeof version, "%08x", m_version);
        const json config{{"version", version},
                          {"services", {{{"name", "svc"}, {"coldStart", "1s"}, {"coldPerS", 0}}}},
                          {"tenants",
                           {{{"name", "large"}, {"apiKeys", {m_key}}, {"ratePerS", 0}},
                            {{"name", "small"},
                             {"apiKeys", {"small-key"}},
                             {"ratePerS", small_account.rate},
                             {"burst", small_account.burst}}}},
                          {"hosts",
                           {{{"host", "a.example"},
                             {"paths", {route("safe", "safe"), route("once", "unsafe")}}}}}};
        m_store.rows.set("op", "config", config.dump());
    }

    static json route(const std::string& name, const std::string& kind)
    {
        return {{"name", name},        {"prefix", "/" + name + "/"}, {"kind", kind},
                {"timeout", "1500ms"}, {"targetLatency", "300ms"},   {"service", "svc"},
                {"maxAttempts", 2},    {"sessionAffinity", true}};
    }

    void add_target()
    {
        const std::string id = "t" + std::to_string(m_targets.size());
        m_targets.push_back(std::make_unique<soak_target>(m_loop, id, m_checker, m_random()));
        report(*m_targets.back());
    }

    void report(const soak_target& target)
    {
        m_store.rows.set("servers", target.id(), target.row(++m_sequence));
    }

    void report_targets()
    {
        for (const auto& target : m_targets) {
            if (target->last_allowed_request == base::time_point::max()) {
                report(*target);
            }
        }
    }

    void send_request()
    {
        const std::size_t host = m_random() % m_fleet.slots.size();
        const bool is_non_idempotent = m_random() % 3 == 0;
        const bool is_small = m_random() % 4 == 0;
        const std::string id = "r" + std::to_string(++m_requests);
        const std::string key = is_small ? "small-key" : m_random() % 50 == 0 ? m_old_key : m_key;
        const bool is_withdrawn = key != m_key && !is_small && !m_old_key.empty() &&
                                  base::boot_clock::now() > m_old_key_until;
        http::client_request request;
        request.address = m_fleet.entry_address(host);
        request.head = {is_non_idempotent ? "POST" : "GET",
                        is_non_idempotent ? "/once/x" : "/safe/x",
                        "a.example",
                        {{"x-attempt-id", id},
                         {"x-key", key},
                         {"x-deadline-ms", "1500"},
                         {"cookie", "X-Affinity-Key=" + std::to_string(m_random() % 40)}}};
        request.body = is_non_idempotent ? "order" : "";
        request.deadline = base::boot_clock::now() + 4s;
        const std::uint64_t number = m_requests;
        m_calls[number] = m_client.fetch(
            std::move(request), 1U << 20U,
            [this, id, number, is_withdrawn](
                const base::result<std::pair<http::response_head, std::string>>& fetch_result,
                bool) {
                const int status =
                    base::is_ok(fetch_result) ? base::value_of(fetch_result).first.status : 0;
                const bool is_complete =
                    status != 200 || base::value_of(fetch_result).second == expected_body(id);
                m_checker.on_response(id, status, is_complete, base::boot_clock::now());
                if (is_withdrawn && status == 200 && !m_is_disturbed) {
                    m_checker.on_violation("key: " + id + " was served with a withdrawn key");
                }
                m_loop.schedule(base::boot_clock::now(), [this, number] { m_calls.erase(number); });
            });
    }

    void record_fault(const std::string& what)
    {
        const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
            base::boot_clock::now() - m_started);
        m_faults.push_back(std::to_string(now.count()) + " ms " + what);
    }

    void inject_fault()
    {
        const std::size_t host = m_random() % m_fleet.slots.size();
        const std::size_t target = m_random() % m_targets.size();
        const std::uint64_t kind = m_random() % 12;
        const std::uint64_t choice = m_random();
        switch (kind) {
        case 0:
        case 1:
            restart(host, kind == 0 ? SIGKILL : SIGTERM);
            return;
        case 2:
            pause(host, 300ms + std::chrono::milliseconds(choice % 2500));
            return;
        case 3:
            record_fault("reload " + m_fleet.slots[host].name);
            m_fleet.slots[host].running->send_signal(SIGHUP);
            return;
        case 4:
            disturb_store(static_cast<store_fault>(1 + choice % 3));
            return;
        case 5:
            record_fault("new configuration");
            write_config();
            return;
        case 6:
            replace_key();
            return;
        case 7:
            drain(*m_targets[target]);
            return;
        default:
            m_targets[target]->fault = static_cast<target_fault>(choice % 7);
            record_fault(m_targets[target]->id() + " fault " + std::to_string(choice % 7));
            return;
        }
    }

    void restart(std::size_t host, int signal)
    {
        host_slot& slot = m_fleet.slots[host];
        if (slot.is_paused) {
            return;
        }
        record_fault((signal == SIGKILL ? "kill " : "stop ") + slot.name);
        slot.running->send_signal(signal);
        // The process may use its whole grace period, and its address is in use until it exits.
        await_end(host, base::boot_clock::now() + 6s);
    }

    void await_end(std::size_t host, base::time_point deadline)
    {
        host_slot& slot = m_fleet.slots[host];
        slot.is_paused = true;
        if (slot.running->is_running() && base::boot_clock::now() < deadline) {
            m_loop.schedule(base::boot_clock::now() + 50ms,
                            [this, host, deadline] { await_end(host, deadline); });
            return;
        }
        if (slot.running->is_running()) {
            m_checker.on_violation("stop: " + slot.name + " did not exit within its grace period");
            slot.running->send_signal(SIGKILL);
            slot.running->wait_exit(base::boot_clock::now() + 2s);
        }
        m_fleet.start(host);
    }

    void pause(std::size_t host, std::chrono::milliseconds duration)
    {
        host_slot& slot = m_fleet.slots[host];
        if (slot.is_paused) {
            return;
        }
        record_fault("pause " + slot.name + " for " + std::to_string(duration.count()) + " ms");
        slot.is_paused = true;
        m_is_disturbed = true;
        slot.running->send_signal(SIGSTOP);
        m_loop.schedule(base::boot_clock::now() + duration, [this, host] {
            m_fleet.slots[host].running->send_signal(SIGCONT);
            m_fleet.slots[host].is_paused = false;
        });
        settle_after(duration);
    }

    void disturb_store(store_fault fault)
    {
        record_fault("store fault " + std::to_string(static_cast<int>(fault)));
        m_store.fault = fault;
        m_is_disturbed = true;
        m_loop.schedule(base::boot_clock::now() + 1500ms,
                        [this] { m_store.fault = store_fault::none; });
        settle_after(1500ms);
    }

    /// Resumes the checks of the time bounds 5 s after the end of the latest host pause or store
    /// fault.
    void settle_after(std::chrono::milliseconds duration)
    {
        const std::uint64_t disturbance = ++m_disturbances;
        m_loop.schedule(base::boot_clock::now() + duration + 5s,
                        [this, disturbance] { m_is_disturbed = disturbance != m_disturbances; });
    }

    void replace_key()
    {
        m_old_key = m_key;
        m_key = "key-" + std::to_string(m_random());
        m_old_key_until = base::boot_clock::now() + key_bound;
        record_fault("withdraw key");
        write_config();
    }

    void drain(soak_target& target)
    {
        if (target.is_draining || m_is_disturbed) {
            return;
        }
        record_fault("drain " + target.id());
        target.is_draining = true;
        report(target);
        m_loop.schedule(base::boot_clock::now() + drain_bound, [this, &target] {
            if (!m_is_disturbed) {
                target.last_allowed_request = base::boot_clock::now();
            }
            m_store.rows.set("servers", target.id(), std::nullopt);
            add_target();
        });
    }

    const soak_settings& m_settings;
    http::loop m_loop;
    std::mt19937_64 m_random;
    invariant_checker m_checker;
    store_service m_store;
    host_fleet m_fleet;
    http::client m_client;
    std::vector<std::unique_ptr<soak_target>> m_targets;
    std::map<std::uint64_t, std::unique_ptr<http::client_call>> m_calls;
    std::vector<std::string> m_faults;
    std::string m_key = "key-first";
    std::string m_old_key = "key-never";
    base::time_point m_old_key_until{};
    base::time_point m_started{};
    std::uint64_t m_requests = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_disturbances = 0;
    unsigned m_version = 0;
    bool m_is_disturbed = false;
};

} // namespace

soak_result run_soak(const soak_settings& settings)
{
    return soak_run(settings).run();
}

} // namespace snipeshore::soak
