/// @file Evidence about requests that crash their targets, as it is kept in the store: it must
/// outlive all hosts.
#pragma once

#include "base/time.h"
#include "crash_evidence/types/stored_evidence.h"
#include "fleet/types/notice.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace snipeshore::crash_evidence {

/// Keeps a notice about a crash or a quarantine which this process has made. `write_by`: when it
/// has to be in the store.
void keep_notice(stored_evidence& evidence, const fleet::notice& made, base::time_point write_by);

/// Whether the notice that a request got its response is kept in the store.
enum class keep_clearance : std::uint8_t {
    no,        ///< The host that made it does so.
    if_stored, ///< If rows of the store tell of the request.
    yes,
};

/// Applies a notice that a request got its response: the evidence before it is void.
void clear_request(stored_evidence& evidence, const fleet::notice& cleared, keep_clearance kept,
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

/// Whether a row of a process that has ended can be removed. The margin is for clocks that differ.
bool is_outdated(const fleet::stored_notices& row, std::chrono::milliseconds unix_time);

/// The notices of a row, oldest first. A writer's clock that is ahead makes its notices look new.
std::vector<fleet::notice> read_row(const fleet::stored_notices& row, base::time_point now,
                                    std::chrono::milliseconds unix_time);

/// Drops notices that have no effect any more, and the row when none are left.
void drop_expired(stored_evidence& evidence, base::time_point now);

} // namespace snipeshore::crash_evidence
