/// @file Derives the steering plan from the document.
#pragma once

#include "base/result.h"
#include "config/types/document.h"
#include "steering/types/plan.h"

namespace snipeshore::steering {

/// Every entry host of the document is a decider and owns the share 1/hosts of every region, of
/// every link and of the shift cap. Regions without a link between them cannot receive each other's
/// traffic, because the capacity between them is unknown.
/// Fails with `document_invalid` on an unknown id, on a list with too many entries, and if there
/// are no regions, failure domains or hosts.
base::result<plan> make_plan(const config::document& document);

/// Replaces the equal shares of regions: the hosts in a region together own the fraction `local`
/// (0..1) of it, and all other hosts together own the rest. This is for deployments whose callers
/// send their look-ups to a host near them; with equal shares, such a decider could use only a
/// small share of its own region. The shares of all hosts still sum to 1 if every decider uses the
/// same `local`. If `self` is not in the document, its shares are 0.
void set_local_shares(plan& plan, const config::document& document, const base::host_id& self,
                      double local);

} // namespace snipeshore::steering
