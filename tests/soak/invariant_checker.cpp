#include "tests/soak/invariant_checker.h"

namespace snipeshore::soak {

namespace {

bool is_not_run_status(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

} // namespace

invariant_checker::invariant_checker(quota_bounds bounds) : m_bounds(bounds) {}

void invariant_checker::on_run(const std::string& id, bool is_non_idempotent, bool is_limited,
                               base::time_point now)
{
    ++runs;
    request_record& record = m_requests[id];
    ++record.runs;
    record.is_non_idempotent = is_non_idempotent;
    check(id, record);
    if (!is_limited) {
        return;
    }
    m_limited.push_back(now);
    while (now - m_limited.front() > m_bounds.window) {
        m_limited.pop_front();
    }
    const double seconds = std::chrono::duration<double>(m_bounds.window).count();
    const double limit =
        (m_bounds.rate * seconds + m_bounds.burst) * (1 + m_bounds.overage) + m_bounds.slack;
    if (static_cast<double>(m_limited.size()) > limit) {
        on_violation("quota: " + std::to_string(m_limited.size()) +
                     " requests within the quota window");
        m_limited.clear();
    }
}

void invariant_checker::on_response(const std::string& id, int status, bool is_complete,
                                    base::time_point /*now*/)
{
    ++responses;
    request_record& record = m_requests[id];
    if (status == 200) {
        ++successes;
        if (!is_complete) {
            on_violation("response: " + id + " received status 200 with an unexpected body");
        }
    }
    if (is_not_run_status(status)) {
        ++refusals;
        record.refused = status;
        check(id, record);
    }
}

void invariant_checker::on_unread(const std::string& id)
{
    request_record& record = m_requests[id];
    record.is_unread = true;
    check(id, record);
}

void invariant_checker::on_cut(const std::string& id)
{
    m_requests[id].is_cut = true;
}

bool invariant_checker::was_cut(const std::string& id) const
{
    const auto found = m_requests.find(id);
    return found != m_requests.end() && found->second.is_cut;
}

bool invariant_checker::has_run(const std::string& id) const
{
    const auto found = m_requests.find(id);
    return found != m_requests.end() && found->second.runs > 0;
}

void invariant_checker::check(const std::string& id, const request_record& record)
{
    if (record.is_non_idempotent && record.runs > 1) {
        on_violation("once: " + id + " was executed " + std::to_string(record.runs) + " times");
    }
    if (record.is_non_idempotent && record.is_unread && record.runs > 0) {
        on_violation("once: " + id + " was executed but its connection closed unread");
    }
    if (record.refused != 0 && record.runs > 0) {
        on_violation("refusal: " + id + " was executed but received status " +
                     std::to_string(record.refused));
    }
}

void invariant_checker::on_violation(const std::string& what)
{
    m_violations.push_back(what);
}

const std::vector<std::string>& invariant_checker::violations() const
{
    return m_violations;
}

} // namespace snipeshore::soak
