/// @file Conversion between the document structs and JSON. Missing fields take their defaults.
#pragma once

#include "config/types/document.h"
#include "config/types/drains_document.h"
#include "config/types/keys_document.h"

#include <nlohmann/json.hpp>

#include <chrono>

template <typename Tag, typename T>
struct nlohmann::adl_serializer<snipeshore::base::strong_type<Tag, T>> {
    static void to_json(json& target, const snipeshore::base::strong_type<Tag, T>& source)
    {
        target = source.value();
    }
    static void from_json(const json& source, snipeshore::base::strong_type<Tag, T>& target)
    {
        target = snipeshore::base::strong_type<Tag, T>(source.get<T>());
    }
};

template <typename Rep, typename Period>
struct nlohmann::adl_serializer<std::chrono::duration<Rep, Period>> {
    static void to_json(json& target, const std::chrono::duration<Rep, Period>& source)
    {
        target = source.count();
    }
    static void from_json(const json& source, std::chrono::duration<Rep, Period>& target)
    {
        target = std::chrono::duration<Rep, Period>(source.get<Rep>());
    }
};

namespace snipeshore::config {

NLOHMANN_JSON_SERIALIZE_ENUM(access, {{access::account, "account"}, {access::open, "open"}})
NLOHMANN_JSON_SERIALIZE_ENUM(repeat, {{repeat::once, "once"}, {repeat::idempotent, "idempotent"}})
NLOHMANN_JSON_SERIALIZE_ENUM(isolated_key_policy,
                             {{isolated_key_policy::serve, "serve"},
                              {isolated_key_policy::refuse_after, "refuse_after"}})
NLOHMANN_JSON_SERIALIZE_ENUM(drain_kind, {{drain_kind::host, "host"},
                                          {drain_kind::target, "target"},
                                          {drain_kind::failure_domain, "failure_domain"},
                                          {drain_kind::region, "region"}})

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(region, id, capacity)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(failure_domain, id, region)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(link, from, to, capacity, headroom_fraction, delay)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(host, id, failure_domain, lookup_address,
                                                entry_address, entry_inner_address, agent_address,
                                                admin_addresses)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(route, path_prefix, methods, who, repeats, deadline,
                                                max_request, max_answer, hedge)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(target, id, failure_domain, address, slots,
                                                connections)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(service, id, host_names, routes, targets,
                                                health_path, load_path, capacity_per_target,
                                                warm_up)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(account, id, rate, burst, services)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(site, id, nearest)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(client_block, cidr, site)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(steering_settings, interval, shift_cap_fraction,
                                                region_headroom_fraction, stale_after, lookup_cache)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(key_settings, when_cut, refuse_after)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(document, deployment, regions, failure_domains,
                                                links, hosts, services, accounts, sites,
                                                client_blocks, steering, keys)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(key_grant, hash, account, granted_at_version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(keys_document, keys)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(drain, kind, id, since_version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(drains_document, drains)

} // namespace snipeshore::config
