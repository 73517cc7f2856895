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
    std::uint64_t era = 0; ///< Era of the store when it sent the row.
};

/// Condition of a write. After a restoration the store gives out row versions again for other
/// content, so a version identifies content only within one era.
struct row_condition {
    std::uint64_t version = 0; ///< 0: the row must not exist.
    std::uint64_t era = 0;     ///< Era in which the row was read.
};

/// Entry of the platform's host list, which can be out of date.
struct listed_host {
    std::string host_id;
    std::string failure_domain;
    std::string agent_address; ///< "ip:port"
    bool leaving = false;
};

} // namespace snipeshore::store
