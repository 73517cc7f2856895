/// @file Entry with which a target registers itself.
#pragma once

#include "base/types/ids.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace snipeshore::apps {

struct target_entry {
    base::target_id id;
    base::service_id service;
    base::failure_domain_id failure_domain;
    std::string address; ///< "ip:port"
    std::uint32_t slots = 1;
    bool is_leaving = false;
    /// Time for which it stays cold, counted from when it wrote the entry.
    std::chrono::milliseconds cold_for{0};
    std::int64_t started_ms = 0; ///< Unix time of its start; identifies the incarnation.
    std::uint64_t sequence = 0;  ///< Increases with each entry of one incarnation.
};

} // namespace snipeshore::apps
