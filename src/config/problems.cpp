#include "config/internal/problems.h"

#include <set>
#include <utility>

namespace snipeshore::config::internal {

namespace {

constexpr std::size_t max_description_bytes = 120;

std::string summary_of(const nlohmann::json& value)
{
    if (value.is_array()) {
        return "a list of length " + std::to_string(value.size());
    }
    if (value.is_object()) {
        return "an object of " + std::to_string(value.size()) + " fields";
    }
    return value.dump(-1, ' ', true);
}

} // namespace

std::string describe_value(const nlohmann::json& value)
{
    std::string text = summary_of(value);
    if (text.size() > max_description_bytes) {
        text.resize(max_description_bytes);
        text += "...";
    }
    return text;
}

void problem_collector::add(const nlohmann::json::json_pointer& pointer,
                            const std::string& expected)
{
    const std::string value =
        m_root.contains(pointer) ? describe_value(m_root.at(pointer)) : "missing";
    m_problems.push_back({pointer.to_string(), value, expected});
}

std::vector<problem> problem_collector::take()
{
    std::vector<problem> unique;
    std::set<std::pair<std::string, std::string>> seen;
    for (problem& found : m_problems) {
        if (seen.emplace(found.pointer, found.expected).second) {
            unique.push_back(std::move(found));
        }
    }
    m_problems.clear();
    return unique;
}

} // namespace snipeshore::config::internal
