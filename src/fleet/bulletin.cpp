#include "fleet/bulletin.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace snipeshore::fleet {

namespace {

using namespace std::chrono_literals;

struct kind_bounds {
    std::chrono::milliseconds lifetime; ///< A notice that is older has no effect any more.
    std::size_t max_held;
    std::size_t max_told; ///< In one message, which stays below 9 KiB.
};

/// In the order of `notice_kind`. Quarantines last for up to a day; targets name their limit in
/// each response, so that a limit is renewed as long as it is in force. Targets leave within
/// minutes.
constexpr std::array<kind_bounds, notice_kinds> bounds{
    {{60s, 512, 16}, {25h, 512, 16}, {30s, 1024, 32}, {10min, 512, 32}, {60s, 512, 16}}};

/// The age of a notice grows inaccurate by the time of each message that passes it on, which is
/// below a second. Without this gap, a notice would be taken for a newer one when it comes back.
constexpr std::chrono::milliseconds min_newer_by{2000};

const kind_bounds& bounds_of(notice_kind kind)
{
    return bounds.at(static_cast<std::size_t>(kind));
}

std::vector<const notice*> newest_first(const bulletin& notices, notice_kind kind)
{
    std::vector<const notice*> found;
    for (auto at = notices.notices.lower_bound({kind, {}});
         at != notices.notices.end() && at->first.first == kind; ++at) {
        found.push_back(&at->second);
    }
    std::stable_sort(found.begin(), found.end(), [](const notice* left, const notice* right) {
        return left->observed_at > right->observed_at;
    });
    return found;
}

} // namespace

bool post(bulletin& notices, const notice& made)
{
    const auto [entry, is_new] = notices.notices.try_emplace({made.kind, made.subject}, made);
    notice& known = entry->second;
    if (!is_new) {
        const base::duration gap =
            made.value == known.value ? base::duration(min_newer_by) : base::duration{0};
        if (made.observed_at <= known.observed_at + gap) {
            return false;
        }
        known = made;
        return true;
    }
    const std::vector<const notice*> held = newest_first(notices, made.kind);
    if (held.size() > bounds_of(made.kind).max_held) {
        notices.notices.erase({made.kind, std::string(held.back()->subject)});
    }
    return true;
}

std::vector<told_notice> notices_to_tell(const bulletin& notices, base::time_point now)
{
    std::vector<told_notice> told;
    for (std::size_t index = 0; index < notice_kinds; ++index) {
        const auto kind = static_cast<notice_kind>(index);
        std::size_t count = 0;
        for (const notice* one : newest_first(notices, kind)) {
            told_notice next = fleet::told(*one, now);
            if (count++ >= bounds_of(kind).max_told || next.age > bounds_of(kind).lifetime) {
                break;
            }
            told.push_back(std::move(next));
        }
    }
    return told;
}

told_notice told(const notice& one, base::time_point now)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - one.observed_at);
    return {one.kind, one.subject, one.value, std::max(age, 0ms)};
}

std::chrono::milliseconds lifetime_of(notice_kind kind)
{
    return bounds_of(kind).lifetime;
}

notice heard(const told_notice& told, base::time_point now)
{
    return {told.kind, told.subject, told.value,
            now - std::min(told.age, bounds_of(told.kind).lifetime)};
}

void drop_expired(bulletin& notices, base::time_point now)
{
    std::erase_if(notices.notices, [now](const auto& entry) {
        return now - entry.second.observed_at > bounds_of(entry.first.first).lifetime;
    });
}

} // namespace snipeshore::fleet
