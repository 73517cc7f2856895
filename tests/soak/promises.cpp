#include "tests/soak/promises.h"

namespace snipeshore::soak {

namespace {

bool says_not_run(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

} // namespace

promises::promises(promise_bounds bounds) : m_bounds(bounds) {}

void promises::on_run(const std::string& id, bool is_once, bool is_limited, base::time_point now)
{
    ++runs;
    facts& known = m_requests[id];
    ++known.runs;
    known.is_once = is_once;
    check(id, known);
    if (!is_limited) {
        return;
    }
    m_limited.push_back(now);
    while (now - m_limited.front() > m_bounds.window) {
        m_limited.pop_front();
    }
    const double seconds = std::chrono::duration<double>(m_bounds.window).count();
    const double most =
        (m_bounds.rate * seconds + m_bounds.burst) * (1 + m_bounds.overage) + m_bounds.slack;
    if (static_cast<double>(m_limited.size()) > most) {
        on_wrong("quota: " + std::to_string(m_limited.size()) + " requests in a window");
        m_limited.clear();
    }
}

void promises::on_answer(const std::string& id, int status, bool is_whole, base::time_point /*now*/)
{
    ++answers;
    facts& known = m_requests[id];
    if (status == 200) {
        ++good;
        if (!is_whole) {
            on_wrong("answer: " + id + " got 200 with another body");
        }
    }
    if (says_not_run(status)) {
        ++refusals;
        known.refused = status;
        check(id, known);
    }
}

void promises::check(const std::string& id, const facts& known)
{
    if (known.is_once && known.runs > 1) {
        on_wrong("once: " + id + " ran " + std::to_string(known.runs) + " times");
    }
    if (known.refused != 0 && known.runs > 0) {
        on_wrong("refusal: " + id + " ran and was answered " + std::to_string(known.refused));
    }
}

void promises::on_wrong(const std::string& what)
{
    m_broken.push_back(what);
}

const std::vector<std::string>& promises::broken() const
{
    return m_broken;
}

} // namespace snipeshore::soak
