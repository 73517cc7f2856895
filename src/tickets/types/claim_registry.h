/// @file Claims on tickets, stored in the entry process that owns the tickets.
#pragma once

#include "base/time.h"
#include "base/types/ids.h"
#include "tickets/types/ticket.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace snipeshore::tickets {

struct claim_registry_settings {
    std::chrono::milliseconds epoch_length{std::chrono::minutes(5)};
    std::size_t max_claims = 200000;             ///< Total of both accepted epochs.
    std::size_t max_response_bytes = 64U << 10U; ///< Largest response that is cached.
    std::size_t max_cached_bytes = 16U << 20U;   ///< Total size of all cached responses.
};

/// Response that is sent again when the request is repeated.
struct cached_response {
    std::uint16_t status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// Same values as `inner::claim_verdict`.
enum class claim_verdict : std::uint8_t { granted, running, done, unknown, invalid };

/// Identifies one attempt to run a request.
struct attempt {
    base::host_id claimer;
    base::incarnation claimer_incarnation;
    std::uint64_t number = 0;

    friend bool operator==(const attempt&, const attempt&) = default;
};

enum class claim_state : std::uint8_t { released, running, done };

struct claim_entry {
    claim_state state = claim_state::running;
    std::uint64_t holder = 0;                ///< Hash of the attempt that holds the claim.
    std::array<std::uint64_t, 2> released{}; ///< Hashes of the last released attempts.
    std::shared_ptr<const cached_response>
        response; ///< Null before completion, or if there was no room for it.
};

struct ticket_id_hash {
    std::size_t operator()(const ticket_id& id) const noexcept;
};

using claim_map = std::unordered_map<ticket_id, claim_entry, ticket_id_hash>;

struct claim_registry {
    claim_registry_settings settings;
    base::host_id owner;
    base::incarnation incarnation;
    std::uint64_t epoch = 1;
    base::time_point epoch_ends;
    claim_map current;
    claim_map previous;
    std::size_t cached_bytes_current = 0;
    std::size_t cached_bytes_previous = 0;
};

struct claim_result {
    claim_verdict verdict = claim_verdict::invalid;
    std::shared_ptr<const cached_response> response; ///< Set with the verdict `done`.
};

} // namespace snipeshore::tickets
