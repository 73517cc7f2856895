/// @file Steering weights of a host.
#pragma once

#include "config/types/document.h"
#include "config/types/drains_document.h"
#include "inner/types/messages.h"

#include <set>
#include <vector>

namespace snipeshore::apps {

/// Failure domains that can take callers: reachable, not drained, and with a live entry host.
std::set<base::failure_domain_id>
usable_domains(const config::document& document, const config::drains_document& drains,
               const std::vector<inner::host_record>& members,
               const std::set<base::failure_domain_id>& reachable);

/// For each site and service all weight to the nearest usable failure domain, by region delay.
/// Without one the row is refused. Shift caps and headroom are not considered.
std::vector<inner::site_weights> compute_weights(const config::document& document,
                                                 const std::set<base::failure_domain_id>& usable);

} // namespace snipeshore::apps
