#include "tickets/claim_registry.h"

#include "base/hash.h"

#include <algorithm>
#include <cstring>
#include <iterator>
#include <utility>

namespace snipeshore::tickets {

namespace {

std::uint64_t hash_of(const attempt& by)
{
    const std::string text = by.claimer.value() + "/" +
                             std::to_string(by.claimer_incarnation.value()) + "/" +
                             std::to_string(by.number);
    return base::stable_hash(text);
}

std::size_t size_of(const cached_response& response)
{
    std::size_t size = sizeof response + response.body.size();
    for (const auto& [name, value] : response.headers) {
        size += name.size() + value.size();
    }
    return size;
}

void rotate(claim_registry& claims, base::time_point now)
{
    while (now >= claims.epoch_ends) {
        claims.previous = std::exchange(claims.current, {});
        claims.cached_bytes_previous = std::exchange(claims.cached_bytes_current, 0);
        ++claims.epoch;
        claims.epoch_ends += claims.settings.epoch_length;
    }
}

/// Claims of the ticket's epoch, or null if the epoch is no longer or not yet accepted.
claim_map* table_of(claim_registry& claims, const ticket& which)
{
    if (which.epoch == claims.epoch) {
        return &claims.current;
    }
    return which.epoch + 1 == claims.epoch ? &claims.previous : nullptr;
}

bool is_own(const claim_registry& claims, const ticket& which)
{
    return which.owner == claims.owner && which.owner_incarnation == claims.incarnation;
}

bool was_released(const claim_entry& entry, std::uint64_t attempt_hash)
{
    return std::find(entry.released.begin(), entry.released.end(), attempt_hash) !=
           entry.released.end();
}

/// Entry of the claim if this attempt holds it, or else null.
claim_entry* held_entry(claim_registry& claims, const ticket& which, const attempt& by,
                        base::time_point now)
{
    rotate(claims, now);
    claim_map* table = is_own(claims, which) ? table_of(claims, which) : nullptr;
    if (table == nullptr) {
        return nullptr;
    }
    const auto found = table->find(which.id);
    const bool is_held = found != table->end() && found->second.state == claim_state::running &&
                         found->second.holder == hash_of(by);
    return is_held ? &found->second : nullptr;
}

claim_result verdict_for_repeat(claim_entry& entry, const attempt& by)
{
    const std::uint64_t hash = hash_of(by);
    switch (entry.state) {
    case claim_state::done:
        return {entry.response == nullptr ? claim_verdict::unknown : claim_verdict::done,
                entry.response};
    case claim_state::running:
        return {entry.holder == hash ? claim_verdict::granted : claim_verdict::running, nullptr};
    case claim_state::released:
        break;
    }
    // A delayed duplicate of a released claim must not be granted: the claimer no longer sends its
    // request, and the ticket would stay claimed forever.
    if (was_released(entry, hash)) {
        return {claim_verdict::unknown, nullptr};
    }
    entry.state = claim_state::running;
    entry.holder = hash;
    return {claim_verdict::granted, nullptr};
}

bool may_keep(const claim_registry& claims, std::size_t size)
{
    return size <= claims.settings.max_response_bytes + sizeof(cached_response) &&
           claims.cached_bytes_current + claims.cached_bytes_previous + size <=
               claims.settings.max_cached_bytes;
}

} // namespace

std::size_t ticket_id_hash::operator()(const ticket_id& id) const noexcept
{
    // The id is random, so any part of it is a hash.
    std::size_t hash = 0;
    std::memcpy(&hash, id.data(), sizeof hash);
    return hash;
}

claim_registry make_claim_registry(const claim_registry_settings& settings,
                                   const base::host_id& owner, base::incarnation incarnation,
                                   base::time_point now)
{
    claim_registry claims;
    claims.settings = settings;
    claims.owner = owner;
    claims.incarnation = incarnation;
    claims.epoch_ends = now + settings.epoch_length;
    return claims;
}

std::uint64_t current_epoch(claim_registry& claims, base::time_point now)
{
    rotate(claims, now);
    return claims.epoch;
}

base::result<claim_result> claim(claim_registry& claims, const ticket& which,
                                 const base::account_id& account, const attempt& by,
                                 base::time_point now)
{
    rotate(claims, now);
    if (which.account != account) {
        return claim_result{claim_verdict::invalid, nullptr};
    }
    claim_map* table = is_own(claims, which) ? table_of(claims, which) : nullptr;
    if (table == nullptr) {
        return claim_result{claim_verdict::unknown, nullptr};
    }
    const auto found = table->find(which.id);
    if (found != table->end()) {
        return verdict_for_repeat(found->second, by);
    }
    if (claims.current.size() + claims.previous.size() >= claims.settings.max_claims) {
        return base::error{base::error_kind::overloaded, "claim registry of the host is full"};
    }
    claim_entry entry;
    entry.holder = hash_of(by);
    table->emplace(which.id, std::move(entry));
    return claim_result{claim_verdict::granted, nullptr};
}

bool complete(claim_registry& claims, const ticket& which, const attempt& by,
              cached_response response, base::time_point now)
{
    claim_entry* entry = held_entry(claims, which, by, now);
    if (entry == nullptr) {
        return false;
    }
    entry->state = claim_state::done;
    const std::size_t size = size_of(response);
    if (may_keep(claims, size)) {
        entry->response = std::make_shared<const cached_response>(std::move(response));
        const bool is_current = which.epoch == claims.epoch;
        (is_current ? claims.cached_bytes_current : claims.cached_bytes_previous) += size;
    }
    return true;
}

bool release(claim_registry& claims, const ticket& which, const attempt& by, base::time_point now)
{
    claim_entry* entry = held_entry(claims, which, by, now);
    if (entry == nullptr) {
        return false;
    }
    entry->state = claim_state::released;
    std::rotate(entry->released.begin(), std::prev(entry->released.end()), entry->released.end());
    entry->released.front() = entry->holder;
    entry->holder = 0;
    return true;
}

} // namespace snipeshore::tickets
