#include "membership/detection.h"

#include "base/hash.h"

#include <algorithm>
#include <utility>

namespace snipeshore::membership {

namespace {

using ring_point = std::pair<std::uint64_t, base::host_id>;

ring_point point_of(const base::host_id& host)
{
    return {base::stable_hash(host.value()), host};
}

} // namespace

std::vector<base::host_id> ring_successors(const table& members, const inner::host_record& self,
                                           std::size_t count)
{
    std::vector<ring_point> ring;
    for (const auto& [host, item] : members.members) {
        if (host != self.host && item.record.failure_domain == self.failure_domain &&
            item.record.status != inner::host_status::dead) {
            ring.push_back(point_of(host));
        }
    }
    std::sort(ring.begin(), ring.end());
    const auto first = std::lower_bound(ring.begin(), ring.end(), point_of(self.host));
    std::rotate(ring.begin(), first, ring.end());
    ring.resize(std::min(ring.size(), count));
    std::vector<base::host_id> hosts;
    hosts.reserve(ring.size());
    for (auto& point : ring) {
        hosts.push_back(std::move(point.second));
    }
    return hosts;
}

void set_probed(detection& state, const std::vector<base::host_id>& hosts, base::time_point now,
                const detection_settings& settings)
{
    std::map<base::host_id, base::time_point> next;
    for (const auto& host : hosts) {
        const auto known = state.deadlines.find(host);
        next[host] =
            known != state.deadlines.end() ? known->second : now + settings.failure_timeout;
    }
    state.deadlines = std::move(next);
}

void on_probe_answered(detection& state, const base::host_id& host, base::time_point now,
                       const detection_settings& settings)
{
    const auto known = state.deadlines.find(host);
    if (known != state.deadlines.end()) {
        known->second = now + settings.failure_timeout;
    }
}

std::vector<inner::host_record> mark_dead(table& members, const detection& state,
                                          base::time_point now)
{
    std::vector<inner::host_record> marked;
    for (const auto& [host, deadline] : state.deadlines) {
        const auto known = members.members.find(host);
        if (now < deadline || known == members.members.end() ||
            known->second.record.status == inner::host_status::dead) {
            continue;
        }
        known->second.record.status = inner::host_status::dead;
        known->second.changed = now;
        ++members.revision;
        marked.push_back(known->second.record);
    }
    return marked;
}

void restart_deadlines(detection& state, base::time_point now, const detection_settings& settings)
{
    for (auto& [host, deadline] : state.deadlines) {
        deadline = now + settings.failure_timeout;
    }
}

bool observe_tick(freeze_state& state, base::time_point now, const detection_settings& settings)
{
    const bool first = state.last_tick == base::time_point{};
    const bool gap = first || now - state.last_tick > settings.max_tick_gap;
    state.last_tick = now;
    if (gap) {
        state.unconfirmed = true;
        state.unconfirmed_since = now;
        state.confirm_until = now + settings.failure_timeout;
    }
    return gap && !first;
}

void on_peer_answered(freeze_state& state, base::time_point sent)
{
    // The answer to a call that was sent before the freeze does not confirm the view after it.
    if (sent >= state.unconfirmed_since) {
        state.unconfirmed = false;
    }
}

bool may_act(const freeze_state& state, base::time_point now)
{
    return !state.unconfirmed || now >= state.confirm_until;
}

} // namespace snipeshore::membership
