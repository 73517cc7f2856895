#include "apps/host/relay_store.h"

#include "apps/host/host_context.h"
#include "apps/host/peer_calls.h"
#include "fleet/members.h"
#include "http/loop.h"
#include "telemetry/event_log.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace snipeshore::apps {

namespace {

/// The reader responds at once to a change and otherwise after at least this time. An unresponsive
/// reader must be detected well before the time at which a leaving target must receive no more
/// requests.
constexpr std::chrono::milliseconds min_relay_wait{500};

/// Time-out added to the wait; hosts of a failure domain are less than 1 ms apart.
constexpr std::chrono::milliseconds relay_timeout{300};

/// Time for which a failed reader is bypassed; it may be busy or unable to reach the store itself.
constexpr std::chrono::milliseconds avoid_reader_time{3000};

/// Pause before the next of the hosts that call the store is asked, when one has failed.
constexpr std::chrono::milliseconds next_caller_pause{300};

/// A relayed call waits for the wait of a store call divided by this, but at least
/// `min_relay_wait`.
constexpr int store_wait_divisor = 2;

/// Parses the reader's response into a page. Errors: `stale` and `store_unavailable`, also if the
/// reader does not know the era yet.
base::result<rows::page> parse_page(const peer_reply& reply, std::uint64_t era)
{
    const auto update = parse_rows_reply(reply);
    if (!base::is_ok(update)) {
        return base::error_of(update);
    }
    if (base::value_of(update).era < era) {
        return base::error{base::error_kind::store_unavailable,
                           "the reader does not know that the store was restored"};
    }
    if (base::value_of(update).is_full) {
        // The reader does not have all changes, so the whole table is read again.
        return base::error{base::error_kind::stale,
                           "the reader does not have all changes after the requested version"};
    }
    return rows::page{base::value_of(update).rows,    false,
                      base::value_of(update).version, true,
                      base::value_of(update).era,     base::value_of(update).store_reachable_since};
}

} // namespace

/// A call to the reader that falls back to the store, or to other hosts, if the reader fails.
class relay_store::relayed_call final : public rows::store_call {
public:
    explicit relayed_call(http::loop& loop) : m_loop(loop) {}
    ~relayed_call() override
    {
        m_loop.cancel(m_timer);
    }
    relayed_call(const relayed_call&) = delete;
    relayed_call& operator=(const relayed_call&) = delete;
    relayed_call(relayed_call&&) = delete;
    relayed_call& operator=(relayed_call&&) = delete;

    void set_peer_call(std::unique_ptr<http::client_call> call)
    {
        m_peer_call = std::move(call);
    }
    void set_store_call(std::unique_ptr<rows::store_call> call)
    {
        m_store_call = std::move(call);
    }
    void continue_later(base::time_point due, std::function<void()> work)
    {
        m_timer = m_loop.schedule(due, std::move(work));
    }

private:
    http::loop& m_loop;
    http::timer_id m_timer = 0;
    std::unique_ptr<http::client_call> m_peer_call;
    std::unique_ptr<rows::store_call> m_store_call;
};

struct relay_store::changes_query {
    std::string table;
    std::uint64_t after = 0;
    std::chrono::milliseconds wait{0};
    page_callback done;
    std::size_t failures = 0; ///< Hosts that have failed.
};

relay_store::relay_store(host_context& context, const fleet::member& self, rows::row_store& store,
                         std::function<void(std::uint64_t)> on_era)
    : m_context(context), m_self(self), m_store(store), m_on_era(std::move(on_era))
{}

relay_store::~relay_store() = default;

std::unique_ptr<rows::store_call> relay_store::read(const std::string& table,
                                                    const std::string& from, page_callback done)
{
    return m_store.read(table, from, note_era(std::move(done)));
}

std::unique_ptr<rows::store_call> relay_store::read_changes(const std::string& table,
                                                            std::uint64_t after,
                                                            std::chrono::milliseconds wait,
                                                            page_callback done)
{
    const base::time_point now = base::boot_clock::now();
    const auto reader = fleet::store_reader(m_context.members, m_self, now);
    done = note_era(std::move(done));
    const bool calls_store =
        fleet::store_rank(m_context.members, m_self, now) < fleet::max_store_callers;
    if (!reader.has_value() || (calls_store && now < m_avoid_reader_until)) {
        return m_store.read_changes(table, after, wait, std::move(done));
    }
    auto call = std::make_unique<relayed_call>(m_context.loop);
    ask_host(*call, *reader,
             std::make_shared<changes_query>(changes_query{table, after, wait, std::move(done)}));
    return call;
}

void relay_store::ask_host(relayed_call& call, const fleet::member& reader,
                           const std::shared_ptr<changes_query>& query)
{
    // Rarely changing tables may wait longer, because their versions are also compared in every
    // message between hosts.
    const std::chrono::milliseconds reader_wait =
        std::max(min_relay_wait, query->wait / store_wait_divisor);
    const std::string path = rows_path(query->table, query->after, reader_wait);
    call.set_peer_call(m_context.client.fetch(
        make_rows_request(reader.control_address, path, reader_wait + relay_timeout),
        max_update_bytes,
        [this, &call, id = reader.id.value(), query](const peer_reply& reply, bool /*sent*/) {
            const base::result<rows::page> page = parse_page(reply, m_era);
            if (base::is_ok(page) || base::error_of(page).kind == base::error_kind::stale) {
                const auto done = query->done;
                done(page);
                return;
            }
            avoid_reader(id, base::error_of(page));
            on_reader_failed(call, query);
        }));
}

void relay_store::on_reader_failed(relayed_call& call, const std::shared_ptr<changes_query>& query)
{
    // The failure of one host is not reported to the follower, which would treat it as an outage of
    // the store.
    const base::time_point now = base::boot_clock::now();
    if (fleet::store_rank(m_context.members, m_self, now) < fleet::max_store_callers) {
        // What has cut the reader off from the store may have cut this host's idle connections,
        // too.
        m_store.renew_connections();
        call.set_store_call(
            m_store.read_changes(query->table, query->after, query->wait, query->done));
        return;
    }
    const std::vector<fleet::member> callers = fleet::store_callers(m_context.members, m_self, now);
    if (++query->failures >= callers.size()) {
        const auto done = query->done;
        done(base::error{base::error_kind::store_unavailable,
                         "no host of the failure domain reaches the store"});
        return;
    }
    call.continue_later(
        now + next_caller_pause,
        [this, &call, query, next = callers[query->failures]] { ask_host(call, next, query); });
}

relay_store::page_callback relay_store::note_era(page_callback done)
{
    return [this, done = std::move(done)](base::result<rows::page> page) {
        if (base::is_ok(page) && base::value_of(page).era > m_era) {
            m_era = base::value_of(page).era;
            m_context.loop.schedule(base::boot_clock::now(), [this] { m_on_era(m_era); });
        }
        done(std::move(page));
    };
}

void relay_store::avoid_reader(const std::string& reader, const base::error& cause)
{
    m_avoid_reader_until = base::boot_clock::now() + avoid_reader_time;
    telemetry::log_event(telemetry::severity::info, "reader_failed",
                         {{"host", reader}, {"cause", cause.detail}});
}

std::unique_ptr<rows::store_call> relay_store::write(const std::string& table,
                                                     const std::string& key,
                                                     const std::optional<std::string>& value,
                                                     status_callback done)
{
    return m_store.write(table, key, value, std::move(done));
}

} // namespace snipeshore::apps
