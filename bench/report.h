/// @file Prints the line of `make bench` for one measured value.
#pragma once

#include <cstdio>

namespace snipeshore::bench {

enum class bound_kind { at_most, at_least, information };

/// Prints the line and returns whether the value is within its bound.
inline bool report(const char* name, double value, const char* unit, bound_kind kind, double bound)
{
    const bool passed = kind == bound_kind::information ||
                        (kind == bound_kind::at_most ? value <= bound : value >= bound);
    if (kind == bound_kind::information) {
        std::printf("bench %s %.6g %s - pass\n", name, value, unit);
    } else {
        std::printf("bench %s %.6g %s %.6g %s\n", name, value, unit, bound,
                    passed ? "pass" : "fail");
    }
    std::fflush(stdout);
    return passed;
}

} // namespace snipeshore::bench
