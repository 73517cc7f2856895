#include "base/error_response.h"

#include "base/types/error.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstddef>

namespace snipeshore::base {

namespace {

using enum error_kind;
using enum retry_advice;

// In the order of `error_kind`, which a static_assert below checks.
constexpr std::array<error_response, error_kind_count> responses{{
    {bad_request, "bad_request", 400, true, after_fix, "The request or a header is malformed."},
    {header_too_large, "header_too_large", 431, true, after_fix, "A header exceeds its limit."},
    {request_too_large, "request_too_large", 413, true, after_fix,
     "The body exceeds the route's limit."},
    {service_unknown, "service_unknown", 421, true, after_fix, "No service has this host name."},
    {route_unknown, "route_unknown", 404, true, after_fix, "The service has no such route."},
    {method_not_allowed, "method_not_allowed", 405, true, after_fix,
     "The route does not take this method."},
    {key_missing, "key_missing", 401, true, after_fix, "The route needs a key."},
    {key_unknown, "key_unknown", 401, true, after_fix, "The key is unknown or withdrawn."},
    {key_stale, "key_stale", 503, true, other_host,
     "The host's list of keys is older than the operator allows."},
    {account_not_allowed, "account_not_allowed", 403, true, after_fix,
     "The client account may not use the service."},
    {ticket_missing, "ticket_missing", 428, true, after_fix,
     "The route runs at most once and needs a ticket from the look-up."},
    {ticket_invalid, "ticket_invalid", 400, true, after_fix,
     "The ticket was not issued by this fleet or not for this account."},
    {rate_exceeded, "rate_exceeded", 429, true, after_delay,
     "The client account's rate and burst are used up."},
    {region_full, "region_full", 503, true, after_delay, "No region has headroom left."},
    {no_target, "no_target", 503, true, after_delay, "No target of the service can take work."},
    {quarantined, "quarantined", 422, true, no,
     "Requests like this one crashed targets; this one was not run."},
    {overloaded, "overloaded", 503, true, other_host, "A queue of the host is full."},
    {not_ready, "not_ready", 503, true, other_host, "The host has no configuration yet."},
    {stopping, "stopping", 503, true, other_host, "The host is stopping."},
    {deadline_not_run, "deadline_not_run", 504, true, after_delay,
     "The deadline passed before the request was sent to a target."},
    {connect_failed, "connect_failed", 503, true, after_delay,
     "No connection to a target could be opened."},
    {deadline_exceeded, "deadline_exceeded", 504, false, if_idempotent,
     "The deadline passed after the request was sent to a target."},
    {outcome_unknown, "outcome_unknown", 502, false, same_ticket,
     "The request may have run; its outcome cannot be known."},
    {target_failed, "target_failed", 502, false, if_idempotent,
     "The target broke off before its answer."},
    {answer_invalid, "answer_invalid", 502, false, if_idempotent,
     "The target's answer is malformed, incomplete or too long."},
    {document_invalid, "document_invalid", 422, true, after_fix, "The document has errors."},
    {version_conflict, "version_conflict", 409, true, after_fix,
     "Another operator published first."},
    {store_unavailable, "store_unavailable", 503, true, after_delay,
     "The platform's store does not answer; nothing was written."},
    {store_unknown, "store_unknown", 502, false, same_ticket,
     "A write to the platform's store may have taken effect."},
    {peer_unavailable, "peer_unavailable", 503, true, after_delay,
     "Another process of the fleet does not answer."},
    {not_found, "not_found", 404, true, after_fix, "There is no such item."},
    {bad_setting, "bad_setting", 500, true, after_fix,
     "A flag or environment variable is invalid."},
    {stale, "stale", 409, true, after_delay, "The sender's view is out of date."},
    {cancelled, "cancelled", 499, false, no, "The caller closed the connection."},
    {request_incomplete, "request_incomplete", 408, true, after_fix,
     "The body was not complete at the request's deadline."},
    {internal, "internal", 500, false, if_idempotent, "A fault of the system itself."},
}};

constexpr bool ordered_by_kind()
{
    for (std::size_t index = 0; index < responses.size(); ++index) {
        if (static_cast<std::size_t>(responses.at(index).kind) != index) {
            return false;
        }
    }
    return true;
}

static_assert(ordered_by_kind());

} // namespace

const error_response& response_for(error_kind kind)
{
    return responses.at(static_cast<std::size_t>(kind));
}

std::string_view to_string(retry_advice advice)
{
    switch (advice) {
    case no:
        return "no";
    case after_fix:
        return "after_fix";
    case after_delay:
        return "after_delay";
    case other_host:
        return "other_host";
    case same_ticket:
        return "same_ticket";
    case if_idempotent:
        return "if_idempotent";
    }
    return "no";
}

std::string error_body(const error& failure, std::string_view request_id, bool not_run)
{
    const error_response& response = response_for(failure.kind);
    const nlohmann::json body{{"error", response.name},
                              {"detail", failure.detail},
                              {"not_run", not_run && response.not_run},
                              {"retry", to_string(response.retry)},
                              {"request_id", request_id}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace snipeshore::base
