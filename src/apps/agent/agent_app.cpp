#include "apps/agent/agent_app.h"

#include "apps/agent/dump.h"
#include "apps/common/loop_dispatch.h"
#include "http/loop.h"
#include "telemetry/event_log.h"

#include <nlohmann/json.hpp>
#include <prometheus/gauge.h>

#include <utility>

namespace snipeshore::apps {

namespace {

constexpr std::chrono::milliseconds tick_interval{100};

// Time for the last replies to local processes, which show the host as leaving, to reach the
// sockets.
constexpr std::chrono::milliseconds finish_delay{100};

store::store_settings store_settings_of(const agent_app_settings& settings)
{
    store::store_settings store;
    store.address = settings.platform_address;
    store.client_id = settings.core.self.host.value();
    return store;
}

} // namespace

agent_app::agent_app(http::loop& loop, agent_app_settings settings)
    : m_loop(loop), m_settings(std::move(settings)),
      m_node(with_loop_dispatch(m_settings.node, loop)), m_calls(m_node),
      m_store(loop, store_settings_of(m_settings)), m_core(m_settings.core, m_store, m_calls,
                                                           {[] { return base::boot_clock::now(); },
                                                            [this] {
                                                                stop();
                                                            }}),
      m_admin(loop, m_metrics,
              {[this] {
                   auto dump = dump_agent(m_core);
                   dump["settings"] = settings_dump();
                   return dump;
               },
               [this] {
                   return m_core.documents().get("config").version.value() > 0 && !m_is_stopping;
               },
               [this] {
                   refresh_metrics();
               }})
{}

base::status agent_app::start()
{
    const base::status listening = m_node.start(m_core.service(), {});
    if (!base::is_ok(listening)) {
        return listening;
    }
    if (!m_settings.admin_address.empty()) {
        const base::status admin = m_admin.listen(m_settings.admin_address);
        if (!base::is_ok(admin)) {
            return admin;
        }
    }
    telemetry::log_event(telemetry::severity::info, "started",
                         {{"host", m_settings.core.self.host.value()},
                          {"address", m_node.bound_address()},
                          {"incarnation", m_settings.core.self.incarnation.value()}});
    tick();
    return {};
}

void agent_app::stop()
{
    if (std::exchange(m_is_stopping, true)) {
        return;
    }
    telemetry::log_event(telemetry::severity::info, "stopping", {});
    m_loop.schedule(base::boot_clock::now() + m_settings.stop_deadline - finish_delay,
                    [this] { finish(); });
    m_core.leave(
        [this] { m_loop.schedule(base::boot_clock::now() + finish_delay, [this] { finish(); }); });
}

void agent_app::tick()
{
    if (m_is_finished) {
        return;
    }
    m_core.tick();
    m_loop.schedule(base::boot_clock::now() + tick_interval, [this] { tick(); });
}

void agent_app::finish()
{
    if (std::exchange(m_is_finished, true)) {
        return;
    }
    m_node.stop();
    m_loop.stop();
}

void agent_app::refresh_metrics()
{
    for (const auto& item : m_core.documents().versions()) {
        m_metrics
            .gauge("snipeshore_document_version", "Version of the document in use on this host.",
                   {{"name", item.name}})
            .Set(static_cast<double>(item.version));
        const auto state = m_core.poller().state_of(item.name);
        const bool alarm =
            state == documents::store_state::older || state == documents::store_state::diverged;
        m_metrics
            .gauge("snipeshore_store_restored",
                   "1 if the store's version of the document is older than the fleet's or has "
                   "diverged.",
                   {{"name", item.name}})
            .Set(alarm ? 1 : 0);
    }
    std::map<std::string, double> members{{"live", 0}, {"leaving", 0}, {"dead", 0}};
    for (const auto& [host, item] : m_core.members().members) {
        const auto status = item.record.status;
        members[status == inner::host_status::live   ? "live"
                : status == inner::host_status::dead ? "dead"
                                                     : "leaving"] += 1;
    }
    for (const auto& [status, count] : members) {
        m_metrics
            .gauge("snipeshore_members", "Number of known hosts by status.", {{"status", status}})
            .Set(count);
    }
    m_metrics
        .gauge("snipeshore_contact_age_seconds",
               "Time since the last contact with the store or another failure domain.")
        .Set(std::chrono::duration<double>(m_core.contact_age()).count());
}

} // namespace snipeshore::apps
