#include "apps/agent/weights.h"
#include "config/parse.h"
#include "config/tests/deployments.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace snipeshore;
using namespace snipeshore::apps;

namespace {

std::vector<inner::host_record> records_of(const config::document& document)
{
    std::vector<inner::host_record> records;
    for (const config::host& host : document.hosts) {
        inner::host_record record;
        record.host = host.id;
        record.failure_domain = host.failure_domain;
        record.entry_incarnation = base::incarnation(1);
        records.push_back(record);
    }
    return records;
}

std::set<base::failure_domain_id> all_domains(const config::document& document)
{
    std::set<base::failure_domain_id> domains;
    for (const auto& domain : document.failure_domains) {
        domains.insert(domain.id);
    }
    return domains;
}

std::string region_of(const config::document& document, const std::string& domain)
{
    const auto found =
        std::find_if(document.failure_domains.begin(), document.failure_domains.end(),
                     [&](const auto& item) { return item.id.value() == domain; });
    return found->region.value();
}

} // namespace

// Guards against callers that are sent to a failure domain which cannot take them.
TEST_CASE("weights follow the usable failure domains")
{
    const auto parsed = config::parse(config::source_file("config/jasmin.json"));
    const auto document = std::get<config::document>(parsed);
    const config::site& site = document.sites.front();
    auto records = records_of(document);
    auto reachable = all_domains(document);
    config::drains_document drains;
    const auto weights = [&] {
        return compute_weights(document, usable_domains(document, drains, records, reachable));
    };
    const auto first_domain = [&] {
        return weights().front().failure_domains.front();
    };

    SUBCASE("each row goes to the site's nearest failure domain")
    {
        const auto rows = weights();
        CHECK(rows.size() == document.sites.size() * document.services.size());
        for (const auto& row : rows) {
            CHECK(row.weights == std::vector<std::uint32_t>{65536});
            CHECK(row.refused == std::vector<std::uint32_t>{0});
        }
        CHECK(first_domain() == site.nearest.value());
    }
    SUBCASE("a lost failure domain is replaced by one of the same region")
    {
        reachable.erase(site.nearest);
        CHECK(first_domain() != site.nearest.value());
        CHECK(region_of(document, first_domain()) == region_of(document, site.nearest.value()));
    }
    SUBCASE("hosts without a running entry do not count")
    {
        for (auto& record : records) {
            if (record.failure_domain == site.nearest) {
                record.entry_incarnation = base::incarnation(0);
            }
        }
        CHECK(first_domain() != site.nearest.value());
    }
    SUBCASE("a drained region is left")
    {
        const auto region = region_of(document, site.nearest.value());
        drains.drains.push_back({config::drain_kind::region, region, {}});
        CHECK(region_of(document, first_domain()) != region);
    }
    SUBCASE("without a usable failure domain the row is refused")
    {
        reachable.clear();
        const auto rows = weights();
        CHECK(rows.front().weights == std::vector<std::uint32_t>{0});
        CHECK(rows.front().refused == std::vector<std::uint32_t>{65536});
    }
}
