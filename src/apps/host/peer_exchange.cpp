#include "apps/host/peer_exchange.h"

#include "apps/host/host_context.h"
#include "apps/host/notices.h"
#include "apps/host/peer_calls.h"
#include "apps/host/relayed_exchange.h"
#include "apps/host/request_parts.h"
#include "fleet/exchange_encoding.h"
#include "fleet/members.h"
#include "http/exchange.h"
#include "http/loop.h"
#include "http/server.h"
#include "limits/fleet_share.h"
#include "rows/table_follower.h"
#include "telemetry/event_log.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace snipeshore::apps {

using telemetry::severity;

namespace {

/// Much shorter than `fleet::contact_timeout`, so that a single lost message does not make a host
/// count as unresponsive.
constexpr std::chrono::milliseconds exchange_interval{1000};

/// Shorter than `exchange_interval`, so that a call to an unresponsive host ends before the next
/// message.
constexpr std::chrono::milliseconds exchange_timeout{900};
/// Time for the first bytes of a peer's rows.
constexpr std::chrono::milliseconds fetch_timeout{1500};
constexpr std::size_t max_exchange_bytes = 256U << 10U;
constexpr std::chrono::milliseconds peer_idle_timeout{10000};

/// Collects the notices of one event, such as the end of a target with several requests.
constexpr std::chrono::milliseconds spread_delay{20};

/// Bounds of the messages that notices cause, beside those of each second. In a larger fleet the
/// other hosts hear from those that were told.
constexpr std::chrono::milliseconds spread_interval{500};
constexpr std::size_t max_spread = 128;

/// Longest time that a request waits for token grants; hosts of other regions respond within 30 ms.
constexpr std::chrono::milliseconds borrow_timeout{60};

/// Number of hosts that are asked at the same time for a waiting request.
constexpr std::size_t borrow_peers = 4;

/// Delay before hosts are asked again after none had tokens left; by then some have refilled.
constexpr std::chrono::milliseconds borrow_retry_delay{150};

/// Hosts are asked for this multiple of the missing tokens, because some have none left.
constexpr double borrow_factor = 2;

void respond_text(http::exchange& request, int status, std::string text)
{
    http::response_head head;
    head.status = status;
    request.respond(std::move(head), std::move(text));
}

} // namespace

peer_exchange::peer_exchange(host_context& context, fleet::member& self,
                             std::map<std::string, rows::table_follower*> tables,
                             std::function<void(const std::shared_ptr<http::exchange>&)> on_relayed)
    : m_context(context), m_self(self), m_tables(std::move(tables)),
      m_on_relayed(std::move(on_relayed)), m_publisher(context.loop, m_tables),
      m_server(std::make_unique<http::server>(
          context.loop,
          [this](const std::shared_ptr<http::exchange>& request) { handle(request); }))
{}

peer_exchange::~peer_exchange() = default;

base::status peer_exchange::start()
{
    http::server_settings server;
    server.address = m_context.settings.control_address;
    server.request_timeout = peer_idle_timeout;
    server.max_request_bytes = max_body_bytes;
    const base::status listening = m_server->listen(server);
    if (base::is_ok(listening)) {
        tick();
    }
    return listening;
}

void peer_exchange::tick()
{
    contact_due_peers();
    m_context.loop.schedule(base::boot_clock::now() + exchange_interval, [this] { tick(); });
}

void peer_exchange::announce()
{
    for (const auto& [id, known] : m_context.members.members) {
        contact(known.info.control_address);
    }
}

void peer_exchange::spread()
{
    if (m_is_spread_scheduled) {
        return;
    }
    m_is_spread_scheduled = true;
    const base::time_point due =
        std::max(base::boot_clock::now() + spread_delay, m_spread_at + spread_interval);
    m_context.loop.schedule(due, [this] {
        m_is_spread_scheduled = false;
        m_spread_at = base::boot_clock::now();
        for (const fleet::member& peer :
             fleet::live_peers(m_context.members, m_self.id.value(), max_spread, m_spread_at)) {
            contact(peer.control_address);
        }
    });
}

void peer_exchange::contact_due_peers()
{
    const unsigned interval = fleet::remote_interval_s(m_context.members);
    const bool wants_tokens = !make_message(true).wanted.empty();
    unsigned position = 0;
    for (const auto& [id, known] : m_context.members.members) {
        const bool is_local = known.info.failure_domain == m_self.failure_domain;
        // The response to a peer's call tells it the same as a call of this host would.
        const bool is_due = is_local || (position + m_ticks) % interval == 0;
        if (is_due && (wants_tokens || !has_called_lately(id, is_local ? 1 : interval))) {
            contact(known.info.control_address);
        }
        ++position;
    }
    ++m_ticks;
    // Seeds may be stale, so they are used only while no other host is known.
    if (m_context.members.members.empty()) {
        for (const std::string& address : m_context.settings.seeds) {
            contact(address);
        }
    }
}

void peer_exchange::contact(const std::string& address)
{
    if (address == m_self.control_address) {
        return;
    }
    send(address, make_message(true), exchange_timeout, m_calls[address], [] {});
}

