/// @file Publishing logic without I/O: plans and outcomes of publications, and the comparison of a
/// published row with a host's replica.
#pragma once

#include "base/result.h"
#include "documents/types/publication.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace snipeshore::documents {

struct replica;

std::string row_key(std::string_view name);
std::string text_object_name(std::string_view name, base::document_version version);
std::string patch_object_name(std::string_view name, base::document_version version);

std::string encode(const publication& record);
base::result<publication> decode(std::string_view row_value);

/// First version that is published in an era of the store. It is above all versions of the eras
/// before, which a restored store no longer knows but hosts may hold, so no version number is used
/// for two texts.
base::document_version first_version(std::uint64_t store_era);

/// Highest known version. The fleet's version can be above the row's after the store was restored
/// to an older state.
base::document_version highest_version(const published_row& row, base::document_version fleet);

/// Version of the next publication; `skip` as in `plan_publish`.
base::document_version next_version(const published_row& row, base::document_version fleet,
                                    std::uint64_t skip = 0);

/// Whether the operator edited the highest version. Otherwise the publication is a conflict.
bool is_up_to_date(const publish_request& request, const published_row& row,
                   base::document_version fleet);

/// Plans a publication with the highest version plus one, or the first one of the store's era.
/// `current_text` is the text that the operator edited; if it is empty (unknown), the plan has no
/// patch. `skip` is the number of versions to skip because their objects were written by a
/// publisher that crashed before it wrote the row.
base::result<publish_plan> plan_publish(const publish_request& request, const published_row& row,
                                        base::document_version fleet, std::string_view current_text,
                                        std::uint64_t skip = 0);

/// Plans to write the version that a host holds to the store again if the store was restored since
/// and has lost it. The version keeps its number, so of hosts that hold different lost versions the
/// one with the highest prevails. Empty if there is nothing to write.
std::optional<publish_plan> plan_rewrite(const published_row& row, const replica& held);

/// Next step after the conditional write of the row.
publish_step after_write(const base::status& outcome);

/// Next step after the row was read again because the write ended with a conflict or an unknown
/// outcome.
publish_step after_read(const publish_plan& plan, const published_row& row);

/// Whether `now` holds the publication in `before` or one that came before it, as right after a
/// restoration of the store. Otherwise another publication was written.
bool is_same_or_earlier(const published_row& before, const published_row& now);

/// Describes the conflict for an operator whose edit is based on a text that is no longer in force.
publish_conflict describe_conflict(base::document_version in_force, std::string_view edited_from,
                                   std::string_view in_force_text, std::string_view wanted);

/// Compares a row polled from the store with the version and digest that the host has installed.
store_state compare(const publication& row, base::document_version version,
                    std::string_view digest);

} // namespace snipeshore::documents
