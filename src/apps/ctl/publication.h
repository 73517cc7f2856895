/// @file Decisions of a publication, without any I/O. They build on module `documents`.
#pragma once

#include "apps/ctl/types/publication.h"
#include "base/result.h"
#include "store/types/row.h"

#include <string>
#include <string_view>
#include <variant>

namespace snipeshore::apps {

/// Version in force by the row; 0 if there is none.
std::uint64_t version_of(const documents::published_row& row);

/// The row as it was read from the store. A malformed value is `document_invalid`.
base::result<documents::published_row> read_state(const store::row& row);

/// Decides what to write, or that the publication ends without a write. `base_text` is the text in
/// force, empty if it cannot be read. `taken_version` is the highest version whose object name
/// holds other content; it is passed over.
std::variant<documents::publish_plan, publish_outcome>
plan_publication(const documents::published_row& row, const publish_order& order,
                 std::string_view base_text, std::uint64_t taken_version,
                 const std::string& publication_id);

enum class row_verdict {
    in_force,    ///< The publication took effect.
    not_written, ///< The row is unchanged. The write may still arrive; it can be sent again.
    overtaken,   ///< Another publication took the place; this one was never in force.
    unclear,     ///< The store was restored; this publication may have been in force before.
};

/// Judges the row that was read after a write without a reply.
row_verdict judge_row(const documents::published_row& read, const documents::publish_plan& plan);

} // namespace snipeshore::apps
