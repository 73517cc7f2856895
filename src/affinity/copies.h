/// @file Decides when a failure domain gets a copy of an object of its own, on its own targets.
///
/// The load pattern that this answers: each copy of an object costs one slow first run, and at the
/// start of a day, or on a route with few requests for each object, first runs are most of the late
/// responses. The failure domains of a region therefore share one copy where messages are small.
/// Each request that crosses to another failure domain costs bytes between them. When those of an
/// object amount to `copy_cost_bytes`, its own copy is the cheaper way: the break-even rule of the
/// ski rental problem, which costs at most twice as much as knowing the demand beforehand.
#pragma once

#include "base/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace snipeshore::affinity {

/// Bytes between failure domains that are worth one first run of an object.
inline constexpr double copy_cost_bytes = 6 << 10;

/// Size of a route's messages, as a fraction of `copy_cost_bytes`, up to which objects are shared.
inline constexpr double shared_message_fraction = 0.25;

/// An object that was not requested for this long is shared again: its targets have dropped it.
inline constexpr std::chrono::seconds copy_lifetime{30};

inline constexpr std::size_t max_copy_entries = 8192;

struct copy_entry {
    double crossed_bytes = 0;
    base::time_point used_at{};
};

struct copy_ledger {
    /// Objects whose requests have crossed to another failure domain of the own region.
    std::unordered_map<std::uint64_t, copy_entry> objects;
    /// Average size of a request and its response, by hash of the route's name.
    std::unordered_map<std::uint64_t, double> message_bytes;
};

/// Whether the object's requests use one target in the whole region.
bool is_shared(const copy_ledger& ledger, std::uint64_t route, std::uint64_t object,
               base::time_point now);

/// Records a completed request; `has_crossed`: its target is in another failure domain of the
/// region.
void record_transfer(copy_ledger& ledger, std::uint64_t route, std::uint64_t object, double bytes,
                     bool has_crossed, base::time_point now);

} // namespace snipeshore::affinity
