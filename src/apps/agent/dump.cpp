#include "apps/agent/dump.h"

#include "apps/agent/agent_core.h"

#include <nlohmann/json.hpp>

namespace snipeshore::apps {

namespace {

const char* name_of(inner::host_status status)
{
    switch (status) {
    case inner::host_status::live:
        return "live";
    case inner::host_status::leaving:
        return "leaving";
    case inner::host_status::dead:
        return "dead";
    }
    return "unknown";
}

const char* name_of(documents::store_state state)
{
    switch (state) {
    case documents::store_state::same:
        return "same";
    case documents::store_state::newer:
        return "newer";
    case documents::store_state::older:
        return "older";
    case documents::store_state::diverged:
        return "diverged";
    }
    return "unknown";
}

nlohmann::json versions_of(const std::vector<inner::document_version>& versions)
{
    auto all = nlohmann::json::object();
    for (const auto& item : versions) {
        all[item.name] = item.version;
    }
    return all;
}

nlohmann::json record_of(const inner::host_record& record)
{
    return {{"host", record.host.value()},
            {"failure_domain", record.failure_domain.value()},
            {"status", name_of(record.status)},
            {"incarnation", record.incarnation.value()},
            {"counter", record.counter},
            {"agent_address", record.agent_address},
            {"entry_incarnation", record.entry_incarnation.value()},
            {"entry_config_version", record.entry_config_version},
            {"ticket_epoch", record.ticket_epoch},
            {"versions", versions_of(record.versions)}};
}

nlohmann::json document_of(const agent_core& agent, const std::string& name)
{
    const auto& replica = agent.documents().get(name);
    return {{"version", replica.version.value()},
            {"digest", replica.digest},
            {"bytes", replica.text.size()},
            {"patches_kept", replica.history.size()},
            {"store", name_of(agent.poller().state_of(name))}};
}

nlohmann::json steering_of(const steering_runner& runner)
{
    auto all = nlohmann::json::array();
    if (runner.plan() == nullptr) {
        return all;
    }
    const steering::plan& plan = *runner.plan();
    const auto domain_of = [&](std::uint16_t domain) {
        return domain == steering::refused_domain ? "refused" : plan.domains[domain].id.value();
    };
    for (const steering::decision_record& record : runner.records()) {
        all.push_back({{"kind", steering::to_string(record.kind)},
                       {"site", plan.sites[record.site].id.value()},
                       {"service", plan.services[record.service].id.value()},
                       {"from", domain_of(record.from)},
                       {"to", domain_of(record.to)},
                       {"reason", steering::to_string(record.placement)},
                       {"wait", steering::to_string(record.wait)},
                       {"rate", record.rate}});
    }
    return all;
}

} // namespace

nlohmann::json dump_agent(const agent_core& agent)
{
    nlohmann::json dump{{"host", agent.self().host.value()},
                        {"failure_domain", agent.self().failure_domain.value()},
                        {"self", record_of(agent.self())},
                        {"versions", versions_of(agent.documents().versions())},
                        {"may_act", agent.may_act()},
                        {"contact_age_ms", agent.contact_age().count()},
                        {"listed_known", agent.poller().listed_known()},
                        {"listed_hosts", agent.poller().seeds().size()},
                        {"members_revision", agent.members().revision},
                        {"pending_watches", agent.pending_watches()}};
    for (const std::string& name : document_names()) {
        dump["documents"][name] = document_of(agent, name);
    }
    dump["members"] = nlohmann::json::array();
    for (const auto& [host, item] : agent.members().members) {
        dump["members"].push_back(record_of(item.record));
    }
    dump["weights"] = nlohmann::json::array();
    for (const auto& row : agent.steering().weights()) {
        dump["weights"].push_back({{"site", row.site},
                                   {"service", row.service},
                                   {"failure_domains", row.failure_domains},
                                   {"weights", row.weights},
                                   {"refused", row.refused}});
    }
    dump["steering"] = steering_of(agent.steering());
    dump["steering_held"] = agent.steering().is_held();
    return dump;
}

} // namespace snipeshore::apps
