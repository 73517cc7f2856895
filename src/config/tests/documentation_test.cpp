#include "config/parse.h"
#include "config/tests/deployments.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <string>
#include <utility>
#include <vector>

using namespace snipeshore::config;
using nlohmann::json;

namespace {

/// Text of the section with this heading, up to the next heading.
std::string section_of(const std::string& page, const std::string& heading)
{
    const std::size_t start = page.find("\n## " + heading + "\n");
    REQUIRE_MESSAGE(start != std::string::npos, heading);
    return page.substr(start, page.find("\n## ", start + 1) - start);
}

/// Table row that describes the field; empty if there is none.
std::string row_of(const std::string& section, const std::string& field)
{
    const std::size_t start = section.find("\n| `" + field + "` |");
    return start == std::string::npos
               ? ""
               : section.substr(start + 1, section.find('\n', start + 1) - start - 1);
}

} // namespace

// Guards against fields that are not documented or are documented with a wrong default.
TEST_CASE("docs/configuration.md describes every field of the schema")
{
    const std::string page = source_file("docs/configuration.md");
    const json schema = json::parse(schema_text());
    const std::vector<std::pair<std::string, std::string>> sections{
        {"region", "regions"},
        {"failure_domain", "failure_domains"},
        {"link", "links"},
        {"host", "hosts"},
        {"service", "services"},
        {"route", "services: routes"},
        {"target", "services: targets"},
        {"account", "accounts"},
        {"site", "sites"},
        {"client_block", "client_blocks"},
        {"steering_settings", "steering"},
        {"key_settings", "keys"}};
    const auto check_section = [&](const json& object, const std::string& heading) {
        const std::string section = section_of(page, heading);
        const json& properties = object.at("properties");
        for (auto member = properties.begin(); member != properties.end(); ++member) {
            const std::string& field = member.key();
            CAPTURE(heading);
            CAPTURE(field);
            const std::string row = row_of(section, field);
            CHECK_FALSE(row.empty());
            const bool is_default_named =
                !member.value().contains("default") ||
                row.find("| `" + member.value()["default"].dump() + "` |") != std::string::npos;
            CHECK(is_default_named);
        }
    };
    check_section(schema, "Document");
    std::size_t objects = 0;
    for (const auto& [name, definition] : schema["definitions"].items()) {
        objects += definition.contains("properties") ? 1U : 0U;
    }
    CHECK(objects == sections.size());
    for (const auto& [name, heading] : sections) {
        check_section(schema["definitions"][name], heading);
    }
    const std::string others = section_of(page, "Other documents");
    for (const std::string_view text : {keys_schema_text(), drains_schema_text()}) {
        const json definitions = json::parse(text).at("definitions");
        const json& fields = definitions.begin().value().at("properties");
        for (auto member = fields.begin(); member != fields.end(); ++member) {
            const bool is_named = others.find("`" + member.key() + "`") != std::string::npos;
            CHECK_MESSAGE(is_named, member.key());
        }
    }
}
