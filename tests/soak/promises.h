/// @file What callers and targets saw, and which promises it breaks.
#pragma once

#include "base/time.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace snipeshore::soak {

struct promise_bounds {
    double rate = 0;  ///< Of the one limited account, requests per second.
    double burst = 0; ///< Requests.
    std::chrono::milliseconds window{5000};
    double overage = 0.1;
    double slack = 20;
};

/// Collects facts in the order of time; each broken promise adds one line.
class promises {
public:
    explicit promises(promise_bounds bounds);

    /// A target began to run a request.
    void on_run(const std::string& id, bool is_once, bool is_limited, base::time_point now);

    /// A caller got a whole response, or (status 0) none.
    void on_answer(const std::string& id, int status, bool is_whole, base::time_point now);

    /// A target saw something that it must never see.
    void on_wrong(const std::string& what);

    const std::vector<std::string>& broken() const;

    std::uint64_t runs = 0;
    std::uint64_t answers = 0;
    std::uint64_t good = 0;
    std::uint64_t refusals = 0;

private:
    struct facts {
        unsigned runs = 0;
        bool is_once = false;
        int refused = 0; ///< Status of a refusal that says "not run".
    };

    void check(const std::string& id, const facts& known);

    promise_bounds m_bounds;
    std::map<std::string, facts> m_requests;
    std::deque<base::time_point> m_limited;
    std::vector<std::string> m_broken;
};

} // namespace snipeshore::soak
