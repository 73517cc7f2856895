#include "apps/host/evidence_store.h"

#include "fleet/exchange_encoding.h"
#include "telemetry/event_log.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace snipeshore::apps {

using telemetry::severity;

namespace {

/// Within this time most requests that were at a target when it ended get their response elsewhere.
constexpr std::chrono::milliseconds unconfirmed_delay{1000};

/// Outdated evidence in the store costs an innocent request one more trial at most.
constexpr std::chrono::milliseconds clear_delay{2000};

constexpr std::chrono::milliseconds min_write_interval{500};
constexpr std::chrono::milliseconds min_backoff{500};
constexpr std::chrono::milliseconds max_backoff{8000};

/// Writes that are not urgent are spread so that the fleet makes half as many each second as one
/// part of the store handles.
constexpr std::chrono::milliseconds write_spread_per_host{10};

/// Rows of processes that have ended are removed by those that start.
constexpr std::size_t max_removals = 16;

std::chrono::milliseconds unix_time()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

base::duration next_backoff(base::duration backoff)
{
    return std::clamp<base::duration>(backoff * 2, min_backoff, max_backoff);
}

} // namespace

evidence_store::evidence_store(http::loop& loop, rows::row_store& store, std::mt19937_64& random,
                               evidence_store_settings settings)
    : m_loop(loop), m_store(store), m_random(random), m_settings(std::move(settings))
{}

evidence_store::~evidence_store()
{
    m_loop.cancel(m_read_timer);
    m_loop.cancel(m_write_timer);
}

void evidence_store::start()
{
    read("");
}

bool evidence_store::is_loaded() const
{
    return m_is_loaded;
}

void evidence_store::read(const std::string& from)
{
    m_read_call = m_store.read(m_settings.table, from,
                               [this](const base::result<rows::page>& page) { on_page(page); });
}

void evidence_store::on_page(const base::result<rows::page>& page)
{
    if (!base::is_ok(page)) {
        m_read.clear();
        m_outdated.clear();
        m_read_backoff = next_backoff(m_read_backoff);
        m_read_timer = m_loop.schedule(base::boot_clock::now() + m_read_backoff, [this] {
            m_read_timer = 0;
            start();
        });
        return;
    }
    const std::vector<rows::row>& rows = base::value_of(page).rows;
    for (const rows::row& one : rows) {
        on_row(one);
    }
    if (base::value_of(page).has_more && !rows.empty()) {
        read(rows.back().key + '\0'); // The next key in order.
        return;
    }
    m_is_loaded = true;
    std::stable_sort(m_read.begin(), m_read.end(),
                     [](const fleet::notice& left, const fleet::notice& right) {
                         return left.observed_at < right.observed_at;
                     });
    telemetry::log_event(severity::info, "evidence_read",
                         {{"notices", static_cast<std::uint64_t>(m_read.size())},
                          {"outdated_rows", static_cast<std::uint64_t>(m_outdated.size())}});
    const std::vector<fleet::notice> notices = std::exchange(m_read, {});
    remove_outdated();
    m_settings.on_loaded(notices);
}

void evidence_store::on_row(const rows::row& one)
{
    if (one.removed || one.key == m_settings.key) {
        return;
    }
    const auto row = fleet::parse_stored_notices(one.value);
    if (!base::is_ok(row)) {
        telemetry::log_event(severity::warning, "evidence_row_unreadable",
                             {{"key", one.key}, {"cause", base::error_of(row).detail}});
        return;
    }
    const std::vector<fleet::notice> notices =
        crash_evidence::read_row(base::value_of(row), base::boot_clock::now(), unix_time());
    if (crash_evidence::is_outdated(base::value_of(row), unix_time())) {
        m_outdated.push_back(one.key);
    }
    for (const fleet::notice& known : notices) {
        crash_evidence::note_stored(m_evidence, known);
    }
    m_read.insert(m_read.end(), notices.begin(), notices.end());
}

void evidence_store::remove_outdated()
{
    m_outdated.resize(std::min(m_outdated.size(), max_removals));
    for (const std::string& key : m_outdated) {
        m_removals.push_back(
            m_store.write(m_settings.table, key, std::nullopt, [key](const base::status& removed) {
                if (!base::is_ok(removed)) {
                    telemetry::log_event(severity::info, "evidence_row_kept",
                                         {{"key", key}, {"cause", base::error_of(removed).detail}});
                }
            }));
    }
    m_outdated.clear();
}

void evidence_store::keep(const fleet::notice& made, bool is_confirmed)
{
    crash_evidence::keep_notice(m_evidence, made,
                                is_confirmed ? base::boot_clock::now() : later(unconfirmed_delay));
    schedule_write();
}

void evidence_store::clear(const fleet::notice& cleared, crash_evidence::keep_clearance kept)
{
    crash_evidence::clear_request(m_evidence, cleared, kept, later(clear_delay));
    schedule_write();
}

void evidence_store::on_new_era()
{
    crash_evidence::on_row_lost(m_evidence, later(base::duration{0}));
    schedule_write();
}

void evidence_store::drop_expired(base::time_point now)
{
    crash_evidence::drop_expired(m_evidence, now);
    schedule_write();
}

base::time_point evidence_store::later(base::duration delay)
{
    const base::duration spread =
        write_spread_per_host * static_cast<std::int64_t>(m_settings.host_count());
    std::uniform_int_distribution<base::duration::rep> part(0, spread.count());
    return base::boot_clock::now() + delay + base::duration(part(m_random));
}

void evidence_store::schedule_write()
{
    if (!m_evidence.write_by.has_value() || m_write_call != nullptr) {
        return; // The end of the call in flight schedules the next one.
    }
    const base::duration pause = std::max<base::duration>(min_write_interval, m_write_backoff);
    const bool has_written = m_last_write != base::time_point{};
    const base::time_point due =
        has_written ? std::max(*m_evidence.write_by, m_last_write + pause) : *m_evidence.write_by;
    if (m_write_timer != 0 && m_write_due <= due) {
        return;
    }
    m_loop.cancel(m_write_timer);
    m_write_due = due;
    m_write_timer = m_loop.schedule(due, [this] {
        m_write_timer = 0;
        write();
    });
}

void evidence_store::write()
{
    if (!m_evidence.write_by.has_value()) {
        return;
    }
    m_last_write = base::boot_clock::now();
    crash_evidence::on_row_sent(m_evidence);
    std::optional<std::string> value;
    if (!m_evidence.notices.notices.empty()) {
        value = fleet::encode(crash_evidence::make_row(m_evidence, m_last_write, unix_time()));
    }
    m_write_call = m_store.write(m_settings.table, m_settings.key, value,
                                 [this](const base::status& written) { on_written(written); });
}

void evidence_store::on_written(const base::status& written)
{
    m_write_call.reset();
    if (base::is_ok(written)) {
        m_write_backoff = base::duration{0};
        crash_evidence::on_row_written(m_evidence);
    } else {
        m_write_backoff = next_backoff(m_write_backoff);
        telemetry::log_event(severity::warning, "evidence_not_stored",
                             {{"cause", base::error_of(written).detail},
                              {"retry_ms", base::to_ms(m_write_backoff)}});
        crash_evidence::on_row_lost(m_evidence, base::boot_clock::now() + m_write_backoff);
    }
    schedule_write();
}

} // namespace snipeshore::apps
