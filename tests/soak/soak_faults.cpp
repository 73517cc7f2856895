#include "tests/soak/soak_run.h"

#include <algorithm>
#include <csignal>

// Faults and planned work of soak_run.
namespace snipeshore::soak {

namespace {

using namespace std::chrono_literals;

/// Longest time after a drain is written to the store in which the target may still get requests.
constexpr auto drain_bound = 3500ms;
/// Longest time after a key is replaced in the store in which the old key may still work.
constexpr auto key_bound = 3500ms;
/// From SIGTERM to SIGKILL.
constexpr auto grace = 6000ms;
/// Short enough that all time bounds still hold.
constexpr auto max_hold_up = 800ms;
constexpr auto exit_check_interval = 50ms;
/// The time bounds hold again this long after the end of a host pause or store fault.
constexpr auto settle_time = 5000ms;
constexpr auto store_fault_time = 1500ms;
/// Longest silence of the store; longer than any call of a host waits.
constexpr auto max_silence = 10000ms;
/// Age of the copy with which a lost store comes back, and duration of the outage before.
constexpr auto min_copy_age = 3000ms;
constexpr auto max_copy_age = 7000ms;
constexpr auto min_outage = 200ms;
constexpr auto max_outage = 1500ms;
constexpr std::size_t max_hosts_at_once = 3;

} // namespace

std::chrono::milliseconds soak_run::random_time(std::chrono::milliseconds limit)
{
    return std::chrono::milliseconds(m_random() % static_cast<std::uint64_t>(limit.count()));
}

void soak_run::record_fault(const std::string& what)
{
    const auto now =
        std::chrono::duration_cast<std::chrono::milliseconds>(base::boot_clock::now() - m_started);
    m_faults.push_back(std::to_string(now.count()) + " ms " + what);
}

void soak_run::inject_fault()
{
    switch (m_settings.faults) {
    case fault_set::planned:
        inject_planned_work();
        return;
    case fault_set::restored:
        if (m_is_restoring) {
            inject_change();
        } else {
            restore_store();
        }
        return;
    case fault_set::silent:
        if (m_store.fault == store_fault::none && !m_is_disturbed && m_random() % 4 == 0) {
            disturb_store(store_fault::unresponsive, m_random());
        }
        return;
    case fault_set::all:
        if (m_random() % 3 == 0) {
            inject_planned_work();
        } else {
            inject_unplanned_fault();
        }
        return;
    }
}

void soak_run::inject_unplanned_fault()
{
    const std::size_t host = m_random() % m_fleet.slots.size();
    const std::size_t target = m_random() % m_targets.size();
    const std::uint64_t kind = m_random() % 9;
    const std::uint64_t choice = m_random();
    switch (kind) {
    case 0:
        restart(host, SIGKILL);
        return;
    case 1:
        pause(host, 300ms + std::chrono::milliseconds(choice % 2500));
        return;
    case 2:
        disturb_store(static_cast<store_fault>(1 + choice % 3), choice / 3);
        return;
    case 3:
        restore_store();
        return;
    default:
        m_targets[target]->set_fault(static_cast<target_fault>(choice % target_faults));
        record_fault(m_targets[target]->id() + " fault " + std::to_string(choice % target_faults));
        return;
    }
}

void soak_run::inject_planned_work()
{
    switch (m_random() % 5) {
    case 0:
    case 1:
        stop_several();
        return;
    case 2:
        stop_twice(m_random() % m_fleet.slots.size());
        return;
    default:
        inject_change();
        return;
    }
}

void soak_run::inject_change()
{
    soak_target& target = *m_targets[m_random() % m_targets.size()];
    switch (m_random() % 6) {
    case 0:
        reload_several();
        return;
    case 1:
        record_fault("new configuration");
        write_config();
        return;
    case 2:
        replace_key();
        return;
    case 3:
        drain(target);
        return;
    case 4:
        remove_without_drain(target);
        return;
    default:
        target.set_fault(target.fault() == target_fault::none ? target_fault::slow
                                                              : target.fault());
        record_fault(target.id() + " slow");
        return;
    }
}

void soak_run::restart(std::size_t host, int signal)
{
    host_slot& slot = m_fleet.slots[host];
    // A process that has just started has not installed its signal handlers.
    if (slot.is_suspended || slot.is_ending || !is_serving(host)) {
        return;
    }
    record_fault((signal == SIGKILL ? "kill " : "stop ") + slot.name);
    if (signal == SIGKILL) {
        disconnect_callers(host);
    }
    slot.is_ending = true;
    if (signal == SIGTERM && m_random() % 2 == 0) {
        hold_up(host);
        return;
    }
    slot.running->send_signal(signal);
    // The process may use its whole grace period, and its address is in use until it exits.
    await_end(host, signal, base::boot_clock::now() + grace);
}

void soak_run::hold_up(std::size_t host)
{
    // On a busy machine, a process does not run for moments, so that its timers are due at the same
    // time as the signal arrives.
    m_fleet.slots[host].running->send_signal(SIGSTOP);
    m_loop.schedule(base::boot_clock::now() + random_time(max_hold_up), [this, host] {
        record_fault("stop after a hold-up " + m_fleet.slots[host].name);
        m_fleet.slots[host].running->send_signal(SIGTERM);
        m_fleet.slots[host].running->send_signal(SIGCONT);
        await_end(host, SIGTERM, base::boot_clock::now() + grace);
    });
}

void soak_run::await_end(std::size_t host, int signal, base::time_point deadline)
{
    host_slot& slot = m_fleet.slots[host];
    if (slot.running->is_running() && base::boot_clock::now() < deadline) {
        m_loop.schedule(base::boot_clock::now() + exit_check_interval,
                        [this, host, signal, deadline] { await_end(host, signal, deadline); });
        return;
    }
    if (slot.running->is_running()) {
        m_checker.on_violation("stop: " + slot.name + " did not exit within its grace period");
        slot.running->send_signal(SIGKILL);
        slot.running->wait_exit(base::boot_clock::now() + 2s);
    } else if (const int status = *slot.running->wait_exit({}); signal == SIGTERM && status != 0) {
        m_checker.on_violation("stop: " + slot.name + " exited with status " +
                               std::to_string(status));
    }
    start_host(host);
}

void soak_run::stop_several()
{
    const std::size_t limit = std::min(max_hosts_at_once, m_fleet.slots.size() - 1);
    const std::size_t count = 1 + m_random() % limit;
    const std::size_t first = m_random() % m_fleet.slots.size();
    for (std::size_t i = 0; i < count; ++i) {
        restart((first + i) % m_fleet.slots.size(), SIGTERM);
    }
    if (m_random() % 2 == 0) {
        m_loop.schedule(base::boot_clock::now() + random_time(300ms), [this] {
            record_fault("new configuration during a stop");
            write_config();
        });
    }
}

void soak_run::stop_twice(std::size_t host)
{
    restart(host, SIGTERM);
    const base::time_point started = m_fleet.slots[host].started;
    m_loop.schedule(base::boot_clock::now() + random_time(1000ms), [this, host, started] {
        const host_slot& slot = m_fleet.slots[host];
        if (slot.is_ending && slot.started == started) {
            record_fault("second SIGTERM " + slot.name);
            slot.running->send_signal(SIGTERM);
        }
    });
}

void soak_run::reload_several()
{
    const std::uint64_t count = 1 + m_random() % 5;
    for (std::uint64_t i = 0; i < count; ++i) {
        m_loop.schedule(base::boot_clock::now() + random_time(200ms), [this] {
            const std::size_t host = m_random() % m_fleet.slots.size();
            if (!is_serving(host)) {
                return;
            }
            record_fault("reload " + m_fleet.slots[host].name);
            m_fleet.write_settings(host, ++m_reloads % 10);
            m_fleet.slots[host].running->send_signal(SIGHUP);
        });
    }
}

void soak_run::pause(std::size_t host, std::chrono::milliseconds duration)
{
    host_slot& slot = m_fleet.slots[host];
    if (slot.is_suspended || slot.is_ending) {
        return;
    }
    record_fault("pause " + slot.name + " for " + std::to_string(duration.count()) + " ms");
    disconnect_callers(host);
    slot.is_suspended = true;
    m_is_disturbed = true;
    slot.running->send_signal(SIGSTOP);
    m_loop.schedule(base::boot_clock::now() + duration, [this, host] {
        m_fleet.slots[host].running->send_signal(SIGCONT);
        m_fleet.slots[host].is_suspended = false;
    });
    settle_after(duration);
}

void soak_run::disturb_store(store_fault fault, std::uint64_t choice)
{
    if (m_store.fault == store_fault::down) {
        return;
    }
    const bool is_silence = fault == store_fault::unresponsive;
    const std::chrono::milliseconds longer(
        is_silence ? choice % (max_silence - store_fault_time).count() : 0);
    const std::chrono::milliseconds time = store_fault_time + longer;
    record_fault("store fault " + std::to_string(static_cast<int>(fault)) + " for " +
                 std::to_string(time.count()) + " ms");
    m_store.fault = fault;
    m_is_disturbed = true;
    settle_after(time);
    m_loop.schedule(
        base::boot_clock::now() + time, [this, fault, is_silence, disturbance = m_disturbances] {
            if (m_store.fault != fault) {
                return;
            }
            m_store.fault = store_fault::none;
            if (is_silence && disturbance == m_disturbances) {
                // What is confirmed from now on is in force in time.
                m_is_disturbed = false;
                m_old_key_until = std::max(m_old_key_until, base::boot_clock::now() + key_bound);
                record_fault("new configuration after the silence");
                write_config();
            }
        });
}

/// Keeps a copy of the store, which is lost some seconds later and comes back with the copy.
void soak_run::restore_store()
{
    if (m_is_restoring) {
        return;
    }
    m_is_restoring = true;
    record_fault("copy of the store");
    m_store.rows.save();
    const auto age = min_copy_age + random_time(max_copy_age - min_copy_age);
    // Each restored store misses at least one change.
    m_loop.schedule(base::boot_clock::now() + random_time(age), [this] { replace_key(); });
    m_loop.schedule(base::boot_clock::now() + age, [this] { lose_store(); });
}

void soak_run::lose_store()
{
    record_fault("store lost");
    m_store.go_down();
    m_store_lost = base::boot_clock::now();
    m_has_old_rows = true;
    m_is_disturbed = true;
    const auto outage = min_outage + random_time(max_outage - min_outage);
    m_loop.schedule(m_store_lost + outage, [this] { return_store(); });
    settle_after(outage);
}

void soak_run::return_store()
{
    record_fault("store restored");
    m_store.come_back_restored();
    m_store_returned = base::boot_clock::now();
    for (const host_slot& slot : m_fleet.slots) {
        if (may_know_old_rows(slot)) {
            accept_old_rows();
        }
    }
    m_loop.schedule(m_store_returned + random_time(write_again_time), [this] {
        record_fault("configuration written again");
        write_config_again();
    });
    for (const auto& target : m_targets) {
        m_loop.schedule(m_store_returned + random_time(write_again_time), [this, &one = *target] {
            if (!one.is_removed) {
                report(one);
            }
        });
    }
    m_loop.schedule(m_store_returned + expiry_time, [this] {
        for (const auto& target : m_targets) {
            if (target->is_removed) {
                remove_row(*target);
            }
        }
    });
    m_loop.schedule(m_store_returned + settle_time, [this] {
        m_has_old_rows = false;
        m_is_restoring = false;
    });
}

/// A host that starts from an earlier content of the store cannot know which targets are gone.
void soak_run::accept_old_rows()
{
    for (const auto& target : m_targets) {
        target->last_allowed_request = base::time_point::max();
    }
}

/// Resumes the checks of the time bounds after the end of the latest host pause or store fault.
void soak_run::settle_after(std::chrono::milliseconds duration)
{
    const std::uint64_t disturbance = ++m_disturbances;
    m_loop.schedule(base::boot_clock::now() + duration + settle_time,
                    [this, disturbance] { m_is_disturbed = disturbance != m_disturbances; });
}

void soak_run::replace_key()
{
    m_old_key = m_key;
    m_key = "key-" + std::to_string(m_random());
    m_old_key_until = base::boot_clock::now() + key_bound;
    record_fault("withdraw key");
    write_config();
    const std::uint64_t disturbance = m_disturbances;
    m_loop.schedule(m_old_key_until, [this, disturbance, key = m_old_key] {
        if (!m_is_disturbed && disturbance == m_disturbances) {
            m_dead_keys.push_back(key);
        }
    });
}

void soak_run::drain(soak_target& target)
{
    if (target.is_draining || target.is_removed || m_is_disturbed) {
        return;
    }
    record_fault("drain " + target.id());
    target.is_draining = true;
    report(target);
    m_loop.schedule(base::boot_clock::now() + drain_bound, [this, &target] {
        remove_row(target);
        end_of_use(target);
    });
}

void soak_run::remove_without_drain(soak_target& target)
{
    if (target.is_draining || target.is_removed || m_is_disturbed) {
        return;
    }
    record_fault("remove " + target.id());
    remove_row(target);
    m_loop.schedule(base::boot_clock::now() + drain_bound, [this, &target] { end_of_use(target); });
}

void soak_run::remove_row(soak_target& target)
{
    target.is_removed = true;
    if (m_store.fault != store_fault::down) {
        m_store.rows.set("servers", target.id(), std::nullopt);
    }
}

void soak_run::end_of_use(soak_target& target)
{
    if (!m_is_disturbed) {
        target.last_allowed_request = base::boot_clock::now();
    }
    add_target();
}

} // namespace snipeshore::soak
