#include "rows/table_follower.h"

#include "http/loop.h"
#include "telemetry/event_log.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace snipeshore::rows {

using telemetry::severity;

table_follower::table_follower(http::loop& loop, row_store& store, follow_settings settings,
                               change_callback on_change)
    : m_loop(loop), m_store(store), m_settings(std::move(settings)),
      m_on_change(std::move(on_change)), m_store_reachable_since(base::boot_clock::now()),
      m_last_news(m_store_reachable_since), m_retry(m_settings.initial_backoff)
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

void table_follower::on_era(std::uint64_t era)
{
    if (m_is_loaded && !m_needs_all && era > m_replica.era) {
        m_needs_all = true;
        restart();
    }
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
    m_call_sent = base::boot_clock::now();
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
    if (!m_partial.empty() && current.era != m_partial_era) {
        m_partial.clear(); // The pages are of different eras.
        schedule_next(m_settings.initial_backoff);
        return;
    }
    m_partial_era = current.era;
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
    if (std::tie(m_partial_era, m_partial_version) < std::tie(m_replica.era, m_replica.version)) {
        // The response is older than the replica, for example from a lagging store.
        log_older(m_partial_era, m_partial_version);
        schedule_next(m_settings.initial_backoff);
        return;
    }
    const std::vector<row> changes = update_replica(
        [this] { return replace(m_replica, m_partial, m_partial_version, m_partial_era); });
    m_partial.clear();
    m_needs_all = false;
    m_is_loaded = true;
    telemetry::log_event(severity::info, "table_read",
                         {{"table", m_settings.table},
                          {"version", m_replica.version},
                          {"era", m_replica.era},
                          {"rows", static_cast<std::uint64_t>(m_replica.rows.size())}});
    m_on_change(changes);
    schedule_next(m_settings.pause);
}

void table_follower::log_older(std::uint64_t era, std::uint64_t version) const
{
    telemetry::log_event(severity::warning, "table_read_older",
                         {{"table", m_settings.table},
                          {"version", version},
                          {"era", era},
                          {"known", m_replica.version},
                          {"known_era", m_replica.era}});
}

void table_follower::read_changes()
{
    m_call_sent = base::boot_clock::now();
    // The first call after a failure does not wait, so that its response shows that the store is
    // back, also if nothing has changed.
    const std::chrono::milliseconds wait =
        m_is_store_reachable ? m_settings.wait : std::chrono::milliseconds{0};
    m_call = m_store.read_changes(
        m_settings.table, m_replica.version, wait,
        [this](base::result<page> response) { on_changes(std::move(response)); });
}

void table_follower::on_changes(base::result<page> response)
{
    if (!base::is_ok(response)) {
        const base::error& failure = base::error_of(response);
        if (failure.kind == base::error_kind::stale) {
            m_needs_all = true;
            telemetry::log_event(severity::warning, "table_history_gone",
                                 {{"table", m_settings.table},
                                  {"version", m_replica.version},
                                  {"era", m_replica.era}});
            schedule_next(std::chrono::milliseconds{0});
            return;
        }
        on_failure(failure);
        return;
    }
    on_success();
    const page& current = base::value_of(response);
    learn_contact(current.store_reachable_since);
    if (current.era > m_replica.era) {
        // The store may have given out the requested version again, so the changes after it do not
        // continue from the replica.
        m_needs_all = true;
        schedule_next(std::chrono::milliseconds{0});
        return;
    }
    if (current.era < m_replica.era) {
        log_older(current.era, current.version);
        schedule_next(m_settings.initial_backoff);
        return;
    }
    const std::vector<row> changes = merge(m_replica, current.rows);
    m_replica.version = std::max(m_replica.version, current.version);
    if (!changes.empty()) {
        m_on_change(changes);
    }
    schedule_next(current.is_pushed ? std::chrono::milliseconds{0} : m_settings.pause);
}

template <typename Change>
std::vector<row> table_follower::update_replica(const Change& change)
{
    const std::uint64_t era = m_replica.era;
    const std::uint64_t version = m_replica.version;
    const std::vector<row> changes = change();
    if (m_replica.era != era && m_is_loaded) {
        m_store_reachable_since = base::boot_clock::now();
        m_store_restored_at = m_store_reachable_since;
        telemetry::log_event(severity::warning, "store_restored",
                             {{"table", m_settings.table},
                              {"era", m_replica.era},
                              {"era_before", era},
                              {"version", m_replica.version},
                              {"version_before", version},
                              {"changes", static_cast<std::uint64_t>(changes.size())}});
    }
    return changes;
}

void table_follower::on_failure(const base::error& failure)
{
    if (m_is_store_reachable || m_retry == m_settings.initial_backoff) {
        telemetry::log_event(
            severity::warning, "store_lost",
            {{"table", m_settings.table}, {"cause", failure.detail}, {"call_ms", call_ms()}});
    }
    m_is_store_reachable = false;
    schedule_next(m_retry);
    m_retry = std::min(m_retry * 2, m_settings.max_backoff);
}

void table_follower::on_success()
{
    const base::time_point now = base::boot_clock::now();
    const base::time_point before = std::exchange(m_last_success, now);
    m_retry = m_settings.initial_backoff;
    m_last_news = now;
    if (m_is_store_reachable) {
        return;
    }
    m_is_store_reachable = true;
    m_store_reachable_since = now;
    const double silent_ms = before == base::time_point{} ? 0 : base::to_ms(now - before);
    telemetry::log_event(severity::info, "store_in_touch",
                         {{"table", m_settings.table},
                          {"version", m_replica.version},
                          {"era", m_replica.era},
                          {"call_ms", call_ms()},
                          {"silent_ms", silent_ms}});
}

void table_follower::learn_contact(const std::optional<base::time_point>& store_reachable_since)
{
    if (store_reachable_since.has_value()) {
        m_store_reachable_since = std::max(m_store_reachable_since, *store_reachable_since);
    }
}

double table_follower::call_ms() const
{
    return base::to_ms(base::boot_clock::now() - m_call_sent);
}

std::optional<base::time_point> table_follower::last_response() const
{
    return m_last_success == base::time_point{} ? std::nullopt : std::optional(m_last_success);
}

std::optional<base::time_point> table_follower::call_sent_at() const
{
    return m_call == nullptr ? std::nullopt : std::optional(m_call_sent);
}

void table_follower::apply_peer_update(const replica_update& update)
{
    const base::time_point now = base::boot_clock::now();
    const base::time_point news_before = std::exchange(m_last_news, now);
    if (!m_is_store_reachable && now - news_before > m_settings.outage_gap) {
        m_store_reachable_since = now;
    }
    learn_contact(update.store_reachable_since);
    const std::uint64_t era = m_replica.era;
    const std::vector<row> changes = update_replica([&] { return apply(m_replica, update); });
    m_is_loaded = m_is_loaded || update.version > 0;
    const bool is_new_era = m_replica.era != era;
    if (!changes.empty() || is_new_era) {
        m_on_change(changes);
    }
    if (is_new_era) {
        restart(); // The call in flight asks for changes after a version of the former era.
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

std::optional<base::time_point> table_follower::store_restored_at() const
{
    return m_store_restored_at;
}

base::time_point table_follower::store_reachable_since() const
{
    return m_store_reachable_since;
}

} // namespace snipeshore::rows
