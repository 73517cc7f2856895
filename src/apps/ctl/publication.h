/// @file Publication logic of snipeshorectl without I/O, based on module `documents`.
#pragma once

#include "apps/ctl/types/publication.h"
#include "base/result.h"
#include "store/types/row.h"

#include <string>
#include <string_view>
#include <variant>

namespace snipeshore::apps {

/// Version in force according to the row; 0 if nothing has been published.
std::uint64_t version_of(const documents::published_row& row);

/// Parses a row read from the store. Errors: `document_invalid` if the value is malformed.
base::result<documents::published_row> parse_row(const store::row& row);

/// Returns what to write, or the outcome if nothing is to be written. `base_text` is the text in
/// force, empty if it cannot be read. `taken_version` is the highest version whose object name is
/// taken by other content; the plan uses a higher version.
std::variant<documents::publish_plan, publish_outcome>
plan_publication(const documents::published_row& row, const publication_request& request,
                 std::string_view base_text, std::uint64_t taken_version,
                 const std::string& publication_id);

enum class write_result {
    in_force,     ///< The publication took effect.
    not_written,  ///< The row is unchanged. The write may still take effect; it can be sent again.
    superseded,   ///< Another publication was written instead; this one was never in force.
    restored,     ///< The store was restored; the publication has to be planned again.
    undetermined, ///< The store was restored but does not report its era; this publication may have
                  ///< been in force before.
};

/// Determines the result of a write without a reply from the row that was read afterwards.
write_result check_write_result(const documents::published_row& read,
                                const documents::publish_plan& plan);

} // namespace snipeshore::apps