bool peer_exchange::has_called_lately(const base::host_id& peer, unsigned interval) const
{
    const auto called = m_called_at.find(peer);
    return called != m_called_at.end() &&
           base::boot_clock::now() - called->second < exchange_interval * interval * 3 / 4;
}

void peer_exchange::send(const std::string& address, const fleet::exchange_message& message,
                         std::chrono::milliseconds timeout,
                         std::unique_ptr<http::client_call>& call, std::function<void()> done)
{
    http::client_request request =
        make_peer_request(address, "POST", std::string(exchange_path), timeout);
    request.body = fleet::encode(message);
    call = m_context.client.fetch(
        std::move(request), max_exchange_bytes,
        [this, address, done = std::move(done)](
            const base::result<std::pair<http::response_head, std::string>>& reply, bool /*sent*/) {
            if (base::is_ok(reply)) {
                on_reply(address, base::value_of(reply).second);
            }
            done();
        });
}

bool peer_exchange::borrow(const base::account_id& account, std::function<void()> done)
{
    const base::time_point now = base::boot_clock::now();
    borrow_state& state = m_borrow_states[account];
    if (!state.waiting.empty()) {
        state.waiting.push_back(std::move(done));
        return true;
    }
    const std::size_t owner_count = limits::share_owner_count(
        m_context.limits[account], fleet::possible_host_count(m_context.members));
    std::vector<fleet::member> peers =
        fleet::first_peers(m_context.members, account.value(), owner_count, now);
    if (now < state.pause_until || peers.empty()) {
        return false;
    }
    // Hosts of the own failure domain respond sooner. The order is random within each group, so
    // that not all hosts use up the tokens of the same host.
    const auto first_remote =
        std::stable_partition(peers.begin(), peers.end(), [&](const auto& peer) {
            return peer.failure_domain == m_self.failure_domain;
        });
    std::shuffle(peers.begin(), first_remote, m_context.random);
    std::shuffle(first_remote, peers.end(), m_context.random);
    const std::size_t peer_count = std::min(borrow_peers, peers.size());
    peers.resize(peer_count);
    state.waiting.push_back(std::move(done));
    state.calls.clear();
    state.calls.resize(peer_count);
    state.open_calls = peer_count;
    const double missing = limits::missing_tokens(m_context.shares[account]);
    for (std::size_t i = 0; i < peer_count; ++i) {
        fleet::exchange_message message;
        message.from = m_self;
        message.wanted[account] = missing * borrow_factor / static_cast<double>(peer_count);
        send(peers[i].control_address, message, borrow_timeout, state.calls[i],
             [this, account] { on_borrow_reply(account); });
    }
    return true;
}

void peer_exchange::on_borrow_reply(const base::account_id& account)
{
    borrow_state& state = m_borrow_states[account];
    --state.open_calls;
    const base::time_point now = base::boot_clock::now();
    const bool is_enough = limits::missing_tokens(m_context.shares[account]) <= 0;
    if ((!is_enough && state.open_calls > 0) || state.waiting.empty()) {
        return;
    }
    if (!is_enough) {
        state.pause_until = now + borrow_retry_delay;
    }
    const auto waiting = std::exchange(state.waiting, {});
    for (const auto& done : waiting) {
        done();
    }
}

void peer_exchange::on_reply(const std::string& address, std::string_view text)
{
    const auto message = fleet::parse_exchange(text);
    if (!base::is_ok(message)) {
        telemetry::log_event(severity::warning, "peer_message_unreadable",
                             {{"peer", address}, {"cause", base::error_of(message).detail}});
        return;
    }
    process_message(base::value_of(message));
    const base::time_point now = base::boot_clock::now();
    for (const auto& [account, tokens] : base::value_of(message).granted) {
        limits::receive_grant(m_context.shares[account], tokens, now);
    }
}

void peer_exchange::handle(const std::shared_ptr<http::exchange>& request)
{
    const std::string& path = request->head().path;
    if (path.starts_with(relay_prefix)) {
        m_on_relayed(request);
    } else if (path == exchange_path) {
        handle_exchange(*request);
    } else if (path.starts_with(rows_prefix)) {
        m_publisher.handle(request);
    } else {
        respond_text(*request, 404, "");
    }
}

void peer_exchange::handle_exchange(http::exchange& request)
{
    const auto message = fleet::parse_exchange(request.body());
    if (!base::is_ok(message)) {
        telemetry::log_event(
            severity::warning, "peer_message_unreadable",
            {{"peer", request.peer_address()}, {"cause", base::error_of(message).detail}});
        respond_text(request, 400, "");
        return;
    }
    process_message(base::value_of(message));
    m_called_at[base::value_of(message).from.id] = base::boot_clock::now();
    fleet::exchange_message reply = make_message(false);
    const base::time_point now = base::boot_clock::now();
    for (const auto& [account, wanted] : base::value_of(message).wanted) {
        const auto share = m_context.shares.find(account);
        if (share == m_context.shares.end()) {
            continue;
        }
        const double granted =
            limits::grant_tokens(share->second, wanted, now, now + exchange_interval);
        if (granted > 0) {
            reply.granted[account] = granted;
        }
    }
    respond_text(request, 200, fleet::encode(reply));
}

