#include "affinity/copies.h"

namespace snipeshore::affinity {

namespace {

constexpr double sample_weight = 0.05;

bool is_in_use(const copy_entry& entry, base::time_point now)
{
    return now - entry.used_at < copy_lifetime;
}

void make_room(copy_ledger& ledger, base::time_point now)
{
    if (ledger.message_bytes.size() >= max_copy_entries) {
        ledger.message_bytes.clear();
    }
    if (ledger.objects.size() < max_copy_entries) {
        return;
    }
    std::erase_if(ledger.objects, [now](const auto& one) { return !is_in_use(one.second, now); });
    if (ledger.objects.size() >= max_copy_entries) {
        ledger.objects.clear();
    }
}

} // namespace

bool is_shared(const copy_ledger& ledger, std::uint64_t route, std::uint64_t object,
               base::time_point now)
{
    const auto message = ledger.message_bytes.find(route);
    if (message == ledger.message_bytes.end() ||
        message->second > copy_cost_bytes * shared_message_fraction) {
        return false;
    }
    const auto found = ledger.objects.find(object);
    return found == ledger.objects.end() || !is_in_use(found->second, now) ||
           found->second.crossed_bytes < copy_cost_bytes;
}

void record_transfer(copy_ledger& ledger, std::uint64_t route, std::uint64_t object, double bytes,
                     bool has_crossed, base::time_point now)
{
    make_room(ledger, now);
    const auto [message, is_new] = ledger.message_bytes.try_emplace(route, bytes);
    message->second += (bytes - message->second) * sample_weight;
    const auto found = ledger.objects.find(object);
    if (!has_crossed) {
        if (found != ledger.objects.end() && is_in_use(found->second, now)) {
            found->second.used_at = now;
        }
        return;
    }
    copy_entry& entry = ledger.objects[object];
    if (!is_in_use(entry, now)) {
        entry.crossed_bytes = 0;
    }
    entry.crossed_bytes += bytes;
    entry.used_at = now;
}

} // namespace snipeshore::affinity
