#include "tests/support/reduced_document.h"

#include <functional>
#include <map>
#include <set>

namespace snipeshore::test {

namespace {

using nlohmann::json;

void keep_if(json& list, const std::function<bool(const json&)>& wanted)
{
    json kept = json::array();
    for (const json& item : list) {
        if (wanted(item)) {
            kept.push_back(item);
        }
    }
    list = std::move(kept);
}

std::set<std::string> ids_of(const json& list)
{
    std::set<std::string> ids;
    for (const json& item : list) {
        ids.insert(item.at("id").get<std::string>());
    }
    return ids;
}

/// Keeps the first `count` items of each of the failure domains.
void keep_per_domain(json& list, const std::set<std::string>& domains, std::size_t count)
{
    std::map<std::string, std::size_t> kept_count;
    keep_if(list, [&](const json& item) {
        const auto domain = item.at("failure_domain").get<std::string>();
        return domains.contains(domain) && kept_count[domain]++ < count;
    });
}

} // namespace

json reduce_document(json document, const std::vector<std::string>& failure_domains,
                     std::size_t hosts_per_domain, std::size_t targets_per_domain)
{
    constexpr double ample_capacity = 100000;
    const std::set<std::string> domains(failure_domains.begin(), failure_domains.end());
    keep_if(document["failure_domains"],
            [&](const json& item) { return domains.contains(item.at("id")); });
    std::set<std::string> regions;
    for (const json& domain : document["failure_domains"]) {
        regions.insert(domain.at("region").get<std::string>());
    }
    keep_if(document["regions"], [&](const json& item) { return regions.contains(item.at("id")); });
    keep_if(document["links"], [&](const json& item) {
        return regions.contains(item.at("from")) && regions.contains(item.at("to"));
    });
    keep_per_domain(document["hosts"], domains, hosts_per_domain);
    for (json& service : document["services"]) {
        keep_per_domain(service["targets"], domains, targets_per_domain);
        service["capacity_per_target"] = ample_capacity;
    }
    for (json& region : document["regions"]) {
        region["capacity"] = ample_capacity;
    }
    keep_if(document["sites"],
            [&](const json& item) { return domains.contains(item.at("nearest")); });
    const std::set<std::string> sites = ids_of(document["sites"]);
    keep_if(document["client_blocks"],
            [&](const json& item) { return sites.contains(item.at("site")); });
    return document;
}

} // namespace snipeshore::test