void peer_exchange::on_store_lost()
{
    m_publisher.on_store_lost();
}

void peer_exchange::on_rows_changed(const std::string& table)
{
    m_publisher.on_rows_changed(table);
}

fleet::exchange_message peer_exchange::make_message(bool includes_demand)
{
    fleet::exchange_message message;
    m_self.reads_store = std::any_of(m_tables.begin(), m_tables.end(), [](const auto& entry) {
        return entry.second->is_store_reachable();
    });
    message.from = m_self;
    for (const auto& [table, follower] : m_tables) {
        message.versions[table] = follower->replica().version;
        if (follower->replica().era > 0) {
            message.eras[table] = follower->replica().era;
        }
    }
    const base::time_point now = base::boot_clock::now();
    message.notices = fleet::notices_to_tell(m_context.notices, now);
    for (auto& [service, pool] : m_context.pools) {
        follow_load(pool, make_view(m_context, now));
        message.loads[service] = pool.home_load.domain;
    }
    if (!includes_demand) {
        return message;
    }
    const std::size_t peers = std::max<std::size_t>(
        m_context.members.members.size() / fleet::remote_interval_s(m_context.members), 1);
    for (auto& [account, share] : m_context.shares) {
        const double wanted = limits::wanted_tokens(share, now, now + exchange_interval);
        if (wanted >= 1) {
            // All peers of an interval are asked at the same time, so each is asked for its
            // fraction of the tokens, and for some more.
            message.wanted[account] = wanted * 2 / static_cast<double>(peers);
        }
    }
    return message;
}

void peer_exchange::process_message(const fleet::exchange_message& message)
{
    const base::time_point now = base::boot_clock::now();
    const auto known = m_context.members.members.find(message.from.id);
    const bool is_status_change = known == m_context.members.members.end() ||
                                  !fleet::is_live(m_context.members, known->second, now) ||
                                  known->second.info.state != message.from.state ||
                                  known->second.info.incarnation != message.from.incarnation;
    const bool is_store_back = known != m_context.members.members.end() &&
                               !known->second.info.reads_store && message.from.reads_store;
    if (!fleet::record_contact(m_context.members, message.from, now)) {
        return;
    }
    if (is_store_back) {
        m_context.on_store_contact_at_peer();
    }
    if (is_status_change) {
        telemetry::log_event(
            severity::info, "host_heard",
            {{"host", message.from.id.value()},
             {"failure_domain", message.from.failure_domain.value()},
             {"incarnation", message.from.incarnation.value()},
             {"state", static_cast<int>(message.from.state)},
             {"hosts", static_cast<std::uint64_t>(m_context.members.members.size() + 1)}});
    }
    apply_notices(m_context, message, now);
    for (const auto& [service, load] : message.loads) {
        const auto pool = m_context.pools.find(service);
        if (pool != m_context.pools.end()) {
            pool->second.domain_loads[message.from.failure_domain] = {load, now};
        }
    }
    compare_versions(message);
}

void peer_exchange::compare_versions(const fleet::exchange_message& message)
{
    for (const auto& [table, version] : message.versions) {
        const auto follower = m_tables.find(table);
        const auto found_era = message.eras.find(table);
        const std::uint64_t era = found_era == message.eras.end() ? 0 : found_era->second;
        if (follower == m_tables.end() ||
            !rows::is_newer(era, version, follower->second->replica())) {
            continue;
        }
        // If the table changes rarely, a newer version at a peer means that this host's own call no
        // longer gets responses.
        if (follower->second->is_expected_current(base::boot_clock::now())) {
            continue;
        }
        // The peer has no changes that continue from a version of another era.
        const bool continues = era == follower->second->replica().era;
        fetch_rows(message.from.control_address, table,
                   continues ? follower->second->replica().version : 0);
    }
}

void peer_exchange::fetch_rows(const std::string& address, const std::string& table,
                               std::uint64_t after)
{
    if (m_fetches.contains(table)) {
        return;
    }
    rows::table_follower* follower = m_tables.at(table);
    const std::string path = rows_path(table, after, {});
    m_fetches[table] = m_context.client.fetch(
        make_rows_request(address, path, fetch_timeout), max_update_bytes,
        [this, follower, table, address, era = follower->replica().era](const peer_reply& reply,
                                                                        bool /*sent*/) {
            const auto update = parse_rows_reply(reply);
            // Changes after a version of another era do not continue from the replica.
            if (base::is_ok(update) &&
                (base::value_of(update).is_full || follower->replica().era == era)) {
                telemetry::log_event(severity::info, "rows_from_peer",
                                     {{"table", table},
                                      {"peer", address},
                                      {"version", base::value_of(update).version},
                                      {"era", base::value_of(update).era}});
                follower->apply_peer_update(base::value_of(update));
                for (const rows::row& row : base::value_of(update).rows) {
                    m_context.on_change_at_peer(table, row.version);
                }
            }
            m_context.loop.schedule(base::boot_clock::now(),
                                    [this, table] { m_fetches.erase(table); });
        });
}

} // namespace snipeshore::apps
