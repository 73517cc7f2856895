#include "apps/host/watched_store.h"

#include "contact/store_contact.h"
#include "telemetry/event_log.h"
#include "telemetry/metrics.h"

#include <prometheus/counter.h>

#include <algorithm>
#include <chrono>
#include <string_view>
#include <utility>
#include <vector>

namespace snipeshore::apps {

namespace {

/// A timer that is later than this was held up, for example by a suspension of the machine.
constexpr std::chrono::milliseconds stall_time{200};

/// After a stall, responses that have arrived meanwhile are read first.
constexpr std::chrono::milliseconds stall_grace{50};

/// Sorts after the keys of all rows, so that a probe returns none.
constexpr std::string_view after_all_keys = "~";

/// Returns whether the call has hung, see `contact::on_failure`.
bool record_end(contact::store_contact& contact, contact::call_id id, bool has_response)
{
    const base::time_point now = base::boot_clock::now();
    if (!has_response) {
        return contact::on_failure(contact, id, now);
    }
    contact::on_response(contact, id, now);
    return false;
}

bool is_response(const base::result<rows::page>& page)
{
    return base::is_ok(page) || base::error_of(page).kind == base::error_kind::stale;
}

} // namespace

struct watched_store::watched_call {
    contact::call_id id = 0;
    std::string table;
    std::uint64_t after = 0;    ///< Of a call for changes.
    base::duration own_time{};  ///< See `contact::on_call_sent`.
    page_callback on_page;      ///< Null for a write.
    status_callback on_written; ///< Null for a read.
    std::function<std::unique_ptr<rows::store_call>()> start;
    std::unique_ptr<rows::store_call> sent; ///< Null while the call is held.
};

struct watched_store::probe {
    base::time_point sent{};
    std::unique_ptr<rows::store_call> call;
};

class watched_store::handle final : public rows::store_call {
public:
    handle(watched_store& store, contact::call_id id) : m_store(store), m_id(id) {}
    ~handle() override
    {
        m_store.drop(m_id);
    }
    handle(const handle&) = delete;
    handle& operator=(const handle&) = delete;
    handle(handle&&) = delete;
    handle& operator=(handle&&) = delete;

private:
    watched_store& m_store;
    contact::call_id m_id;
};

watched_store::watched_store(http::loop& loop, rows::row_store& store, telemetry::metrics& metrics,
                             watched_store_settings settings)
    : m_loop(loop), m_store(store), m_metrics(metrics), m_settings(std::move(settings))
{}

watched_store::~watched_store()
{
    m_loop.cancel(m_timer);
}

std::unique_ptr<rows::store_call> watched_store::read(const std::string& table,
                                                      const std::string& from, page_callback done)
{
    auto call = std::make_shared<watched_call>();
    call->id = ++m_last_id;
    call->table = table;
    call->own_time = contact::whole_table_time;
    call->on_page = std::move(done);
    call->start = [this, id = call->id, table, from] {
        return m_store.read(
            table, from, [this, id](const base::result<rows::page>& page) { on_page(id, page); });
    };
    return add(call);
}

std::unique_ptr<rows::store_call> watched_store::read_changes(const std::string& table,
                                                              std::uint64_t after,
                                                              std::chrono::milliseconds wait,
                                                              page_callback done)
{
    auto call = std::make_shared<watched_call>();
    call->id = ++m_last_id;
    call->table = table;
    call->after = after;
    call->own_time = wait;
    call->on_page = std::move(done);
    call->start = [this, id = call->id, table, after, wait] {
        return m_store.read_changes(
            table, after, wait,
            [this, id](const base::result<rows::page>& page) { on_page(id, page); });
    };
    return add(call);
}

std::unique_ptr<rows::store_call> watched_store::write(const std::string& table,
                                                       const std::string& key,
                                                       const std::optional<std::string>& value,
                                                       status_callback done)
{
    auto call = std::make_shared<watched_call>();
    call->id = ++m_last_id;
    call->table = table;
    call->on_written = std::move(done);
    call->start = [this, id = call->id, table, key, value] {
        return m_store.write(table, key, value,
                             [this, id](const base::status& written) { on_written(id, written); });
    };
    return add(call);
}

void watched_store::renew_connections()
{
    if (m_calls.empty() && m_probes.empty()) {
        m_store.renew_connections();
    }
}

std::unique_ptr<rows::store_call> watched_store::add(const call_ptr& call)
{
    m_calls[call->id] = call;
    if (!is_silent()) {
        send(call);
        update();
    } else if (call->on_written != nullptr) {
        // Not held, since the value may be outdated when the store responds again.
        m_loop.schedule(base::boot_clock::now(), [this, id = call->id] {
            if (const call_ptr refused = take(id)) {
                fail(*refused, base::error_kind::store_unavailable);
            }
        });
    }
    return std::make_unique<handle>(*this, call->id);
}

void watched_store::send(const call_ptr& call)
{
    contact::on_call_sent(m_contact, call->id, call->own_time, base::boot_clock::now());
    call->sent = call->start();
}

watched_store::call_ptr watched_store::take(contact::call_id id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return nullptr;
    }
    call_ptr call = found->second;
    m_calls.erase(found);
    return call;
}

