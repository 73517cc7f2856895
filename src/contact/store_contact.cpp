#include "contact/store_contact.h"

#include <algorithm>

namespace snipeshore::contact {

namespace {

/// A call that fails after this time has hung; refusals and resets arrive sooner.
constexpr std::chrono::milliseconds hung_time{500};

/// Share of the slowest response that is kept with each later one.
constexpr double slowest_decay = 0.9;

/// Hosts further down the list call the store only if they know no other host.
constexpr std::size_t max_rank = 2;

/// Time between two probes that other hosts cause.
constexpr std::chrono::milliseconds min_probe_interval{100};

void record_response_time(store_contact& contact, base::duration time)
{
    const auto decayed = std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double, base::duration::period>(contact.slowest_response) *
        slowest_decay);
    contact.slowest_response = std::max(time, decayed);
}

} // namespace

base::duration patience(const store_contact& contact)
{
    return std::clamp<base::duration>(2 * contact.slowest_response, min_patience, max_patience);
}

void on_call_sent(store_contact& contact, call_id call, base::duration own_time,
                  base::time_point now)
{
    contact.calls[call] = {now, now + own_time + patience(contact), own_time.count() > 0};
}

void on_call_dropped(store_contact& contact, call_id call)
{
    contact.calls.erase(call);
}

void on_response(store_contact& contact, call_id call, base::time_point now)
{
    const auto found = contact.calls.find(call);
    if (found == contact.calls.end()) {
        return;
    }
    if (!found->second.has_own_time) {
        record_response_time(contact, now - found->second.sent);
    }
    contact.calls.erase(found);
}

bool on_failure(store_contact& contact, call_id call, base::time_point now)
{
    const auto found = contact.calls.find(call);
    if (found == contact.calls.end()) {
        return false;
    }
    const bool has_hung = !found->second.has_own_time && now - found->second.sent >= hung_time;
    contact.calls.erase(found);
    return has_hung;
}

void on_missed_change(store_contact& contact, call_id call, base::time_point now)
{
    const auto found = contact.calls.find(call);
    if (found != contact.calls.end()) {
        found->second.response_due = std::min(found->second.response_due, now + overdue_time);
    }
}

bool has_lost_call(const store_contact& contact, base::time_point now)
{
    return std::any_of(contact.calls.begin(), contact.calls.end(),
                       [now](const auto& entry) { return now >= entry.second.response_due; });
}

void begin_silence(store_contact& contact, base::time_point now)
{
    contact.calls.clear();
    contact.silent_since = now;
    contact.next_probe = now;
}

bool should_probe(const store_contact& contact, base::time_point now)
{
    return contact.silent_since.has_value() && now >= contact.next_probe;
}

void on_probe_sent(store_contact& contact, std::size_t rank, base::time_point now)
{
    contact.last_probe = now;
    contact.next_probe = now + probe_interval * static_cast<int>(std::min(rank, max_rank) + 1);
}

void on_peer_contact(store_contact& contact, base::time_point now)
{
    const base::time_point soon = std::max(now, contact.last_probe + min_probe_interval);
    contact.next_probe = std::min(contact.next_probe, soon);
}

void end_silence(store_contact& contact, base::time_point sent, base::time_point now)
{
    contact.silent_since.reset();
    record_response_time(contact, now - sent);
}

std::optional<base::time_point> next_check(const store_contact& contact)
{
    if (contact.silent_since.has_value()) {
        return contact.next_probe;
    }
    std::optional<base::time_point> next;
    for (const auto& [id, call] : contact.calls) {
        next = std::min(next.value_or(call.response_due), call.response_due);
    }
    return next;
}

} // namespace snipeshore::contact
