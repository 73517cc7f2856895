/// @file Messages between processes as plain structs; `inner.capnp` is their wire form.
#pragma once

#include "base/types/ids.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace snipeshore::inner {

struct document_version {
    std::string name;
    std::uint64_t version = 0;
};

struct document {
    std::string name;
    std::uint64_t version = 0;
    std::uint64_t base_version = 0;   ///< With `patches`: the version they start from.
    std::string text;                 ///< Whole document; empty if `patches` are given.
    std::vector<std::string> patches; ///< JSON Patches, one per version.
    std::string digest;               ///< Of the text of `version`.
};

enum class host_status : std::uint8_t { live, leaving, dead };

struct host_record {
    base::host_id host;
    base::failure_domain_id failure_domain;
    base::incarnation incarnation; ///< Of the agent.
    std::uint64_t counter = 0;
    host_status status = host_status::live;
    std::string agent_address;
    std::string lookup_address;
    std::string entry_address;
    std::string entry_inner_address;
    base::incarnation entry_incarnation; ///< 0: no entry process is running.
    std::uint64_t ticket_epoch = 0;
    std::vector<document_version> versions;
    std::uint64_t entry_config_version = 0; ///< In force in the entry process.
};

struct site_weights {
    std::string site;
    std::string service;
    std::vector<std::string> failure_domains;
    std::vector<std::uint32_t> weights; ///< Admitted part, of 65536.
    std::vector<std::uint32_t> refused; ///< Refused part, of 65536.

    friend bool operator==(const site_weights&, const site_weights&) = default;
};

struct cursor {
    std::vector<document_version> versions;
    std::uint64_t members_revision = 0;
    std::uint64_t steering_revision = 0;
};

/// Look-ups per second of one site and service.
struct row_demand {
    std::string site;
    std::string service;
    double rate = 0;
};

struct process_report {
    base::incarnation entry_incarnation;
    std::uint64_t ticket_epoch = 0;
    bool leaving = false;
    std::uint64_t config_version = 0;  ///< Of an entry process.
    std::vector<row_demand> demand;    ///< Of a lookup process, since its last report.
    std::vector<site_weights> weights; ///< In force in a lookup, after its agent did not answer.
};

struct snapshot {
    std::vector<document> documents;
    std::vector<host_record> members;
    std::uint64_t members_revision = 0;
    std::vector<site_weights> weights;
    std::uint64_t steering_revision = 0;
    std::chrono::milliseconds contact_age{0};
    bool listed_known = false; ///< Whether the agent has read the platform's host list.
    std::vector<base::host_id> listed_hosts;
};

struct domain_hash {
    std::string failure_domain;
    std::uint64_t hash = 0;
};

struct exchange_request {
    host_record sender;
    std::vector<document_version> versions;
    std::vector<domain_hash> hashes;
};

struct exchange_reply {
    std::vector<document_version> versions;
    std::vector<document> documents;
    std::vector<host_record> records;
    std::chrono::milliseconds contact_age{0}; ///< As in `snapshot`.
};

struct push_request {
    std::vector<document> documents;
    std::vector<host_record> records;
};

struct borrow_request {
    std::string account;
    double rate = 0;
    double tokens = 0;
    std::string borrower;
    base::incarnation borrower_incarnation;
    std::uint64_t config_version = 0;
};

struct borrow_reply {
    double rate = 0;
    double burst = 0; ///< Bucket capacity lent, at least `tokens`.
    double tokens = 0;
    std::chrono::milliseconds lease{0}; ///< From when the borrower sent the request.
    std::uint64_t loan = 0;
};

struct ticket_response {
    std::uint16_t status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

enum class claim_verdict : std::uint8_t { granted, running, done, unknown, invalid };

struct claim_request {
    std::string ticket;
    std::string account;
    std::string claimer;
    base::incarnation claimer_incarnation;
    std::uint64_t attempt = 0;
};

struct claim_reply {
    claim_verdict verdict = claim_verdict::invalid;
    ticket_response response;
};

struct complete_request {
    std::string ticket;
    std::string claimer;
    base::incarnation claimer_incarnation;
    std::uint64_t attempt = 0;
    ticket_response response;
};

struct release_request {
    std::string ticket;
    std::string claimer;
    base::incarnation claimer_incarnation;
    std::uint64_t attempt = 0;
};

struct crash_report {
    std::string reporter;
    std::uint64_t crash = 0; ///< Unique per crash and reporter.
    std::string target;
    std::vector<std::uint64_t> fingerprints;
};

/// Reply of calls that return nothing.
struct empty_reply {};

} // namespace snipeshore::inner
