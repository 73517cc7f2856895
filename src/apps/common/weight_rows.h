/// @file Steering weights between their message form and the table of a plan.
#pragma once

#include "inner/types/messages.h"
#include "steering/types/plan.h"
#include "steering/types/weight_table.h"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipeshore::apps {

/// Positions of entries by the text of their `id`.
template <typename Entries>
std::unordered_map<std::string, std::size_t> index_by_id(const Entries& entries)
{
    std::unordered_map<std::string, std::size_t> index;
    for (std::size_t position = 0; position < entries.size(); ++position) {
        index.emplace(entries[position].id.value(), position);
    }
    return index;
}

/// Replaces the rows of `table` that are given; entries that the plan does not have are left out.
/// Returns the indices of the rows.
std::vector<std::size_t> set_rows(steering::weight_table& table, const steering::plan& plan,
                                  const std::vector<inner::site_weights>& rows);

} // namespace snipeshore::apps
