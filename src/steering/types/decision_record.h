/// @file Records that explain where traffic is placed and why a shift is delayed.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <string_view>

namespace snipeshore::steering {

/// Why the traffic of a row is placed where it is, relative to its nearest failure domain (its
/// home).
enum class placement_reason : std::uint8_t {
    at_home,       ///< All traffic is at the nearest failure domain.
    home_lost,     ///< The nearest failure domain is unavailable.
    home_draining, ///< The nearest failure domain is being drained as planned.
    home_full, ///< The nearest failure domain (the decider's share) or its region is nearly full.
    home_not_serving, ///< The nearest failure domain has no targets of the service.
    returning_home,   ///< The cause has ended; the traffic is being shifted back.
};

/// Why a shift that should be made is delayed.
enum class wait_reason : std::uint8_t {
    none,
    shift_cap,     ///< The decider has used up its share of the shift cap.
    interval,      ///< The last shift was less than one interval ago.
    receiver_lost, ///< No other failure domain is available, not draining and serving the service.
    receiver_full, ///< No receiving failure domain has headroom left.
    receiver_warming,    ///< The receivers' warm-up allows no more in this interval.
    link_full,           ///< No link to a receiver has headroom left.
    measurement_missing, ///< Load or health of the receivers is unknown or stale.
    demand_missing,      ///< The demand of the decider's own callers is unknown.
};

enum class record_kind : std::uint8_t { shifted, shed, waiting };

/// Stands for refused traffic in `decision_record::from` and `decision_record::to`.
inline constexpr std::uint16_t refused_domain = UINT16_MAX;

struct decision_record {
    record_kind kind = record_kind::shifted;
    placement_reason placement = placement_reason::at_home;
    wait_reason wait = wait_reason::none;
    std::uint16_t site = 0;
    std::uint16_t service = 0;
    std::uint16_t from = refused_domain; ///< Failure domain, or `refused_domain`.
    std::uint16_t to = refused_domain;   ///< Failure domain, or `refused_domain`.
    float rate = 0;                      ///< Requests per second.
};

std::string_view to_string(placement_reason reason);
std::string_view to_string(wait_reason reason);
std::string_view to_string(record_kind kind);

} // namespace snipeshore::steering
