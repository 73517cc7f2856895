/// @file Check of a JSON value against a JSON Schema.
#pragma once

#include "config/internal/problems.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string_view>

namespace snipeshore::config::internal {

/// Longest string in a document, in bytes. The regular expressions of the standard library recurse
/// once per character and overflow the stack on strings of some hundred thousand characters.
inline constexpr std::size_t max_string_bytes = 512;

/// A schema, compiled once. Supports the keywords that the project's schemas use.
class schema_checker {
public:
    explicit schema_checker(std::string_view schema_text);
    ~schema_checker();
    schema_checker(const schema_checker&) = delete;
    schema_checker& operator=(const schema_checker&) = delete;
    schema_checker(schema_checker&&) = delete;
    schema_checker& operator=(schema_checker&&) = delete;

    void check(const nlohmann::json& value, problem_collector& problems) const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace snipeshore::config::internal
