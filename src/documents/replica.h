/// @file Installs document versions in a replica and creates updates for other hosts.
#pragma once

#include "documents/types/replica.h"

#include <optional>

namespace snipeshore::documents {

/// Installs `offered` if its version is higher than the current one. The replica changes only if
/// the outcome is `installed`.
install_outcome install(replica& current, const update& offered, const replica_limits& limits);

/// Update for a host with version `held`: the patches if they are in the history and shorter than
/// the text, otherwise the text. Empty if the host is up to date.
std::optional<update> update_since(const replica& current, base::document_version held);

/// Whether a host with version `held` should fetch the patch objects up to version `wanted` from
/// the store instead of the text.
bool should_fetch_patches(base::document_version held, base::document_version wanted);

} // namespace snipeshore::documents
