/// @file Collects problems while a document is checked.
#pragma once

#include "config/types/problem.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace snipeshore::config::internal {

/// Description of a value for a problem report: the size of a list or an object, otherwise the JSON
/// text, truncated if long.
std::string describe_value(const nlohmann::json& value);

/// Collects the problems of one JSON document. Looks up the faulty values by their pointers.
class problem_collector {
public:
    explicit problem_collector(const nlohmann::json& root) : m_root(root) {}

    void add(const nlohmann::json::json_pointer& pointer, const std::string& expected);

    std::size_t size() const
    {
        return m_problems.size();
    }

    /// Returns the problems in the order found, without duplicates, and clears the collector.
    std::vector<problem> take();

private:
    const nlohmann::json& m_root;
    std::vector<problem> m_problems;
};

} // namespace snipeshore::config::internal
