/// @file Recent refused requests with their causes, for the state dump and `snipeshorectl explain`.
#pragma once

#include "base/time.h"
#include "base/types/error.h"

#include <cstddef>
#include <deque>
#include <string>

namespace snipeshore::apps {

struct refusal_record {
    base::time_point at{};
    std::string request_id;
    std::string account;
    std::string service;
    base::error cause;
};

/// Holds the latest `capacity` records, oldest first.
struct refusal_log {
    static constexpr std::size_t capacity = 256;

    std::deque<refusal_record> records;
};

inline void add_refusal(refusal_log& log, refusal_record record)
{
    if (log.records.size() == refusal_log::capacity) {
        log.records.pop_front();
    }
    log.records.push_back(std::move(record));
}

} // namespace snipeshore::apps
