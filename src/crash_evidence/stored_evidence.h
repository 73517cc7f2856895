/// @file Evidence about requests that crash their targets, as it is kept in the store: it must
/// outlive all hosts.
#pragma once

#include "base/time.h"
#include "crash_evidence/types/stored_evidence.h"
#include "fleet/types/notice.h"

#include <chrono>
#include <string>
#include <vector>

namespace snipeshore::crash_evidence {

/// Keeps a notice about a crash or a quarantine which this process has made. `write_by`: when it
/// has to be in the store.
void keep_notice(stored_evidence& evidence, const fleet::notice& made, base::time_point write_by);

/// Applies a notice that a request got its response: the evidence before it is void. The notice
/// itself is kept if `must_keep`, or if rows of the store tell of the request.
void clear_request(stored_evidence& evidence, const fleet::notice& cleared, bool must_keep,
                   base::time_point write_by);

/// Notes that a row of another process tells of the request that the notice is about.
void note_stored(stored_evidence& evidence, const fleet::notice& read);

/// The row of this process, with the newest notices up to a size.
fleet::stored_notices make_row(const stored_evidence& evidence, base::time_point now,
                               std::chrono::milliseconds unix_time);

/// Called when the row, or its removal if there are no notices, has been sent to the store.
void on_row_sent(stored_evidence& evidence);

/// Called when the store has confirmed the row that was sent last.
void on_row_written(stored_evidence& evidence);

/// Called when the store may not have the row that was sent last.
void on_row_lost(stored_evidence& evidence, base::time_point write_by);

/// The notices of a row, oldest first. A writer's clock that is ahead makes its notices look new.
std::vector<fleet::notice> read_row(const fleet::stored_notices& row, base::time_point now,
                                    std::chrono::milliseconds unix_time);

/// Drops notices that have no effect any more, and the row when none are left.
void drop_expired(stored_evidence& evidence, base::time_point now);

} // namespace snipeshore::crash_evidence
