/// @file Headers of callers' requests and of refusals.
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

/// The caller's `Snipeshore-Request-Id` if it is well formed, else a new one.
std::string request_id_of(const http::request_head& head);

/// Account of the key in the request. Errors: `key_missing`, `key_unknown`, `key_stale`.
base::result<base::account_id> authenticate(const fleet_state& fleet, std::string_view secret,
                                            const http::request_head& head, base::time_point now);

/// `account_not_allowed` unless the account may use the service.
base::status check_service_allowed(const config::document& document,
                                   const base::account_id& account,
                                   const base::service_id& service);

/// Time the request may take: the caller's `Snipeshore-Deadline-Ms`, at most `limit`.
base::result<std::chrono::milliseconds> deadline_of(const http::request_head& head,
                                                    std::chrono::milliseconds limit);

/// Head of a refusal. `retry_after` of 0 means none.
http::response_head refusal_head(const base::error& cause, bool not_run,
                                 const std::string& request_id, std::chrono::seconds retry_after);

} // namespace snipeshore::apps
