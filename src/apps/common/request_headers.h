/// @file Reads headers of callers' requests and builds the head of error responses.
#pragma once

#include "base/result.h"
#include "base/time.h"
#include "base/types/ids.h"
#include "http/types/message.h"

#include <chrono>
#include <string>
#include <string_view>

namespace snipeshore::config {
struct document;
}

namespace snipeshore::apps {

struct fleet_state;

/// The caller's `Snipeshore-Request-Id` if it is well formed, otherwise a new random id.
std::string request_id_of(const http::request_head& head);

/// Random id of one attempt to send a request to a target.
std::string make_attempt_id();

/// Returns the client account of the key in the request. Errors: `key_missing`, `key_unknown`,
/// `key_stale`.
base::result<base::account_id> authenticate(const fleet_state& fleet, std::string_view secret,
                                            const http::request_head& head, base::time_point now);

/// Fails with `account_not_allowed` if the account may not use the service, and with `key_unknown`
/// if the account is not configured.
base::status check_service_allowed(const config::document& document,
                                   const base::account_id& account,
                                   const base::service_id& service);

/// Time allowed for the request: the caller's `Snipeshore-Deadline-Ms`, at most `limit`; `limit` if
/// the header is absent.
base::result<std::chrono::milliseconds> deadline_of(const http::request_head& head,
                                                    std::chrono::milliseconds limit);

/// Head of an error response. A `retry_after` of 0 omits the header `Retry-After`.
http::response_head refusal_head(const base::error& cause, bool not_run,
                                 const std::string& request_id, std::chrono::seconds retry_after);

} // namespace snipeshore::apps
