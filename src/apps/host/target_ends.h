/// @file What this host finds out about targets that have ended, and about those that go on running
/// although requests broke or were given up there.
#pragma once

#include "base/time.h"
#include "base/types/ids.h"
#include "crash_evidence/crash_watch.h"

#include <cstdint>
#include <string>

namespace snipeshore::apps {

struct host_context;
struct target_registry;

/// Requests that were running at the target shortly before may have ended it, at most
/// `noticed_within` ago.
void record_target_end(host_context& context, const base::target_id& target,
                       base::duration noticed_within = crash_evidence::usual_notice_time);

/// The target is alive now.
void record_target_alive(host_context& context, const base::target_id& target);

/// Opens a connection to the target to find out whether it has ended.
void check_target(host_context& context, const base::target_id& target, const std::string& address,
                  base::duration noticed_within = crash_evidence::usual_notice_time);

/// Finds out what became of runs that were given up: compares their targets with the registered
/// ones, and checks those of suspected requests. To be called regularly.
void check_given_up(host_context& context, const target_registry& registry);

} // namespace snipeshore::apps
