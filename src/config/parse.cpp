#include "config/parse.h"

#include "config/internal/cross_checks.h"
#include "config/internal/json.h"
#include "config/internal/schema_check.h"

#include <functional>
#include <optional>
#include <set>
#include <unordered_set>
#include <utility>

namespace snipeshore::config {

namespace {

using nlohmann::json;

/// Maximum nesting depth; deeper texts are rejected before they are parsed. The deepest field of
/// the documents is at level 7.
constexpr std::size_t max_depth = 16;

problem whole_document(const std::string& value, const std::string& expected)
{
    return {"", value, expected};
}

/// Checks what a parsed JSON value does not show: syntax, nesting depth and repeated field names.
/// This is a separate pass because the parser's callback takes quadratic time on long lists.
class structure_check final : public nlohmann::json_sax<json> {
public:
    bool null() override
    {
        return true;
    }
    bool boolean(bool /*value*/) override
    {
        return true;
    }
    bool number_integer(number_integer_t /*value*/) override
    {
        return true;
    }
    bool number_unsigned(number_unsigned_t /*value*/) override
    {
        return true;
    }
    bool number_float(number_float_t /*value*/, const string_t& /*text*/) override
    {
        return true;
    }
    bool string(string_t& /*value*/) override
    {
        return true;
    }
    bool binary(binary_t& /*value*/) override
    {
        return true;
    }
    bool start_object(std::size_t /*size*/) override
    {
        return enter_container();
    }
    bool start_array(std::size_t /*size*/) override
    {
        return enter_container();
    }
    bool end_object() override
    {
        m_names.pop_back();
        return true;
    }
    bool end_array() override
    {
        m_names.pop_back();
        return true;
    }
    bool key(string_t& name) override
    {
        if (m_names.back().insert(name).second) {
            return true;
        }
        found = whole_document(internal::describe_value(name) + " more than once",
                               "each field at most once in an object");
        return false;
    }
    bool parse_error(std::size_t position, const std::string& /*token*/,
                     const json::exception& failure) override
    {
        found = whole_document("a syntax error at byte " + std::to_string(position),
                               std::string("JSON text: ") + failure.what());
        return false;
    }

    std::optional<problem> found;

private:
    bool enter_container()
    {
        m_names.emplace_back();
        if (m_names.size() <= max_depth) {
            return true;
        }
        found = whole_document("nesting that is too deep",
                               "at most " + std::to_string(max_depth) + " levels of nesting");
        return false;
    }

    /// Field names found in each open object or array; empty for arrays.
    std::vector<std::unordered_set<std::string>> m_names;
};

std::variant<json, std::vector<problem>> read_json(std::string_view text)
{
    structure_check check;
    json::sax_parse(text, &check);
    if (check.found) {
        return std::vector<problem>{*check.found};
    }
    return json::parse(text);
}

template <typename T>
parsed<T> parse_checked(std::string_view text, const internal::schema_checker& schema,
                        const std::function<void(const T&, internal::problem_collector&)>& check)
{
    auto read = read_json(text);
    if (auto* problems = std::get_if<1>(&read)) {
        return std::move(*problems);
    }
    const json& value = std::get<0>(read);
    internal::problem_collector problems(value);
    schema.check(value, problems);
    if (problems.size() != 0) {
        return problems.take();
    }
    T result = value.get<T>();
    check(result, problems);
    if (problems.size() != 0) {
        return problems.take();
    }
    return result;
}

void check_keys(const keys_document& checked, internal::problem_collector& problems)
{
    std::unordered_set<std::string> hashes;
    for (std::size_t i = 0; i < checked.keys.size(); ++i) {
        if (!hashes.insert(checked.keys[i].hash).second) {
            problems.add(json::json_pointer() / "keys" / i / "hash", "each hash at most once");
        }
    }
}

void check_drains(const drains_document& checked, internal::problem_collector& problems)
{
    std::set<std::pair<drain_kind, std::string>> seen;
    for (std::size_t i = 0; i < checked.drains.size(); ++i) {
        if (!seen.emplace(checked.drains[i].kind, checked.drains[i].id).second) {
            problems.add(json::json_pointer() / "drains" / i / "id",
                         "each kind and id at most once");
        }
    }
}

std::string canonical_json(const json& value)
{
    return value.dump();
}

} // namespace

parsed<document> parse(std::string_view text)
{
    static const internal::schema_checker schema(schema_text());
    return parse_checked<document>(text, schema, internal::cross_check);
}

parsed<keys_document> parse_keys(std::string_view text)
{
    static const internal::schema_checker schema(keys_schema_text());
    return parse_checked<keys_document>(text, schema, check_keys);
}

parsed<drains_document> parse_drains(std::string_view text)
{
    static const internal::schema_checker schema(drains_schema_text());
    return parse_checked<drains_document>(text, schema, check_drains);
}

std::string to_text(const document& source)
{
    return canonical_json(source);
}

std::string to_text(const keys_document& source)
{
    return canonical_json(source);
}

std::string to_text(const drains_document& source)
{
    return canonical_json(source);
}

std::string to_text(const std::vector<problem>& problems)
{
    std::string text;
    for (const problem& found : problems) {
        const std::string location = found.pointer.empty() ? "(document)" : found.pointer;
        text += location + ": found " + found.value + ", expected " + found.expected + "\n";
    }
    return text;
}

} // namespace snipeshore::config
