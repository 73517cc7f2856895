/// @file Parsing, validation and serialization of the published documents.
///
/// A document is first validated against its JSON Schema and, if it conforms, checked for
/// consistency across its sections. Each of the two steps reports all its problems at once.
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

/// The parsed document, or the problems found in the text.
template <typename T>
using parsed = std::variant<T, std::vector<problem>>;

parsed<document> parse(std::string_view text);

/// Does not check that the accounts exist: a key may outlive its account's entry in the
/// configuration.
parsed<keys_document> parse_keys(std::string_view text);

/// Does not check that the drained items exist: a drain may outlive its item's entry in the
/// configuration.
parsed<drains_document> parse_drains(std::string_view text);

/// Serializes to canonical JSON: sorted names, all defaults written out. Equal documents have equal
/// texts.
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