void watched_store::on_page(contact::call_id id, const base::result<rows::page>& page)
{
    const call_ptr call = take(id);
    if (call == nullptr) {
        return;
    }
    const bool has_hung = record_end(m_contact, id, is_response(page));
    call->on_page(page);
    finish(has_hung);
}

void watched_store::on_written(contact::call_id id, const base::status& written)
{
    const call_ptr call = take(id);
    if (call == nullptr) {
        return;
    }
    const bool has_hung = record_end(m_contact, id, base::is_ok(written));
    call->on_written(written);
    finish(has_hung);
}

void watched_store::fail(const watched_call& call, base::error_kind of_write)
{
    const std::string detail = "the store does not respond";
    if (call.on_page != nullptr) {
        call.on_page(base::error{base::error_kind::store_unavailable, detail});
    } else {
        call.on_written(base::error{of_write, detail});
    }
}

void watched_store::finish(bool has_hung)
{
    if (has_hung && !is_silent()) {
        begin_silence();
    }
    update();
}

void watched_store::drop(contact::call_id id)
{
    if (m_calls.erase(id) > 0) {
        contact::on_call_dropped(m_contact, id);
    }
}

void watched_store::on_peer_contact()
{
    contact::on_peer_contact(m_contact, base::boot_clock::now());
    update();
}

void watched_store::on_change_at_peer(const std::string& table, std::uint64_t version)
{
    for (const auto& [id, call] : m_calls) {
        const bool is_for_changes = call->after > 0;
        if (is_for_changes && call->table == table && call->after < version) {
            contact::on_missed_change(m_contact, id, base::boot_clock::now());
        }
    }
    update();
}

bool watched_store::is_silent() const
{
    return m_contact.silent_since.has_value();
}

void watched_store::update()
{
    const auto next = contact::next_check(m_contact);
    if (!next.has_value() || (m_timer != 0 && m_timer_due <= *next)) {
        return;
    }
    m_loop.cancel(m_timer);
    m_timer_due = std::max(*next, base::boot_clock::now());
    m_timer = m_loop.schedule(m_timer_due, [this] {
        m_timer = 0;
        check();
    });
}

void watched_store::check()
{
    const base::time_point now = base::boot_clock::now();
    if (now - m_timer_due > stall_time) {
        m_timer_due = now + stall_grace;
        m_timer = m_loop.schedule(m_timer_due, [this] {
            m_timer = 0;
            check();
        });
        return;
    }
    if (!is_silent() && contact::has_lost_call(m_contact, now)) {
        begin_silence();
    }
    if (contact::should_probe(m_contact, now)) {
        send_probe();
    }
    update();
}

void watched_store::begin_silence()
{
    contact::begin_silence(m_contact, base::boot_clock::now());
    m_probe_count = 0;
    const std::map<contact::call_id, call_ptr> lost = m_calls;
    telemetry::log_event(telemetry::severity::warning, "store_silent",
                         {{"lost_calls", static_cast<std::uint64_t>(lost.size())},
                          {"patience_ms", base::to_ms(contact::patience(m_contact))}});
    m_metrics
        .counter("snipeshore_store_silences_total",
                 "Times that calls to the store were given up since it did not respond.")
        .Increment();
    for (const auto& [id, call] : lost) {
        call->sent.reset();
    }
    m_store.renew_connections();
    for (const auto& [id, call] : lost) {
        if (take(id) != nullptr) { // A callback may have dropped it.
            fail(*call, base::error_kind::store_unknown);
        }
    }
    m_settings.on_change(true);
}

void watched_store::send_probe()
{
    const base::time_point now = base::boot_clock::now();
    const contact::call_id id = ++m_last_id;
    ++m_probe_count;
    contact::on_probe_sent(m_contact, m_settings.rank(), now);
    m_probes[id] = {now, m_store.read(m_settings.probed_table, std::string(after_all_keys),
                                      [this, id](const base::result<rows::page>& page) {
                                          on_probe_response(id, page);
                                      })};
}

void watched_store::on_probe_response(contact::call_id id, const base::result<rows::page>& page)
{
    const auto found = m_probes.find(id);
    if (found == m_probes.end()) {
        return;
    }
    const probe ended = std::move(found->second);
    m_probes.erase(found);
    if (base::is_ok(page)) {
        end_silence(ended.sent);
    }
}

void watched_store::end_silence(base::time_point probe_sent)
{
    const base::time_point now = base::boot_clock::now();
    telemetry::log_event(telemetry::severity::info, "store_responds",
                         {{"silent_ms", base::to_ms(now - *m_contact.silent_since)},
                          {"probes", static_cast<std::uint64_t>(m_probe_count)},
                          {"held_calls", static_cast<std::uint64_t>(m_calls.size())},
                          {"call_ms", base::to_ms(now - probe_sent)}});
    contact::end_silence(m_contact, probe_sent, now);
    m_probes.clear();
    const std::map<contact::call_id, call_ptr> held = m_calls;
    for (const auto& [id, call] : held) {
        if (call->on_page != nullptr) {
            send(call);
        }
    }
    m_settings.on_change(false);
    update();
}

} // namespace snipeshore::apps
