/// @file Installing versions of a document, and giving them to others.
#pragma once

#include "documents/types/replica.h"

#include <optional>

namespace snipeshore::documents {

/// Installs a higher version only; on any other outcome the replica stays as it is.
install_outcome install(replica& current, const update& offered, const replica_limits& limits);

/// What a host with version `held` lacks: patches if they are kept and shorter than the text, else
/// the text. None if it lacks nothing.
std::optional<update> update_since(const replica& current, base::document_version held);

/// Whether a host with version `held` should fetch patch objects up to `wanted` from the store
/// rather than the text.
bool should_fetch_patches(base::document_version held, base::document_version wanted);

} // namespace snipeshore::documents
