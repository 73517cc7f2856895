#include "config/diff.h"

#include "config/internal/json.h"
#include "config/internal/problems.h"

#include <map>
#include <set>

namespace snipeshore::config {

namespace {

using nlohmann::json;

/// Fields that identify an item of a list, in order of preference.
std::string identity_of(const json& value)
{
    if (!value.is_object()) {
        return value.is_string() ? value.get<std::string>() : value.dump();
    }
    if (value.contains("kind") && value.contains("id")) {
        return identity_of(value["kind"]) + ":" + identity_of(value["id"]);
    }
    for (const char* field : {"id", "cidr", "path_prefix", "hash"}) {
        if (value.contains(field)) {
            return identity_of(value[field]);
        }
    }
    if (value.contains("from") && value.contains("to")) {
        return identity_of(value["from"]) + ">" + identity_of(value["to"]);
    }
    return value.dump();
}

/// Objects and lists of items as name to value, so that both are compared alike.
std::map<std::string, const json*> members_of(const json& value)
{
    std::map<std::string, const json*> members;
    if (value.is_object()) {
        for (const auto& [name, member] : value.items()) {
            members.emplace(name, &member);
        }
        return members;
    }
    std::map<std::string, std::size_t> uses;
    for (const json& member : value) {
        std::string name = identity_of(member);
        // Documents that were not checked may repeat an identity.
        const std::size_t earlier = uses[name]++;
        if (earlier > 0) {
            name += "#" + std::to_string(earlier);
        }
        members.emplace(name, &member);
    }
    return members;
}

void compare(const json& before, const json& after, const std::string& path,
             std::vector<change>& changes)
{
    if (before == after) {
        return;
    }
    if (!before.is_structured() || before.type() != after.type()) {
        changes.push_back({path, before.dump(), after.dump()});
        return;
    }
    const auto old_members = members_of(before);
    const auto new_members = members_of(after);
    std::set<std::string> names;
    for (const auto& [name, member] : old_members) {
        names.insert(name);
    }
    for (const auto& [name, member] : new_members) {
        names.insert(name);
    }
    const std::size_t found_before = changes.size();
    for (const std::string& name : names) {
        const auto old_member = old_members.find(name);
        const auto new_member = new_members.find(name);
        const std::string here = path + "/" + name;
        if (old_member == old_members.end()) {
            changes.push_back({here, std::nullopt, new_member->second->dump()});
        } else if (new_member == new_members.end()) {
            changes.push_back({here, old_member->second->dump(), std::nullopt});
        } else {
            compare(*old_member->second, *new_member->second, here, changes);
        }
    }
    if (changes.size() == found_before) {
        changes.push_back({path, "one order", "another order of the same items"});
    }
}

json read(std::string_view text)
{
    json value = json::parse(text, nullptr, false);
    return value.is_discarded() ? json(text) : value;
}

} // namespace

std::vector<change> diff(const document& before, const document& after)
{
    std::vector<change> changes;
    compare(json(before), json(after), "", changes);
    return changes;
}

std::vector<change> diff_texts(std::string_view before, std::string_view after)
{
    std::vector<change> changes;
    compare(read(before), read(after), "", changes);
    return changes;
}

std::string to_text(const std::vector<change>& changes)
{
    std::string text;
    for (const change& entry : changes) {
        if (!entry.before) {
            text += "+ " + entry.path + ": " + entry.after.value_or("") + "\n";
        } else if (!entry.after) {
            text += "- " + entry.path + ": " + *entry.before + "\n";
        } else {
            text += "~ " + entry.path + ": " + *entry.before + " -> " + *entry.after + "\n";
        }
    }
    return text;
}

} // namespace snipeshore::config
