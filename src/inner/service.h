/// @file Server sides of the inner protocol.
#pragma once

#include "base/result.h"
#include "inner/types/messages.h"

#include <functional>

namespace snipeshore::inner {

/// Sends the reply; may be called from any thread. The first call counts. If all copies are
/// destroyed without a call, the caller gets `internal`.
template <typename Reply>
using reply_to = std::function<void(base::result<Reply>)>;

/// Calls that an agent answers. Called on the thread that `node_settings::post` names. A member
/// that is not set answers `not_found`.
struct agent_service {
    std::function<void(cursor, process_report, reply_to<snapshot>)> watch;
    std::function<void(exchange_request, reply_to<exchange_reply>)> exchange;
    std::function<void(push_request, reply_to<nothing>)> push;
    std::function<void(host_record, reply_to<host_record>)> probe;
};

/// Calls that an entry process answers.
struct entry_service {
    std::function<void(borrow_request, reply_to<borrow_reply>)> borrow;
    std::function<void(std::uint64_t, reply_to<nothing>)> give_back;
    std::function<void(claim_request, reply_to<claim_reply>)> claim;
    std::function<void(complete_request, reply_to<nothing>)> complete;
    std::function<void(release_request, reply_to<nothing>)> release;
    std::function<void(crash_report, reply_to<nothing>)> report_crash;
    std::function<void(std::vector<std::uint64_t>, reply_to<nothing>)> report_success;
};

} // namespace snipeshore::inner
