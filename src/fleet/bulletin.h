/// @file Notices that this host knows and tells the others. Each host passes on what it has heard,
/// so that a notice reaches also hosts that started later or missed a message.
#pragma once

#include "fleet/types/notice.h"

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace snipeshore::fleet {

/// Longest subject that is accepted from other hosts.
inline constexpr std::size_t max_subject_bytes = 256;

struct bulletin {
    std::map<std::pair<notice_kind, std::string>, notice> notices;
};

/// Keeps the notice unless what is known of the subject is as new. Returns whether it was kept. The
/// number of notices of each kind is bounded; the oldest one gives way.
bool post(bulletin& notices, const notice& made);

/// Notices for a message, the newest of each kind up to a bound.
std::vector<told_notice> notices_to_tell(const bulletin& notices, base::time_point now);

/// The notice as of now, for other processes.
told_notice told(const notice& one, base::time_point now);

/// A notice that is older has no effect any more.
std::chrono::milliseconds lifetime_of(notice_kind kind);

/// The notice as of the own clock, from a message that has just arrived.
notice heard(const told_notice& told, base::time_point now);

void drop_expired(bulletin& notices, base::time_point now);

} // namespace snipeshore::fleet
