/// @file Notices that this host makes or hears, see `fleet::bulletin`.
#pragma once

#include "base/time.h"
#include "fleet/types/exchange.h"
#include "fleet/types/notice.h"

#include <string>
#include <string_view>
#include <vector>

namespace snipeshore::apps {

struct host_context;
struct pooled_target;

/// Tells the other hosts soon.
void publish(host_context& context, const std::vector<fleet::notice>& made);

/// Applies what a message of another host tells.
void apply_notices(host_context& context, const fleet::exchange_message& message,
                   base::time_point now);

/// Applies evidence about crashing requests that was read from the store, oldest first.
void apply_evidence(host_context& context, const std::vector<fleet::notice>& stored,
                    base::time_point now);

/// Subject of notices about a target. Includes the target's start: a new process under the same id
/// has said nothing yet.
std::string subject_of(const pooled_target& target);

/// The target of such a notice; null if this host does not know it, or another start of it.
pooled_target* find_subject(host_context& context, std::string_view subject);

} // namespace snipeshore::apps
