/// @file A target as it registered itself.
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
    std::chrono::milliseconds cold_for{0}; ///< When it wrote the entry.
    std::int64_t started_ms = 0;           ///< Unix time of its start: tells incarnations apart.
    std::uint64_t sequence = 0;            ///< Grows with each entry of one incarnation.
};

} // namespace snipeshore::apps
