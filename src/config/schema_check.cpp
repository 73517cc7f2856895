#include "config/internal/schema_check.h"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <string>
#include <vector>

namespace snipeshore::config::internal {

using nlohmann::json;
using pointer = json::json_pointer;

struct schema_checker::impl {
    json source;
    valijson::Schema schema;

    const json& resolve(const json& node) const
    {
        if (!node.contains("$ref")) {
            return node;
        }
        return source.at(pointer(node.at("$ref").get<std::string>().substr(1)));
    }

    std::string expectation(const json& node) const;
    const json* node_at(const std::vector<std::string>& tokens) const;
};

namespace {

std::string join(const json& names)
{
    std::string text;
    for (const json& name : names) {
        text += (text.empty() ? "" : ", ") + name.get<std::string>();
    }
    return text;
}

json names_of(const json& object)
{
    json names = json::array();
    for (const auto& [name, member] : object.items()) {
        names.push_back(name);
    }
    return names;
}

std::string bounds_of(const json& node)
{
    std::string text;
    const auto append = [&](const char* keyword, const std::string& label) {
        if (node.contains(keyword)) {
            text += ", " + label + " " + node.at(keyword).dump();
        }
    };
    append("minimum", "at least");
    append("exclusiveMinimum", "above");
    append("maximum", "at most");
    append("exclusiveMaximum", "below");
    append("minItems", "number of items at least");
    append("maxItems", "number of items at most");
    append("maxLength", "number of characters at most");
    append("pattern", "matching");
    return text;
}

std::vector<std::string> tokens_of(const std::vector<std::string>& context)
{
    // valijson represents a path as the elements "<root>", "[name]", "[0]".
    std::vector<std::string> tokens;
    for (const std::string& element : context) {
        if (element.size() >= 2 && element.front() == '[') {
            tokens.push_back(element.substr(1, element.size() - 2));
        }
    }
    return tokens;
}

pointer pointer_of(const std::vector<std::string>& tokens)
{
    pointer result;
    for (const std::string& token : tokens) {
        result.push_back(token);
    }
    return result;
}

bool starts_with(const std::string& text, const char* prefix)
{
    return text.rfind(prefix, 0) == 0;
}

void check_lengths(const json& value, const pointer& location, problem_collector& problems)
{
    if (value.is_string() && value.get_ref<const std::string&>().size() > max_string_bytes) {
        problems.add(location,
                     "a string of at most " + std::to_string(max_string_bytes) + " bytes");
    }
    if (value.is_object()) {
        for (const auto& [name, member] : value.items()) {
            check_lengths(member, location / name, problems);
        }
    }
    if (value.is_array()) {
        for (std::size_t index = 0; index < value.size(); ++index) {
            check_lengths(value[index], location / index, problems);
        }
    }
}

} // namespace

std::string schema_checker::impl::expectation(const json& node) const
{
    const json& target = resolve(node);
    std::string text =
        target.contains("enum") ? "one of " + join(target["enum"]) : target.value("type", "");
    text += bounds_of(target);
    if (&target != &node) {
        text += bounds_of(node);
    }
    const std::string description = node.value("description", target.value("description", ""));
    return description.empty() ? text : text + " (" + description + ")";
}

const json* schema_checker::impl::node_at(const std::vector<std::string>& tokens) const
{
    const json* node = &source;
    for (const std::string& token : tokens) {
        const json& target = resolve(*node);
        if (target.contains("items")) {
            node = &target["items"];
        } else if (target.contains("properties") && target["properties"].contains(token)) {
            node = &target["properties"][token];
        } else {
            return nullptr;
        }
    }
    return node;
}

schema_checker::schema_checker(std::string_view schema_text) : m_impl(std::make_unique<impl>())
{
    m_impl->source = json::parse(schema_text);
    valijson::SchemaParser parser;
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(m_impl->source), m_impl->schema);
}

schema_checker::~schema_checker() = default;

void schema_checker::check(const json& value, problem_collector& problems) const
{
    const std::size_t previous_count = problems.size();
    check_lengths(value, pointer(), problems);
    if (problems.size() != previous_count) {
        return;
    }

    valijson::Validator validator;
    valijson::ValidationResults results;
    validator.validate(m_impl->schema, valijson::adapters::NlohmannJsonAdapter(value), &results);
    for (const auto& failure : results) {
        // valijson also reports each ancestor of a faulty value; only the value itself is reported
        // here.
        if (starts_with(failure.description, "Failed to validate")) {
            continue;
        }
        const std::vector<std::string> tokens = tokens_of(failure.context);
        const pointer location = pointer_of(tokens);
        const json* node = m_impl->node_at(tokens);
        if (node == nullptr) {
            problems.add(location, failure.description);
            continue;
        }
        const json& target = m_impl->resolve(*node);
        if (starts_with(failure.description, "Missing required property")) {
            for (const json& name : target.at("required")) {
                if (!value.at(location).contains(name.get<std::string>())) {
                    problems.add(
                        location / name.get<std::string>(),
                        m_impl->expectation(target["properties"][name.get<std::string>()]));
                }
            }
        } else if (starts_with(failure.description, "Object contains a property")) {
            for (const auto& [name, member] : value.at(location).items()) {
                if (!target["properties"].contains(name)) {
                    problems.add(location / name, "no such field; the valid fields are " +
                                                      join(names_of(target["properties"])));
                }
            }
        } else {
            problems.add(location, m_impl->expectation(*node));
        }
    }
}

} // namespace snipeshore::config::internal
