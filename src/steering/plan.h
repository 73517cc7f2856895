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

} // namespace snipeshore::steering
