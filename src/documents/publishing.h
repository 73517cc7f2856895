/// @file Decisions of a publisher, and of a host that reads a published row.
#pragma once

#include "base/result.h"
#include "documents/types/publication.h"

#include <functional>
#include <string>
#include <string_view>

namespace snipeshore::documents {

std::string row_key(std::string_view name);
std::string text_object_name(std::string_view name, base::document_version version);
std::string patch_object_name(std::string_view name, base::document_version version);

std::string encode(const publication& record);
base::result<publication> decode(std::string_view row_value);

/// Highest version known: the fleet's may be above the row's after the store was restored.
base::document_version highest_version(const published_row& row, base::document_version fleet);

/// Whether the operator edited the highest version; if not, the publication is a conflict.
bool is_up_to_date(const publish_request& request, const published_row& row,
                   base::document_version fleet);

/// The version is one above the highest. `current_text` is the text that the operator edited; empty
/// if it is not known, then no patch is made. `skip` goes over versions whose object is taken by a
/// publisher that died before it wrote the row.
base::result<publish_plan> plan_publish(const publish_request& request, const published_row& row,
                                        base::document_version fleet, std::string_view current_text,
                                        std::uint64_t skip = 0);

/// After the conditional write of the row.
publish_step after_write(const base::status& outcome);

/// After the row was read again because the outcome of the write was unknown or a conflict.
publish_step after_read(const publish_plan& plan, const published_row& row);

/// What to tell an operator whose edit started from a text that is no longer in force.
publish_conflict describe_conflict(base::document_version in_force, std::string_view edited_from,
                                   std::string_view in_force_text, std::string_view wanted);

/// What a polled row means to a host with this version and digest in force.
store_state compare(const publication& row, base::document_version version,
                    std::string_view digest);

} // namespace snipeshore::documents
