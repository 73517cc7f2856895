/// @file Decides from all calls of a host to the store together whether the store responds. While
/// it does not, probes find out when it does again; calls that were sent before are lost and are
/// sent again then, whatever their own time-outs.
#pragma once

#include "base/time.h"
#include "contact/types/store_contact.h"

#include <chrono>
#include <cstddef>
#include <optional>

namespace snipeshore::contact {

/// Time without a response, beyond what the call may take by itself, after which it counts as lost.
/// Twice the slowest recent response, within these bounds.
inline constexpr std::chrono::milliseconds min_patience{1000};
inline constexpr std::chrono::milliseconds max_patience{3000};

/// Time between two probes of the first host of a failure domain. A change must be in force a
/// second after the store is back, of which finding that out may take half.
inline constexpr std::chrono::milliseconds probe_interval{500};

/// Time after which a call that another host has shown to be due for a response counts as lost.
inline constexpr std::chrono::milliseconds overdue_time{500};

base::duration patience(const store_contact& contact);

/// Added to the patience for a call that reads a whole table, whose rows take time to arrive.
inline constexpr std::chrono::milliseconds whole_table_time{1000};

/// A call was sent that may take `own_time` by itself, because it waits for a change or reads a
/// whole table.
void on_call_sent(store_contact& contact, call_id call, base::duration own_time,
                  base::time_point now);

/// The call was cancelled.
void on_call_dropped(store_contact& contact, call_id call);

/// The store responded to the call.
void on_response(store_contact& contact, call_id call, base::time_point now);

/// The call failed without a usable response. Returns whether the store thereby counts as silent:
/// only if the call has hung; a refused or broken connection says nothing of other calls.
bool on_failure(store_contact& contact, call_id call, base::time_point now);

/// Another host has a change that the call should have delivered.
void on_missed_change(store_contact& contact, call_id call, base::time_point now);

/// Whether the store has not responded to some call in time.
bool has_lost_call(const store_contact& contact, base::time_point now);

/// Forgets all open calls, which are lost, and starts probing at once.
void begin_silence(store_contact& contact, base::time_point now);

/// Whether a probe should be sent now. Earlier ones may still be unanswered.
bool should_probe(const store_contact& contact, base::time_point now);

/// A probe was sent by the host at position `rank` of those of its failure domain that call the
/// store; later ones probe less often.
void on_probe_sent(store_contact& contact, std::size_t rank, base::time_point now);

/// Another host has contact with the store again, so a probe is sent soon.
void on_peer_contact(store_contact& contact, base::time_point now);

/// The store responded to a probe that was sent at `sent`.
void end_silence(store_contact& contact, base::time_point sent, base::time_point now);

/// When `has_lost_call` or `should_probe` next becomes true without further events.
std::optional<base::time_point> next_check(const store_contact& contact);

} // namespace snipeshore::contact
