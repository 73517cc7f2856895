/// @file Checked reading and writing of the published documents.
///
/// A document is checked against its JSON Schema first and, when its shape is right, by
/// cross-checks between its parts. Each of the two steps reports all its problems at once.
#pragma once

#include "config/types/document.h"
#include "config/types/drains_document.h"
#include "config/types/keys_document.h"
#include "config/types/problem.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace snipeshore::config {

template <typename T>
using parsed = std::variant<T, std::vector<problem>>;

parsed<document> parse(std::string_view text);

/// Does not check that the accounts exist: a key outlives the account's entry in the configuration.
parsed<keys_document> parse_keys(std::string_view text);

/// Does not check that the drained items exist, for the same reason.
parsed<drains_document> parse_drains(std::string_view text);

/// Canonical JSON: sorted names, all defaults written out. Equal documents have equal texts.
std::string to_text(const document& source);
std::string to_text(const keys_document& source);
std::string to_text(const drains_document& source);

/// One line per problem: "pointer: found VALUE, expected EXPECTATION".
std::string to_text(const std::vector<problem>& problems);

/// The JSON Schema of the configuration document.
std::string_view schema_text();
std::string_view keys_schema_text();
std::string_view drains_schema_text();

} // namespace snipeshore::config
