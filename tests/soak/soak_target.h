/// @file Target of the soak: executes requests, reports them to the invariant checker and injects
/// faults.
#pragma once

#include "base/time.h"
#include "http/server.h"
#include "tests/soak/invariant_checker.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace snipeshore::soak {

enum class target_fault {
    none,
    truncates,
    drops_responses,
    rejects,
    mismatches_id,
    slow,
    unresponsive,
    limited, ///< Names a limit in each response.
};

inline constexpr unsigned target_faults = 8; ///< Including `none`.

class soak_target {
public:
    soak_target(http::loop& loop, std::string id, invariant_checker& checker, std::uint64_t seed);

    /// Returns the target's row of the registry table.
    std::string row(std::uint64_t sequence) const;

    const std::string& id() const;

    void set_fault(target_fault started);
    target_fault fault() const;

    bool is_draining = false;
    bool is_removed = false; ///< From the registry table.
    /// Later requests violate the drain invariant.
    base::time_point last_allowed_request = base::time_point::max();

private:
    void handle(const std::shared_ptr<http::exchange>& request);
    void run(const std::shared_ptr<http::exchange>& request);
    void check_limit();

    http::loop& m_loop;
    std::string m_id;
    invariant_checker& m_checker;
    std::mt19937_64 m_random;
    http::server m_server;
    std::set<std::shared_ptr<http::exchange>> m_unanswered;
    target_fault m_fault = target_fault::none;
    std::optional<base::time_point> m_first_limited; ///< First response with the limit.
    std::deque<base::time_point> m_arrivals;         ///< Since then, in the limit's window.
};

/// Body of a successful response to the request with this id.
std::string expected_body(const std::string& request_id);

} // namespace snipeshore::soak
