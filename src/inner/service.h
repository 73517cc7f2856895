/// @file Server sides of the inner protocol.
#pragma once

#include "base/result.h"
#include "inner/types/messages.h"

#include <functional>

namespace snipeshore::inner {

/// Sends the reply; may be called from any thread. The first call counts. If all copies are
/// destroyed without a call, the caller gets `internal`.
template <typename Reply>
using reply_sender = std::function<void(base::result<Reply>)>;

/// Calls that an agent answers. Called on the thread that `node_settings::post` names. A member
/// that is not set answers `not_found`.
struct agent_service {
    std::function<void(cursor, process_report, reply_sender<snapshot>)> watch;
    std::function<void(exchange_request, reply_sender<exchange_reply>)> exchange;
    std::function<void(push_request, reply_sender<empty_reply>)> push;
    std::function<void(host_record, reply_sender<host_record>)> probe;
};

/// Calls that an entry process answers.
struct entry_service {
    std::function<void(borrow_request, reply_sender<borrow_reply>)> borrow;
    std::function<void(std::uint64_t, reply_sender<empty_reply>)> give_back;
    std::function<void(claim_request, reply_sender<claim_reply>)> claim;
    std::function<void(complete_request, reply_sender<empty_reply>)> complete;
    std::function<void(release_request, reply_sender<empty_reply>)> release;
    std::function<void(crash_report, reply_sender<empty_reply>)> report_crash;
    std::function<void(std::vector<std::uint64_t>, reply_sender<empty_reply>)> report_success;
};

} // namespace snipeshore::inner
