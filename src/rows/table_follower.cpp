#include "rows/table_follower.h"

#include "http/loop.h"
#include "telemetry/event_log.h"

#include <algorithm>
#include <utility>

namespace snipeshore::rows {

using telemetry::severity;

table_follower::table_follower(http::loop& loop, row_store& store, follow_settings settings,
                               change_callback on_change)
    : m_loop(loop), m_store(store), m_settings(std::move(settings)),
      m_on_change(std::move(on_change)), m_store_reachable_since(base::boot_clock::now()),
      m_retry(m_settings.initial_backoff)
{
    m_replica.is_repeat = m_settings.is_repeat;
}

table_follower::~table_follower()
{
    m_loop.cancel(m_timer);
}

void table_follower::start()
{
    schedule_next(std::chrono::milliseconds{0});
}

void table_follower::restart()
{
    m_call.reset();
    schedule_next(std::chrono::milliseconds{0});
}

void table_follower::schedule_next(std::chrono::milliseconds pause)
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.schedule(base::boot_clock::now() + pause, [this] {
        m_timer = 0;
        if (m_needs_all) {
            m_partial.clear();
            read_all({});
        } else {
            read_changes();
        }
    });
}

void table_follower::read_all(const std::string& from)
{
    m_call = m_store.read(m_settings.table, from,
                          [this](base::result<page> response) { on_all(std::move(response)); });
}

void table_follower::on_all(base::result<page> response)
{
    if (!base::is_ok(response)) {
        on_failure(base::error_of(response));
        return;
    }
    page& current = base::value_of(response);
    // Changes made between two pages are read again as changes after the lowest version of the
    // pages.
    m_partial_version =
        m_partial.empty() ? current.version : std::min(m_partial_version, current.version);
    std::move(current.rows.begin(), current.rows.end(), std::back_inserter(m_partial));
    if (current.has_more && !m_partial.empty()) {
        read_all(m_partial.back().key); // This row is read twice; the merge ignores the repeat.
        return;
    }
    on_success();
    if (m_partial_version < m_replica.version) {
        // The response is older than the replica, for example from a lagging store.
        telemetry::log_event(severity::warning, "table_read_older",
                             {{"table", m_settings.table},
                              {"version", m_partial_version},
                              {"era", current.era},
                              {"known", m_replica.version}});
        schedule_next(m_settings.initial_backoff);
        return;
    }
    const std::vector<row> changes = replace(m_replica, m_partial, m_partial_version);
    m_partial.clear();
    m_needs_all = false;
    m_is_loaded = true;
    telemetry::log_event(severity::info, "table_read",
                         {{"table", m_settings.table},
                          {"version", m_replica.version},
                          {"era", current.era},
                          {"rows", static_cast<std::uint64_t>(m_replica.rows.size())}});
    m_on_change(changes);
    schedule_next(m_settings.pause);
}

void table_follower::read_changes()
{
    m_call = m_store.read_changes(
        m_settings.table, m_replica.version, m_settings.wait,
        [this](base::result<page> response) { on_changes(std::move(response)); });
}

void table_follower::on_changes(base::result<page> response)
{
    if (!base::is_ok(response)) {
        const base::error& failure = base::error_of(response);
        if (failure.kind == base::error_kind::stale) {
            m_needs_all = true;
            telemetry::log_event(severity::warning, "table_history_gone",
                                 {{"table", m_settings.table}, {"version", m_replica.version}});
            schedule_next(std::chrono::milliseconds{0});
            return;
        }
        on_failure(failure);
        return;
    }
    on_success();
    const page& current = base::value_of(response);
    const std::vector<row> changes = merge(m_replica, current.rows);
    m_replica.version = std::max(m_replica.version, current.version);
    if (!changes.empty()) {
        m_on_change(changes);
    }
    schedule_next(current.is_pushed ? std::chrono::milliseconds{0} : m_settings.pause);
}

void table_follower::on_failure(const base::error& failure)
{
    if (m_is_store_reachable || m_retry == m_settings.initial_backoff) {
        telemetry::log_event(severity::warning, "store_lost",
                             {{"table", m_settings.table}, {"cause", failure.detail}});
    }
    m_is_store_reachable = false;
    schedule_next(m_retry);
    m_retry = std::min(m_retry * 2, m_settings.max_backoff);
}

void table_follower::on_success()
{
    m_retry = m_settings.initial_backoff;
    m_last_success = base::boot_clock::now();
    if (m_is_store_reachable) {
        return;
    }
    m_is_store_reachable = true;
    m_store_reachable_since = base::boot_clock::now();
    telemetry::log_event(severity::info, "store_in_touch",
                         {{"table", m_settings.table}, {"version", m_replica.version}});
}

void table_follower::apply_peer_update(const replica_update& update)
{
    const std::vector<row> changes = apply(m_replica, update);
    m_is_loaded = m_is_loaded || update.version > 0;
    if (!changes.empty()) {
        m_on_change(changes);
    }
}

const table_replica& table_follower::replica() const
{
    return m_replica;
}

bool table_follower::is_loaded() const
{
    return m_is_loaded;
}

bool table_follower::is_store_reachable() const
{
    return m_is_store_reachable;
}

bool table_follower::is_expected_current(base::time_point now) const
{
    // A waiting call would have returned the change by now; a poll may still be in its pause.
    return m_is_store_reachable && m_settings.wait.count() == 0 &&
           now - m_last_success < 2 * m_settings.pause;
}

base::time_point table_follower::store_reachable_since() const
{
    return m_store_reachable_since;
}

} // namespace snipeshore::rows
