#include "tests/soak/soak_run.h"

#include "tests/soak/operator_document.h"

#include <algorithm>
#include <utility>

namespace snipeshore::soak {

namespace {

using namespace std::chrono_literals;

constexpr quota_bounds small_account{20, 10, 5000ms, 0.1, 20};

/// Longest time from the publication of a configuration until all hosts in touch apply it.
constexpr auto config_bound = 2000ms;
/// A host is in touch after it has run undisturbed for this time.
constexpr auto contact_bound = 3000ms;
constexpr auto write_retry_interval = 100ms;
constexpr auto startup_time = 3000ms;
constexpr auto request_interval = 4ms;
constexpr auto open_caller_interval = 2ms;
constexpr auto fault_interval = 500ms;
constexpr auto host_check_interval = 100ms;
constexpr auto heartbeat_interval = 1000ms;
constexpr std::size_t open_callers_per_host = 8;

http::client_settings client_settings()
{
    http::client_settings settings;
    settings.connect_timeout = 300ms;
    return settings;
}

} // namespace

soak_run::soak_run(const soak_settings& settings)
    : m_settings(settings), m_random(settings.seed), m_checker(small_account), m_store(m_loop),
      m_fleet(settings.program, settings.earlier_program, settings.directory, settings.hosts,
              m_store.address()),
      m_client(m_loop, client_settings())
{}

soak_result soak_run::run()
{
    for (std::size_t i = 0; i < m_settings.targets; ++i) {
        add_target();
        // Half of the targets are faulty from the start, so that a short run covers many kinds of
        // faults.
        if (m_settings.faults == fault_set::all && i % 2 == 0) {
            m_targets.back()->set_fault(
                static_cast<target_fault>(1 + m_random() % (target_faults - 1)));
        }
    }
    m_started = base::boot_clock::now();
    write_config();
    for (std::size_t i = 0; i < m_fleet.slots.size(); ++i) {
        m_fleet.start(i);
    }
    add_open_callers();
    every(heartbeat_interval, 0ms, [this] { report_targets(); });
    every(host_check_interval, 0ms, [this] { check_hosts(); });
    every(open_caller_interval, startup_time, [this] { poll_open_callers(); });
    every(request_interval, startup_time, [this] { send_request(); });
    every(fault_interval, startup_time + fault_interval, [this] { inject_fault(); });
    m_loop.schedule(m_started + startup_time + m_settings.duration, [this] { m_loop.stop(); });
    m_loop.run();
    return {m_checker.violations(), m_faults,          m_checker.runs, m_checker.responses,
            m_checker.successes,    m_checker.refusals};
}

void soak_run::every(std::chrono::milliseconds interval, std::chrono::milliseconds delay,
                     const std::function<void()>& work)
{
    m_loop.schedule(base::boot_clock::now() + delay, [this, interval, work] {
        work();
        every(interval, interval, work);
    });
}

void soak_run::add_open_callers()
{
    for (std::size_t host = 0; host < m_fleet.slots.size(); ++host) {
        for (std::size_t i = 0; i < open_callers_per_host; ++i) {
            m_callers.push_back(std::make_unique<open_caller>(
                m_fleet.slots[host].name + "-open" + std::to_string(i), m_fleet.entry_address(host),
                m_checker, m_random()));
        }
    }
}

void soak_run::poll_open_callers()
{
    for (std::size_t i = 0; i < m_callers.size(); ++i) {
        if (!m_fleet.slots[i / open_callers_per_host].is_suspended) {
            m_callers[i]->poll(m_key);
        }
    }
}

bool soak_run::is_serving(std::size_t host) const
{
    for (std::size_t i = 0; i < open_callers_per_host; ++i) {
        if (m_callers[host * open_callers_per_host + i]->responses > 0) {
            return true;
        }
    }
    return false;
}

void soak_run::disconnect_callers(std::size_t host)
{
    for (std::size_t i = 0; i < open_callers_per_host; ++i) {
        m_callers[host * open_callers_per_host + i]->disconnect();
    }
}

void soak_run::start_host(std::size_t host)
{
    for (std::size_t i = 0; i < open_callers_per_host; ++i) {
        open_caller& caller = *m_callers[host * open_callers_per_host + i];
        caller.poll(m_key);
        caller.responses = 0;
    }
    m_fleet.start(host);
    if (m_has_old_rows) {
        accept_old_rows();
    }
}

bool soak_run::may_know_old_rows(const host_slot& slot) const
{
    return m_has_old_rows && slot.started > m_store_lost - contact_bound;
}

void soak_run::check_hosts()
{
    for (std::size_t host = 0; host < m_fleet.slots.size(); ++host) {
        host_slot& slot = m_fleet.slots[host];
        if (slot.is_ending || slot.running->is_running()) {
            continue;
        }
        m_checker.on_violation("exit: " + slot.name + " exited with status " +
                               std::to_string(*slot.running->wait_exit({})) +
                               " without a request to stop");
        start_host(host);
    }
}

void soak_run::write_config()
{
    ++m_version;
    write_config_again();
}

void soak_run::write_config_again()
{
    if (m_store.fault == store_fault::down) {
        m_loop.schedule(base::boot_clock::now() + write_retry_interval,
                        [this] { write_config_again(); });
        return;
    }
    m_store.rows.set("op", "config", operator_document(m_version, m_key, small_account));
    check_in_force(m_version, std::max(base::boot_clock::now(), m_store_returned + contact_bound));
}

void soak_run::check_in_force(unsigned version, base::time_point written)
{
    const std::uint64_t disturbance = m_disturbances;
    m_loop.schedule(written + config_bound, [this, version, disturbance] {
        if (m_is_disturbed || disturbance != m_disturbances) {
            return;
        }
        for (std::size_t host = 0; host < m_fleet.slots.size(); ++host) {
            const host_slot& slot = m_fleet.slots[host];
            if (!slot.is_ending && base::boot_clock::now() - slot.started > contact_bound) {
                probe(host, version);
            }
        }
    });
}

void soak_run::probe(std::size_t host, unsigned version)
{
    http::client_request request;
    request.address = m_fleet.entry_address(host);
    request.head = {"GET",
                    version_path(version) + "x",
                    "a.example",
                    {{"x-attempt-id", "probe" + std::to_string(++m_requests)}, {"x-key", m_key}}};
    request.deadline = base::boot_clock::now() + 4s;
    fetch(std::move(request), [this, host, version](int status, const std::string&) {
        if (status == 404) {
            m_checker.on_violation("config: " + m_fleet.slots[host].name +
                                   " does not apply version " + std::to_string(version));
        }
    });
}

void soak_run::add_target()
{
    const std::string id = "t" + std::to_string(m_targets.size());
    m_targets.push_back(std::make_unique<soak_target>(m_loop, id, m_checker, m_random()));
    report(*m_targets.back());
}

void soak_run::report(const soak_target& target)
{
    if (m_store.fault != store_fault::down) {
        m_store.rows.set("servers", target.id(), target.row(++m_sequence));
    }
}

void soak_run::report_targets()
{
    // After a restoration, each target reports at its own time.
    if (base::boot_clock::now() < m_store_returned + write_again_time) {
        return;
    }
    for (const auto& target : m_targets) {
        if (!target->is_removed) {
            report(*target);
        }
    }
}

void soak_run::fetch(http::client_request request,
                     std::function<void(int status, const std::string& body)> done)
{
    const std::uint64_t number = ++m_last_call;
    m_calls[number] = m_client.fetch(
        std::move(request), 1U << 20U,
        [this, number, done = std::move(done)](
            const base::result<std::pair<http::response_head, std::string>>& result, bool) {
            if (base::is_ok(result)) {
                done(base::value_of(result).first.status, base::value_of(result).second);
            } else {
                done(0, "");
            }
            m_loop.schedule(base::boot_clock::now(), [this, number] { m_calls.erase(number); });
        });
}

std::string soak_run::choose_key()
{
    const std::uint64_t choice = m_random() % 50;
    if (choice == 0) {
        return m_old_key;
    }
    return choice == 1 && !m_dead_keys.empty() ? m_dead_keys[m_random() % m_dead_keys.size()]
                                               : m_key;
}

void soak_run::send_request()
{
    const std::size_t host = m_random() % m_fleet.slots.size();
    const bool is_non_idempotent = m_random() % 3 == 0;
    const bool is_small = m_random() % 4 == 0;
    const std::string id = "r" + std::to_string(++m_requests);
    const std::string key = is_small ? "small-key" : choose_key();
    const bool is_dead =
        std::find(m_dead_keys.begin(), m_dead_keys.end(), key) != m_dead_keys.end();
    const bool is_withdrawn =
        is_dead || (key != m_key && !is_small && base::boot_clock::now() > m_old_key_until);
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
    fetch(std::move(request),
          [this, id, host, is_withdrawn, is_dead](int status, const std::string& body) {
              m_checker.on_response(id, status, status != 200 || body == expected_body(id),
                                    base::boot_clock::now());
              const bool is_in_force =
                  !m_is_disturbed || (is_dead && !may_know_old_rows(m_fleet.slots[host]));
              if (is_withdrawn && status == 200 && is_in_force) {
                  m_checker.on_violation("key: " + id + " was served with a withdrawn key");
              }
          });
}

soak_result run_soak(const soak_settings& settings)
{
    return soak_run(settings).run();
}

} // namespace snipeshore::soak
