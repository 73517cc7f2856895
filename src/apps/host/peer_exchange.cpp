#include "apps/host/peer_exchange.h"

#include "apps/host/host_context.h"
#include "fleet/exchange_text.h"
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

/// Short beside `fleet::silent_after`, so that one lost message is no death.
constexpr std::chrono::milliseconds exchange_interval{1000};

/// Shorter than the interval: a silent connection is given up before the next message.
constexpr std::chrono::milliseconds exchange_timeout{900};
constexpr std::chrono::milliseconds fetch_timeout{1500};
constexpr std::size_t max_exchange_bytes = 256U << 10U;
constexpr std::size_t max_update_bytes = 8U << 20U;
constexpr std::chrono::milliseconds peer_idle_timeout{10000};

constexpr std::string_view exchange_path = "/fleet/exchange";
constexpr std::string_view rows_path = "/fleet/rows?";

http::client_request make_request(const std::string& address, std::string_view method,
                                  std::string path, std::chrono::milliseconds timeout)
{
    http::client_request request;
    request.address = address;
    request.head.method = method;
    request.head.path = std::move(path);
    request.head.authority = address;
    request.deadline = base::boot_clock::now() + timeout;
    return request;
}

void answer_text(http::exchange& request, int status, std::string text)
{
    http::response_head head;
    head.status = status;
    request.answer(std::move(head), std::move(text));
}

} // namespace

peer_exchange::peer_exchange(host_context& context, fleet::member& self,
                             std::map<std::string, rows::table_follower*> tables)
    : m_context(context), m_self(self), m_tables(std::move(tables)),
      m_server(std::make_unique<http::server>(
          context.loop, [this](const std::shared_ptr<http::exchange>& request) {
              handle(*request);
          }))
{}

peer_exchange::~peer_exchange() = default;

base::status peer_exchange::start()
{
    http::server_settings server;
    server.address = m_context.settings.control_address;
    server.request_timeout = peer_idle_timeout;
    const base::status listening = m_server->listen(server);
    if (base::is_ok(listening)) {
        tick();
    }
    return listening;
}

void peer_exchange::tick()
{
    announce();
    m_context.loop.schedule(base::boot_clock::now() + exchange_interval, [this] { tick(); });
}

void peer_exchange::announce()
{
    std::vector<std::string> addresses;
    for (const auto& [id, known] : m_context.members.members) {
        addresses.push_back(known.info.control_address);
    }
    // Seeds only help before anything is known: they may be stale.
    if (addresses.empty()) {
        addresses = m_context.settings.seeds;
    }
    for (const std::string& address : addresses) {
        if (address != m_self.control_address) {
            contact(address);
        }
    }
}

void peer_exchange::contact(const std::string& address)
{
    http::client_request request =
        make_request(address, "POST", std::string(exchange_path), exchange_timeout);
    request.body = fleet::to_text(make_message(true));
    m_calls[address] = m_context.client.fetch(
        std::move(request), max_exchange_bytes,
        [this, address](const base::result<std::pair<http::response_head, std::string>>& reply,
                        bool /*sent*/) {
            if (base::is_ok(reply)) {
                on_reply(address, base::value_of(reply).second);
            }
        });
}

void peer_exchange::on_reply(const std::string& address, std::string_view text)
{
    const auto message = fleet::parse_exchange(text);
    if (!base::is_ok(message)) {
        telemetry::log_event(
            severity::warning, "peer_message_unreadable",
            {{"peer", address}, {"cause", base::error_of(message).detail}});
        return;
    }
    hear(base::value_of(message));
    const base::time_point now = base::boot_clock::now();
    for (const auto& [account, tokens] : base::value_of(message).given) {
        limits::receive(m_context.shares[account], tokens, now);
    }
}

void peer_exchange::handle(http::exchange& request)
{
    const std::string& path = request.head().path;
    if (path == exchange_path) {
        answer_exchange(request);
    } else if (path.starts_with(rows_path)) {
        answer_rows(request);
    } else {
        answer_text(request, 404, "");
    }
}

