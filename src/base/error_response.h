/// @file Table of the HTTP responses that callers get for each error kind.
#pragma once

#include "base/types/error_kind.h"

#include <string>
#include <string_view>

namespace snipeshore::base {

struct error;

/// Whether and how a caller may retry after an error.
enum class retry_advice : std::uint8_t {
    no,            ///< Do not retry: the same request fails again.
    after_fix,     ///< Retry once the cause named in the detail is fixed.
    after_delay,   ///< Retry later; see the Retry-After header.
    other_host,    ///< Retry at another entry host.
    same_ticket,   ///< Retry with the same ticket to learn the outcome.
    if_idempotent, ///< Retry only if the request may run more than once.
};

/// HTTP response for one error kind.
struct error_response {
    error_kind kind;
    std::string_view name;
    int http_status;
    /// True only for kinds that occur before any byte of the request was written to a target.
    bool not_run;
    retry_advice retry;
    std::string_view meaning;
};

const error_response& response_for(error_kind kind);

std::string_view to_string(retry_advice advice);

/// JSON body of an error response: `{"error","detail","not_run","retry","request_id"}`. `not_run`
/// says whether this request is known not to have run; the body contains true only if the table
/// also allows it for the kind.
std::string error_body(const error& failure, std::string_view request_id, bool not_run);

} // namespace snipeshore::base
