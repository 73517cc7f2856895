/// @file Checks what callers and targets observed in a soak run against the host's invariants.
#pragma once

#include "base/time.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace snipeshore::soak {

struct quota_bounds {
    double rate = 0;  ///< Of the only account with a rate limit, in requests per second.
    double burst = 0; ///< In requests.
    std::chrono::milliseconds window{5000};
    double overage = 0.1;
    double slack = 20;
};

/// Observations must be reported in the order of time. Each violated invariant adds one line to the
/// list of violations.
class invariant_checker {
public:
    explicit invariant_checker(quota_bounds bounds);

    /// Records that a target started to execute a request.
    void on_run(const std::string& id, bool is_non_idempotent, bool is_limited,
                base::time_point now);

    /// Records that a caller received a response, or failed to receive one (status 0).
    void on_response(const std::string& id, int status, bool is_complete, base::time_point now);

    /// Records that a caller may send a request again, as its connection closed before a host read
    /// it.
    void on_unread(const std::string& id);

    /// Records that a target broke off its response, which the host may then break off as well.
    void on_cut(const std::string& id);
    bool was_cut(const std::string& id) const;

    /// Whether a target started to execute the request.
    bool has_run(const std::string& id) const;

    /// Records a violated invariant; `what` starts with the name of the invariant.
    void on_violation(const std::string& what);

    const std::vector<std::string>& violations() const;

    std::uint64_t runs = 0;
    std::uint64_t responses = 0;
    std::uint64_t successes = 0;
    std::uint64_t refusals = 0;

private:
    struct request_record {
        unsigned runs = 0;
        bool is_non_idempotent = false;
        /// Status of a response that states that the request was not executed; 0 if none.
        int refused = 0;
        bool is_unread = false;
        bool is_cut = false;
    };

    void check(const std::string& id, const request_record& record);

    quota_bounds m_bounds;
    std::map<std::string, request_record> m_requests;
    std::deque<base::time_point> m_limited;
    std::vector<std::string> m_violations;
};

} // namespace snipeshore::soak
