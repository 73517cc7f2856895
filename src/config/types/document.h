/// @file Structs of the configuration document. Field names equal the JSON names.
#pragma once

#include "base/types/ids.h"
#include "base/types/units.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace snipeshore::config {

struct region {
    base::region_id id;
    base::request_rate capacity; ///< Requests per second that its targets can carry.
};

struct failure_domain {
    base::failure_domain_id id;
    base::region_id region;
};

/// One direction of the shared link between two regions.
struct link {
    base::region_id from;
    base::region_id to;
    base::bit_rate capacity;
    double headroom_fraction = 0.2; ///< Fraction of the capacity that steering leaves free.
    std::chrono::microseconds delay{0};
};

/// Entry host, with the addresses ("ip:port") of its programs.
struct host {
    base::host_id id;
    base::failure_domain_id failure_domain;
    std::string lookup_address;
    std::string entry_address;
    std::string entry_inner_address;
    std::string agent_address;
    std::vector<std::string> admin_addresses; ///< Of its programs, used by operators' commands.
};

enum class access { open, account };
enum class repeat { idempotent, once };

struct route {
    std::string path_prefix;
    std::vector<std::string> methods;
    access who = access::account;
    repeat repeats = repeat::idempotent;
    std::chrono::milliseconds deadline{10000}; ///< Maximum duration of a request.
    base::byte_count max_request{1U << 20U};
    base::byte_count max_answer{1ULL << 32U};
    bool hedge = false; ///< Whether a slow idempotent request may be sent to a second target.
};

struct target {
    base::target_id id;
    base::failure_domain_id failure_domain;
    std::string address; ///< "ip:port"
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
};

struct service {
    base::service_id id;
    std::vector<std::string> host_names;
    std::vector<route> routes; ///< The longest matching prefix applies.
    std::vector<target> targets;
    std::string health_path = "/health";
    std::string load_path = "/load";
    base::request_rate capacity_per_target;
    std::chrono::milliseconds warm_up{30000}; ///< Time until a cold target receives its full load.
};

struct account {
    base::account_id id;
    base::request_rate rate;
    base::request_count burst;
    std::vector<base::service_id> services;
};

/// Location where callers enter the network.
struct site {
    base::site_id id;
    base::failure_domain_id nearest; ///< Failure domain that serves it in normal operation.
};

/// Block of caller addresses that belong to a site.
struct client_block {
    std::string cidr;
    base::site_id site;
};

struct steering_settings {
    std::chrono::milliseconds interval{1000};
    double shift_cap_fraction = 0.05; ///< Maximum fraction of fleet traffic moved per interval.
    double region_headroom_fraction = 0.2; ///< Fraction of a region's capacity left free.
    std::chrono::milliseconds stale_after{15000};
    std::chrono::seconds lookup_cache{5}; ///< How long a caller may cache a lookup response.
};

/// How a host treats keys while it is isolated: it reaches neither other failure domains nor the
/// store.
enum class isolated_key_policy { serve, refuse_after };

struct key_settings {
    isolated_key_policy when_cut = isolated_key_policy::serve;
    std::chrono::seconds refuse_after{0};
};

/// The whole configuration.
struct document {
    std::string deployment;
    std::vector<region> regions;
    std::vector<failure_domain> failure_domains;
    std::vector<link> links;
    std::vector<host> hosts;
    std::vector<service> services;
    std::vector<account> accounts;
    std::vector<site> sites;
    std::vector<client_block> client_blocks;
    steering_settings steering;
    key_settings keys;
};

} // namespace snipeshore::config
