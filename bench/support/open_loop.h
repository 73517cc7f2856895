/// @file Load at a fixed rate, whatever the answers take.
#pragma once

#include "base/time.h"
#include "tests/support/http_session.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace snipeshore::bench {

struct load_result {
    std::vector<base::duration> latencies; ///< Sorted; counted from when the request was sent.
    std::size_t failed = 0;
};

/// Sends `rate` requests per second for `length`. `make` gives the request with an index.
load_result run_open_loop(test::http_session& session, double rate,
                          std::chrono::milliseconds length,
                          const std::function<test::http_request(std::size_t)>& make);

base::duration percentile(const load_result& result, double fraction);

double to_ms(base::duration time);

} // namespace snipeshore::bench
