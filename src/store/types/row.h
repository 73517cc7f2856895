/// @file Values of the platform's services.
#pragma once

#include <cstdint>
#include <string>

namespace snipeshore::store {

/// Row of the transactional table. Version 0 means that there is no such row.
struct row {
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

/// Entry of the lagging host list.
struct listed_host {
    std::string host_id;
    std::string failure_domain;
    std::string agent_address; ///< "ip:port"
    bool leaving = false;
};

} // namespace snipeshore::store
