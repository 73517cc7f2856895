/// @file Copies steering weights from messages into the weight table of a plan.
#pragma once

#include "inner/types/messages.h"
#include "steering/types/plan.h"
#include "steering/types/weight_table.h"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipeshore::apps {

/// Maps the text of each entry's `id` to the entry's index.
template <typename Entries>
std::unordered_map<std::string, std::size_t> index_by_id(const Entries& entries)
{
    std::unordered_map<std::string, std::size_t> index;
    for (std::size_t position = 0; position < entries.size(); ++position) {
        index.emplace(entries[position].id.value(), position);
    }
    return index;
}

/// Replaces those rows of `table` that `rows` contains, and returns their indices. Sites, services
/// and failure domains that are not in the plan are ignored.
std::vector<std::size_t> set_rows(steering::weight_table& table, const steering::plan& plan,
                                  const std::vector<inner::site_weights>& rows);

} // namespace snipeshore::apps
