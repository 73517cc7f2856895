/// @file Open-loop load: requests at a fixed rate, independent of response times.
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
    std::vector<base::duration> latencies; ///< Sorted; measured from the time the request was sent.
    std::size_t failed = 0;
};

/// Sends `rate` requests per second for `length`. `make` returns the request for an index.
load_result run_open_loop(test::http_session& session, double rate,
                          std::chrono::milliseconds length,
                          const std::function<test::http_request(std::size_t)>& make);

base::duration percentile(const load_result& result, double fraction);

double to_ms(base::duration time);

} // namespace snipeshore::bench
