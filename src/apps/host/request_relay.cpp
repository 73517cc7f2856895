#include "apps/host/request_relay.h"

#include "apps/host/forward_task.h"
#include "apps/host/host_context.h"
#include "apps/host/relay_task.h"
#include "apps/host/relayed_exchange.h"
#include "apps/host/request_parts.h"
#include "fleet/host_choice.h"
#include "fleet/members.h"
#include "routing/route_table.h"

#include <charconv>
#include <cstdint>
#include <string>
#include <utility>

namespace snipeshore::apps {

namespace {

constexpr int status_unavailable = 503;

/// Version of the configuration at the host that relays the request; 0 if it names none.
std::uint64_t config_version_of(const http::request_head& head)
{
    const auto text = http::find_header(head.headers, relay_config_header).value_or("");
    std::uint64_t version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    return version;
}

} // namespace

request_relay::request_relay(host_context& context, const fleet::member& self)
    : m_context(context), m_self(self)
{}

request_relay::~request_relay() = default;

bool request_relay::take(const std::shared_ptr<http::exchange>& exchange)
{
    const auto& routes = m_context.routes;
    if (!m_context.reach.is_cut || m_context.is_closing || routes == nullptr) {
        return false;
    }
    const http::request_head& head = exchange->head();
    const auto route = routing::find_route(*routes, head.authority, head.path);
    if (!base::is_ok(route)) {
        return false;
    }
    const auto account =
        account_of(*routes, *base::value_of(route), head.headers, m_context.settings.names.key);
    if (!base::is_ok(account)) {
        return false;
    }
    return take_over(exchange, *base::value_of(route), base::value_of(account));
}

bool request_relay::take_over(const std::shared_ptr<http::exchange>& exchange,
                              const routing::route& route, const routing::account* account)
{
    const bool is_relayed = dynamic_cast<const relayed_exchange*>(exchange.get()) != nullptr;
    if (!m_context.reach.is_cut || is_relayed || m_tasks.size() >= m_context.max_tasks) {
        return false;
    }
    std::vector<fleet::member> hosts = find_hosts(route, account);
    if (hosts.empty()) {
        return false;
    }
    const base::time_point deadline =
        request_deadline(exchange->head().headers, m_context.settings.names.time_left, &route,
                         exchange->received_at());
    const auto task =
        std::make_shared<relay_task>(m_context, *this, exchange, deadline, std::move(hosts));
    m_tasks.insert(task);
    task->start();
    return true;
}

std::vector<fleet::member> request_relay::find_hosts(const routing::route& route,
                                                     const routing::account* account) const
{
    const auto region_of = [this](const base::failure_domain_id& domain) {
        return apps::region_of(m_context, domain);
    };
    fleet::host_list ready = fleet::ready_hosts(m_context.members, m_self, base::boot_clock::now());
    std::erase_if(ready, [&](const fleet::member* host) {
        return !routing::is_home(route, account, region_of(host->failure_domain));
    });
    std::vector<fleet::member> found;
    for (const fleet::member* host : fleet::relay_hosts(ready, m_self, region_of)) {
        found.push_back(*host);
    }
    return found;
}

void request_relay::receive(const std::shared_ptr<http::exchange>& request)
{
    // A host with an older configuration may not know the route or the key yet.
    const bool is_config_current = m_context.routes != nullptr &&
                                   m_context.routes->version >= config_version_of(request->head());
    const bool may_take = is_config_current && m_self.state == fleet::member_state::ready &&
                          !m_context.reach.is_cut &&
                          fleet::has_room_for_relayed(m_context.tasks.size(), m_context.max_tasks);
    if (!may_take) {
        http::response_head head;
        head.status = status_unavailable;
        head.headers.push_back({std::string(relay_refused_header), "1"});
        request->respond(std::move(head), "");
        return;
    }
    forward_task::start(m_context, std::make_shared<relayed_exchange>(request));
}

bool request_relay::is_idle() const
{
    return m_tasks.empty();
}

void request_relay::end_by_stop()
{
    const auto running = m_tasks;
    for (const std::shared_ptr<relay_task>& task : running) {
        task->end_by_stop();
    }
}

std::size_t request_relay::open_calls(const base::host_id& host) const
{
    const auto found = m_open_calls.find(host);
    return found == m_open_calls.end() ? 0 : found->second;
}

void request_relay::on_call_started(const base::host_id& host)
{
    ++m_open_calls[host];
}

void request_relay::on_call_ended(const base::host_id& host)
{
    const auto found = m_open_calls.find(host);
    if (found != m_open_calls.end() && --found->second == 0) {
        m_open_calls.erase(found);
    }
}

void request_relay::remove(const std::shared_ptr<relay_task>& task)
{
    m_tasks.erase(task);
}

} // namespace snipeshore::apps
