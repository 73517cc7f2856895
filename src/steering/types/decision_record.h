/// @file Why traffic is where it is and why a shift waits.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <string_view>

namespace snipeshore::steering {

/// Why callers of a row are sent to a failure domain.
enum class placement_reason : std::uint8_t {
    at_home,          ///< Nearest failure domain, all is well.
    home_lost,        ///< The nearest failure domain is lost.
    home_draining,    ///< A planned drain of the nearest failure domain.
    home_full,        ///< The decider's part of the nearest failure domain is used up.
    home_not_serving, ///< The nearest failure domain has no targets of the service.
    returning_home,   ///< The cause has ended; the traffic is on its way back.
};

/// Why a shift that is wanted waits.
enum class wait_reason : std::uint8_t {
    none,
    shift_cap,           ///< The decider's part of the shift cap is used up.
    interval,            ///< The last shift is less than one interval ago.
    receiver_lost,       ///< No other failure domain is healthy and in service.
    receiver_full,       ///< No receiver has headroom left.
    receiver_warming,    ///< Receivers may take more only as they warm up.
    link_full,           ///< No link to a receiver has headroom left.
    measurement_missing, ///< Load or health of the receivers is unknown or too old.
    demand_missing,      ///< The decider's own demand is unknown.
};

enum class record_kind : std::uint8_t { shifted, shed, waiting };

inline constexpr std::uint16_t refused_domain = UINT16_MAX;

struct decision_record {
    record_kind kind = record_kind::shifted;
    placement_reason placement = placement_reason::at_home;
    wait_reason wait = wait_reason::none;
    std::uint16_t site = 0;
    std::uint16_t service = 0;
    std::uint16_t from = refused_domain; ///< Failure domain, or refused.
    std::uint16_t to = refused_domain;   ///< Failure domain, or refused.
    float rate = 0;                      ///< Requests per second.
};

std::string_view to_string(placement_reason reason);
std::string_view to_string(wait_reason reason);
std::string_view to_string(record_kind kind);

} // namespace snipeshore::steering
