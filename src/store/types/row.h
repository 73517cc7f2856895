/// @file Data types of the platform's table and host list.
#pragma once

#include <cstdint>
#include <string>

namespace snipeshore::store {

/// Row of the transactional table. Version 0: the row does not exist.
struct row {
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

/// Entry of the platform's host list, which can be out of date.
struct listed_host {
    std::string host_id;
    std::string failure_domain;
    std::string agent_address; ///< "ip:port"
    bool leaving = false;
};

} // namespace snipeshore::store
