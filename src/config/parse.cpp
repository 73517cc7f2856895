#include "config/parse.h"

#include "config/internal/cross_checks.h"
#include "config/internal/json.h"
#include "config/internal/schema_check.h"

#include <functional>
#include <set>
#include <unordered_set>
#include <utility>

namespace snipeshore::config {

namespace {

using nlohmann::json;

/// The deepest field of the documents is at level 7; deeper nesting is refused while reading.
constexpr int max_depth = 16;

problem whole_document(const std::string& value, const std::string& expected)
{
    return {"", value, expected};
}

/// Watches the parser's events for what a JSON value cannot show afterwards.
class parse_guard {
public:
    bool operator()(int depth, json::parse_event_t event, const json& value)
    {
        if (depth > max_depth) {
            m_too_deep = true;
            return false;
        }
        if (event == json::parse_event_t::object_start) {
            m_names.emplace_back();
        } else if (event == json::parse_event_t::object_end && !m_names.empty()) {
            m_names.pop_back();
        } else if (event == json::parse_event_t::key && !m_names.empty()) {
            const std::string name = value.get<std::string>();
            if (!m_names.back().insert(name).second && m_repeated.empty()) {
                m_repeated = name;
            }
        }
        return true;
    }

    bool too_deep() const
    {
        return m_too_deep;
    }

    const std::string& repeated() const
    {
        return m_repeated;
    }

private:
    bool m_too_deep = false;
    std::string m_repeated;
    std::vector<std::unordered_set<std::string>> m_names;
};

std::variant<json, std::vector<problem>> read_json(std::string_view text)
{
    parse_guard guard;
    json value;
    try {
        value = json::parse(text, std::ref(guard));
    } catch (const json::exception& failure) {
        return std::vector<problem>{whole_document(std::to_string(text.size()) + " bytes of text",
                                                   std::string("JSON text: ") + failure.what())};
    }
    if (guard.too_deep()) {
        return std::vector<problem>{whole_document(
            "deeper nesting", "at most " + std::to_string(max_depth) + " levels of nesting")};
    }
    if (!guard.repeated().empty()) {
        return std::vector<problem>{whole_document("\"" + guard.repeated() + "\" twice",
                                                   "each field at most once in an object")};
    }
    return value;
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

std::string canonical(const json& value)
{
    return value.dump(2, ' ', false) + "\n";
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
    return canonical(source);
}

std::string to_text(const keys_document& source)
{
    return canonical(source);
}

std::string to_text(const drains_document& source)
{
    return canonical(source);
}

std::string to_text(const std::vector<problem>& problems)
{
    std::string text;
    for (const problem& found : problems) {
        const std::string place = found.pointer.empty() ? "(document)" : found.pointer;
        text += place + ": found " + found.value + ", expected " + found.expected + "\n";
    }
    return text;
}

} // namespace snipeshore::config