void peer_exchange::answer_exchange(http::exchange& request)
{
    const auto message = fleet::parse_exchange(request.body());
    if (!base::is_ok(message)) {
        telemetry::log_event(severity::warning, "peer_message_unreadable",
                             {{"peer", request.peer_address()},
                              {"cause", base::error_of(message).detail}});
        answer_text(request, 400, "");
        return;
    }
    hear(base::value_of(message));
    fleet::exchange_message reply = make_message(false);
    const base::time_point now = base::boot_clock::now();
    for (const auto& [account, wanted] : base::value_of(message).wanted) {
        const auto share = m_context.shares.find(account);
        if (share == m_context.shares.end()) {
            continue;
        }
        const double given = limits::give(share->second, wanted, now, now + exchange_interval);
        if (given > 0) {
            reply.given[account] = given;
        }
    }
    answer_text(request, 200, fleet::to_text(reply));
}

void peer_exchange::answer_rows(http::exchange& request) const
{
    const std::string_view query = std::string_view(request.head().path).substr(rows_path.size());
    const std::size_t comma = query.find(',');
    const auto table = m_tables.find(std::string(query.substr(0, comma)));
    if (comma == std::string_view::npos || table == m_tables.end()) {
        answer_text(request, 404, "");
        return;
    }
    const std::uint64_t after =
        std::strtoull(std::string(query.substr(comma + 1)).c_str(), nullptr, 10);
    answer_text(request, 200,
                fleet::to_text(rows::update_after(table->second->copy(), after)));
}

fleet::exchange_message peer_exchange::make_message(bool wants)
{
    fleet::exchange_message message;
    message.from = m_self;
    for (const auto& [table, follower] : m_tables) {
        message.versions[table] = follower->copy().version;
    }
    if (!wants) {
        return message;
    }
    const base::time_point now = base::boot_clock::now();
    const std::size_t peers = std::max<std::size_t>(m_context.members.members.size(), 1);
    for (auto& [account, share] : m_context.shares) {
        const double wanted = limits::wanted_tokens(share, now, now + exchange_interval);
        if (wanted >= 1) {
            // Every peer is asked at once, so each for its part, and some for more.
            message.wanted[account] = wanted * 2 / static_cast<double>(peers);
        }
    }
    return message;
}

void peer_exchange::hear(const fleet::exchange_message& message)
{
    const base::time_point now = base::boot_clock::now();
    const auto known = m_context.members.members.find(message.from.id);
    const bool is_news = known == m_context.members.members.end() ||
                         !fleet::is_live(known->second, now) ||
                         known->second.info.state != message.from.state ||
                         known->second.info.incarnation != message.from.incarnation;
    if (!fleet::hear(m_context.members, message.from, now)) {
        return;
    }
    if (is_news) {
        telemetry::log_event(
            severity::info, "host_heard",
            {{"host", message.from.id.value()},
             {"failure_domain", message.from.failure_domain.value()},
             {"incarnation", message.from.incarnation.value()},
             {"state", static_cast<int>(message.from.state)},
             {"hosts", static_cast<std::uint64_t>(m_context.members.members.size() + 1)}});
    }
    compare_versions(message);
}

void peer_exchange::compare_versions(const fleet::exchange_message& message)
{
    for (const auto& [table, version] : message.versions) {
        const auto follower = m_tables.find(table);
        if (follower == m_tables.end() || version <= follower->second->copy().version) {
            continue;
        }
        // With a quiet table a newer version at a peer means that the own call has gone silent.
        if (follower->second->is_expected_current(base::boot_clock::now())) {
            continue;
        }
        fetch_rows(message.from.control_address, table);
    }
}

void peer_exchange::fetch_rows(const std::string& address, const std::string& table)
{
    if (m_fetches.contains(table)) {
        return;
    }
    rows::table_follower* follower = m_tables.at(table);
    const std::string path = std::string(rows_path) + table + "," +
                             std::to_string(follower->copy().version);
    m_fetches[table] = m_context.client.fetch(
        make_request(address, "GET", path, fetch_timeout), max_update_bytes,
        [this, follower, table,
         address](const base::result<std::pair<http::response_head, std::string>>& reply,
                  bool /*sent*/) {
            if (base::is_ok(reply)) {
                const auto update = fleet::parse_update(base::value_of(reply).second);
                if (base::is_ok(update)) {
                    telemetry::log_event(severity::info, "rows_from_peer",
                                         {{"table", table},
                                          {"peer", address},
                                          {"version", base::value_of(update).version}});
                    follower->take_from_peer(base::value_of(update));
                }
            }
            m_context.loop.schedule(base::boot_clock::now(),
                                    [this, table] { m_fetches.erase(table); });
        });
}

} // namespace snipeshore::apps
