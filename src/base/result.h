/// @file Result of an operation that can fail.
#pragma once

#include "base/types/error.h"

#include <variant>

namespace snipeshore::base {

/// Holds a value or an error.
template <typename T>
using result = std::variant<T, error>;

/// Result of an operation that returns no value.
using status = result<std::monostate>;

template <typename T>
bool is_ok(const result<T>& outcome)
{
    return outcome.index() == 0;
}

template <typename T>
const error& error_of(const result<T>& outcome)
{
    return std::get<1>(outcome);
}

template <typename T>
const T& value_of(const result<T>& outcome)
{
    return std::get<0>(outcome);
}

template <typename T>
T& value_of(result<T>& outcome)
{
    return std::get<0>(outcome);
}

} // namespace snipeshore::base
