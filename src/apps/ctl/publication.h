/// @file Decisions of a publication, without any I/O.
#pragma once

#include "apps/ctl/types/publication.h"
#include "platform/types/row.h"

#include <optional>
#include <string>
#include <variant>

namespace snipeshore::apps {

std::string row_key(const std::string& document);
std::string object_name(const std::string& document, std::uint64_t version);
std::string patch_name(const std::string& document, std::uint64_t version);

/// JSON of the row's value: `{"version","digest","publication_id"}`.
std::string to_text(const publication& source);

/// Empty if the row's value is malformed. A row that does not exist is publication 0.
std::optional<published_state> read_state(const platform::row& row);

/// Decides what to write, or that the publication ends without a write. `taken_version` is the
/// highest version whose object name holds other content; it is passed over.
std::variant<write_plan, publish_outcome> plan_publication(const published_state& state,
                                                           const publish_request& request,
                                                           std::uint64_t taken_version,
                                                           const std::string& publication_id);

/// JSON Patch between the texts of two consecutive versions; empty if there is none to write.
std::optional<std::string> patch_text(const write_plan& plan, const std::string& base_text);

enum class row_verdict {
    in_force,    ///< The row names this publication.
    not_written, ///< The row is unchanged. The write may still arrive; it can be sent again.
    overtaken,   ///< Another publication took the place; this one was never in force.
    unclear,     ///< Several writes happened; this publication may have been one of them.
};

/// Judges the row that was read after a write without a reply. Each write of a row raises its
/// version by one.
row_verdict judge_row(const published_state& read, const write_plan& plan);

} // namespace snipeshore::apps
