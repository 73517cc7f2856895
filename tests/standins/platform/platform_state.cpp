#include "tests/standins/platform/platform_state.h"

#include <utility>

namespace snipeshore::standins {

write_outcome put_row(platform_state& state, const std::string& key, std::uint64_t expected_version,
                      std::string value)
{
    const auto found = state.rows.find(key);
    const std::uint64_t version = found == state.rows.end() ? 0 : found->second.version;
    if (version != expected_version) {
        return write_outcome::conflict;
    }
    state.rows[key] = {std::move(value), version + 1};
    return write_outcome::written;
}

write_outcome put_object(platform_state& state, const std::string& name, std::string content)
{
    const auto [found, inserted] = state.objects.try_emplace(name, content);
    if (inserted) {
        return write_outcome::written;
    }
    return found->second == content ? write_outcome::unchanged : write_outcome::conflict;
}

void apply_pending_hosts(platform_state& state, base::time_point now)
{
    std::vector<pending_host> later;
    for (pending_host& change : state.pending_hosts) {
        if (change.visible_at > now) {
            later.push_back(std::move(change));
        } else if (change.record) {
            state.hosts[change.id] = std::move(*change.record);
        } else {
            state.hosts.erase(change.id);
        }
    }
    state.pending_hosts = std::move(later);
}

} // namespace snipeshore::standins
