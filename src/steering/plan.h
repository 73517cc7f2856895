/// @file Derives the steering plan from the document.
#pragma once

#include "base/result.h"
#include "config/types/document.h"
#include "steering/types/plan.h"

namespace snipeshore::steering {

/// Every entry host of the document is a decider and owns the part 1/hosts of every region, of
/// every link and of the shift cap. Regions without a link between them cannot take each other's
/// traffic, because nothing is known about what is free there.
/// Fails with `document_invalid` on an unknown id or an empty list.
base::result<plan> make_plan(const config::document& document);

/// Replaces the equal parts of regions: the hosts of a region own the part `local` (0..1) of it
/// together and all other hosts the rest. For deployments whose callers ask a look-up near them;
/// with equal parts such a decider could use only a small part of its own region. The parts of all
/// hosts still add up to 1 if every decider uses the same `local`. An unknown `self` gets no part.
void set_local_shares(plan& plan, const config::document& document, const base::host_id& self,
                      double local);

} // namespace snipeshore::steering
