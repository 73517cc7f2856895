/// @file Handlers for incoming calls of the inner protocol.
#pragma once

#include "base/result.h"
#include "inner/types/messages.h"

#include <functional>

namespace snipeshore::inner {

/// Sends the reply to an incoming call. May be called from any thread; only the first call has an
/// effect. If all copies are destroyed without a call, the peer gets an `internal` error.
template <typename Reply>
using reply_sender = std::function<void(base::result<Reply>)>;

/// Handlers for the calls that an agent serves. They run on the thread that `node_settings::post`
/// posts to. A call without a handler fails with `not_found`.
struct agent_service {
    std::function<void(cursor, process_report, reply_sender<snapshot>)> watch;
    std::function<void(exchange_request, reply_sender<exchange_reply>)> exchange;
    std::function<void(push_request, reply_sender<empty_reply>)> push;
    std::function<void(host_record, reply_sender<host_record>)> probe;
};

/// Handlers for the calls that an entry process serves.
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
