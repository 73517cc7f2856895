#include "apps/host/relay_store.h"

#include "apps/host/host_context.h"
#include "apps/host/peer_calls.h"
#include "fleet/members.h"
#include "http/loop.h"
#include "telemetry/event_log.h"

#include <algorithm>
#include <utility>

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

/// A relayed call waits for the wait of a store call divided by this, but at least
/// `min_relay_wait`.
constexpr int store_wait_divisor = 2;

/// A call to the reader that falls back to the store if the reader fails.
class relayed_call final : public rows::store_call {
public:
    void set_peer_call(std::unique_ptr<http::client_call> call)
    {
        m_peer_call = std::move(call);
    }
    void set_store_call(std::unique_ptr<rows::store_call> call)
    {
        m_store_call = std::move(call);
    }

private:
    std::unique_ptr<http::client_call> m_peer_call;
    std::unique_ptr<rows::store_call> m_store_call;
};

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
    return rows::page{base::value_of(update).rows, false, base::value_of(update).version, true,
                      base::value_of(update).era};
}

} // namespace

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
    if (!reader.has_value() || now < m_avoid_reader_until) {
        return m_store.read_changes(table, after, wait, std::move(done));
    }
    // Rarely changing tables may wait longer, because their versions are also compared in every
    // message between hosts.
    const std::chrono::milliseconds reader_wait =
        std::max(min_relay_wait, wait / store_wait_divisor);
    const std::string path = rows_path(table, after, reader_wait);
    auto call = std::make_unique<relayed_call>();
    call->set_peer_call(m_context.client.fetch(
        make_rows_request(reader->control_address, path, reader_wait + relay_timeout),
        max_update_bytes,
        [this, call = call.get(), reader = reader->id.value(), table, after, wait,
         done = std::move(done)](const peer_reply& reply, bool /*sent*/) {
            const base::result<rows::page> page = parse_page(reply, m_era);
            if (base::is_ok(page) || base::error_of(page).kind == base::error_kind::stale) {
                done(page);
                return;
            }
            avoid_reader(reader, base::error_of(page));
            // The failure is not reported to the follower, which would treat it as an outage of the
            // store.
            call->set_store_call(m_store.read_changes(table, after, wait, done));
        }));
    return call;
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
