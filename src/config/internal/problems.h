/// @file Collects problems while a document is checked.
#pragma once

#include "config/types/problem.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace snipeshore::config::internal {

/// JSON text of a value, shortened to a readable length.
std::string shown(const nlohmann::json& value);

/// Adds problems of one JSON document; looks the values up itself.
class problem_collector {
public:
    explicit problem_collector(const nlohmann::json& root) : m_root(root) {}

    void add(const nlohmann::json::json_pointer& pointer, const std::string& expected);

    std::size_t size() const
    {
        return m_problems.size();
    }

    /// Problems in the order found, without repetitions.
    std::vector<problem> take();

private:
    const nlohmann::json& m_root;
    std::vector<problem> m_problems;
};

} // namespace snipeshore::config::internal
