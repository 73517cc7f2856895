#include "config/diff.h"

#include "base/json_reader.h"
#include "config/internal/json.h"
#include "config/internal/problems.h"

#include <map>
#include <set>

namespace snipeshore::config {

namespace {

using nlohmann::json;

/// Identifier of a list item: the first identifying fields that an object has, the content of a
/// string, otherwise the JSON text of the item.
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

/// Members of an object by name, or items of a list by identifier, so that `compare` handles both
/// in the same way.
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
        // Documents that were not validated may repeat an identifier.
        const std::size_t earlier_uses = uses[name]++;
        if (earlier_uses > 0) {
            name += "#" + std::to_string(earlier_uses);
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
    const std::size_t previous_count = changes.size();
    for (const std::string& name : names) {
        const auto old_member = old_members.find(name);
        const auto new_member = new_members.find(name);
        const std::string member_path = path + "/" + name;
        if (old_member == old_members.end()) {
            changes.push_back({member_path, std::nullopt, new_member->second->dump()});
        } else if (new_member == new_members.end()) {
            changes.push_back({member_path, old_member->second->dump(), std::nullopt});
        } else {
            compare(*old_member->second, *new_member->second, member_path, changes);
        }
    }
    if (changes.size() == previous_count) {
        changes.push_back({path, "previous order", "different order of the same items"});
    }
}

json parse_or_quote(std::string_view text)
{
    json value = base::parse_json_or_discard(text);
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
    compare(parse_or_quote(before), parse_or_quote(after), "", changes);
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
