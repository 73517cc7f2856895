/// @file Prints measured values and records whether one of them missed its bound.
#pragma once

#include "bench/report.h"

#include <string>

namespace snipeshore::bench {

class reporter {
public:
    void at_most(const std::string& name, double value, const char* unit, double bound)
    {
        m_has_failed |= !report(name.c_str(), value, unit, bound_kind::at_most, bound);
    }

    void at_least(const std::string& name, double value, const char* unit, double bound)
    {
        m_has_failed |= !report(name.c_str(), value, unit, bound_kind::at_least, bound);
    }

    /// Prints a value without a bound.
    void information(const std::string& name, double value, const char* unit)
    {
        report(name.c_str(), value, unit, bound_kind::information, 0);
    }

    int exit_status() const
    {
        return m_has_failed ? 1 : 0;
    }

private:
    bool m_has_failed = false;
};

} // namespace snipeshore::bench
