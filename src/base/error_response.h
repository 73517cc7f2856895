/// @file The table from error kind to the answer a caller gets.
#pragma once

#include "base/types/error_kind.h"

#include <string>
#include <string_view>

namespace snipeshore::base {

struct error;

/// What a caller may do after an error.
enum class retry_advice : std::uint8_t {
    no,            ///< The same request fails again.
    after_fix,     ///< Send it again after the cause named in the detail is removed.
    after_delay,   ///< Send it again later, see Retry-After.
    other_host,    ///< Send it again to another entry host.
    same_ticket,   ///< Ask for the outcome by sending it again with the same ticket.
    if_idempotent, ///< Send it again only if it may run more than once.
};

/// Row of the table.
struct error_response {
    error_kind kind;
    std::string_view name;
    int http_status;
    bool not_run; ///< True only if no byte of the request was written to a target.
    retry_advice retry;
    std::string_view meaning;
};

const error_response& response_for(error_kind kind);

std::string_view to_string(retry_advice advice);

/// JSON body of a refusal: `{"error","detail","not_run","retry","request_id"}`. `not_run` is what
/// is known about this request; it counts only if the table allows it for the kind.
std::string error_body(const error& failure, std::string_view request_id, bool not_run);

} // namespace snipeshore::base
