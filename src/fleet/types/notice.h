/// @file Small facts that hosts tell each other.
#pragma once

#include "base/time.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace snipeshore::fleet {

enum class notice_kind : std::uint8_t {
    crash,        ///< A request ended a target. Subject: request, target and its start; value: its
                  ///< run in ms.
    quarantine,   ///< A request is not to be sent. Subject: request; value: its level, or 0 if the
                  ///< request got its response.
    target_limit, ///< Subject: target and its start; value: requests per second, -1 for no limit.
    target_leaving, ///< Subject: target and its start; value: 1.
    outlived,       ///< Runs of a suspected request did not end their targets. Subject: request and
                    ///< host; value: number of runs at that host since the first crash.
};

inline constexpr std::size_t notice_kinds = 5;

struct notice {
    notice_kind kind = notice_kind::crash;
    std::string subject;
    double value = 0;
    base::time_point observed_at; ///< By the clock of the own host.
};

/// A notice in a message. Hosts have no clock in common, so it tells how old the fact is.
struct told_notice {
    notice_kind kind = notice_kind::crash;
    std::string subject;
    double value = 0;
    std::chrono::milliseconds age{0};
};

/// Notices in a row of the store. Hosts and their successors have only the wall clock in common.
struct stored_notices {
    std::chrono::milliseconds written_at{0}; ///< Unix time by the writer's clock.
    std::vector<told_notice> notices;        ///< Their ages are those at `written_at`.
};

} // namespace snipeshore::fleet
