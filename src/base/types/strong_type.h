/// @file Strong types for identifiers and units, so that values of different kinds do not mix.
#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace snipeshore::base {

/// A value of type `T` that is distinct for each `Tag`.
template <typename Tag, typename T>
class strong_type {
public:
    using value_type = T;

    strong_type() = default;
    explicit strong_type(T value) : m_value(std::move(value)) {}

    const T& value() const
    {
        return m_value;
    }

    // clang-tidy takes the 0 of a rewritten comparison for a null pointer.
    friend auto operator<=>(const strong_type&,
                            const strong_type&) = default; // NOLINT(modernize-use-nullptr)
    friend bool operator==(const strong_type&, const strong_type&) = default;

private:
    T m_value{};
};

} // namespace snipeshore::base

template <typename Tag, typename T>
struct std::hash<snipeshore::base::strong_type<Tag, T>> {
    std::size_t operator()(const snipeshore::base::strong_type<Tag, T>& id) const noexcept
    {
        return std::hash<T>{}(id.value());
    }
};
