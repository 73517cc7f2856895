/// @file Kinds of errors.
#pragma once

#include <cstdint>

namespace snipeshore::base {

/// Every error of the system is of one of these kinds; `response_for` maps a kind to its HTTP
/// response.
enum class error_kind : std::uint8_t {
    // A caller's request was rejected and has not run.
    bad_request,
    header_too_large,
    request_too_large,
    service_unknown,
    route_unknown,
    method_not_allowed,
    key_missing,
    key_unknown,
    key_stale,
    account_not_allowed,
    ticket_missing,
    ticket_invalid,
    rate_exceeded,
    region_full,
    no_target,
    quarantined,
    overloaded,
    not_ready,
    stopping,
    deadline_not_run,
    connect_failed,
    // A request failed after it may have run.
    deadline_exceeded,
    outcome_unknown,
    target_failed,
    answer_invalid,
    // Operator commands and calls between processes.
    document_invalid,
    version_conflict,
    store_unavailable,
    store_unknown,
    peer_unavailable,
    not_found,
    bad_setting,
    stale,
    cancelled,
    request_incomplete,
    internal,
};

/// Number of kinds; `internal` must stay the last one.
inline constexpr std::uint8_t error_kind_count =
    static_cast<std::uint8_t>(error_kind::internal) + 1;

} // namespace snipeshore::base
