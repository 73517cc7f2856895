/// @file A target of the soak: runs requests, tells what it ran, and fails in the ways targets
/// fail.
#pragma once

#include "base/time.h"
#include "http/server.h"
#include "tests/soak/promises.h"

#include <cstdint>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace snipeshore::soak {

enum class target_fault { none, cuts, loses_answers, rejects, mixes, slow, silent };

class soak_target {
public:
    soak_target(http::loop& loop, std::string id, promises& seen, std::uint64_t seed);

    /// Row of the registry.
    std::string row(std::uint64_t sequence) const;

    const std::string& id() const;

    target_fault fault = target_fault::none;
    bool is_leaving = false;
    base::time_point last_allowed = base::time_point::max(); ///< Of requests, once it leaves.

private:
    void handle(const std::shared_ptr<http::exchange>& request);
    void run(const std::shared_ptr<http::exchange>& request);

    http::loop& m_loop;
    std::string m_id;
    promises& m_seen;
    std::mt19937_64 m_random;
    http::server m_server;
    std::set<std::shared_ptr<http::exchange>> m_silent;
};

/// Body of a good answer to the request with this id.
std::string good_body(const std::string& request_id);

} // namespace snipeshore::soak
