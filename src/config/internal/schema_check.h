/// @file Validation of a JSON value against a JSON Schema.
#pragma once

#include "config/internal/problems.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string_view>

namespace snipeshore::config::internal {

/// Maximum length of a string in a document. The regular expressions of the standard library
/// recurse once per character and overflow the stack on strings of several hundred thousand
/// characters.
inline constexpr std::size_t max_string_bytes = 512;

/// Validates values against a schema that is compiled once. Supports only the JSON Schema keywords
/// that this project's schemas use.
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
