/// @file State of claimed tickets in the entry process that owns them.
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
    std::size_t max_claims = 200000;             ///< In both accepted epochs together.
    std::size_t max_response_bytes = 64U << 10U; ///< Of one kept response.
    std::size_t max_cached_bytes = 16U << 20U;   ///< Of all kept responses.
};

/// Response kept for repeats.
struct cached_response {
    std::uint16_t status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// As `inner::claim_verdict`.
enum class claim_verdict : std::uint8_t { granted, running, done, unknown, invalid };

/// Who claims; unique per try to run a request.
struct attempt {
    base::host_id claimer;
    base::incarnation claimer_incarnation;
    std::uint64_t number = 0;

    friend bool operator==(const attempt&, const attempt&) = default;
};

enum class claim_state : std::uint8_t { released, running, done };

struct claim_entry {
    claim_state state = claim_state::running;
    std::uint64_t holder = 0;                        ///< Hash of the attempt that holds the claim.
    std::array<std::uint64_t, 2> released{};         ///< Hashes of the latest released attempts.
    std::shared_ptr<const cached_response> response; ///< Null if it was too large to keep.
};

struct ticket_id_hash {
    std::size_t operator()(const ticket_id& id) const noexcept;
};

using claim_table = std::unordered_map<ticket_id, claim_entry, ticket_id_hash>;

struct claim_registry {
    claim_registry_settings settings;
    base::host_id owner;
    base::incarnation incarnation;
    std::uint64_t epoch = 1;
    base::time_point epoch_ends;
    claim_table current;
    claim_table previous;
    std::size_t cached_bytes_current = 0;
    std::size_t cached_bytes_previous = 0;
};

struct claim_result {
    claim_verdict verdict = claim_verdict::invalid;
    std::shared_ptr<const cached_response> response; ///< Set with `done`.
};

} // namespace snipeshore::tickets
