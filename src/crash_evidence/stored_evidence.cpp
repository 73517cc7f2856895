#include "crash_evidence/stored_evidence.h"

#include <algorithm>
#include <string_view>

namespace snipeshore::crash_evidence {

namespace {

using fleet::notice;
using fleet::notice_kind;

/// Encoded in base64, a row of this size fits into 64 KiB.
constexpr std::size_t max_row_bytes = 40U << 10U;

constexpr std::chrono::hours row_retention{7 * 24};

/// Of a notice in a row, beside its subject.
constexpr std::size_t notice_overhead_bytes = 48;

/// The subject of a crash is the request and its target.
std::string request_of(const notice& one)
{
    return one.subject.substr(0, one.subject.find('/'));
}

void need_write(stored_evidence& evidence, base::time_point write_by)
{
    evidence.write_by = std::min(evidence.write_by.value_or(write_by), write_by);
}

void note_request(stored_evidence& evidence, const notice& one)
{
    base::time_point& until = evidence.stored_requests[request_of(one)];
    until = std::max(until, one.observed_at + fleet::lifetime_of(one.kind));
}

} // namespace

void keep_notice(stored_evidence& evidence, const notice& made, base::time_point write_by)
{
    if (fleet::post(evidence.notices, made)) {
        need_write(evidence, write_by);
    }
}

void clear_request(stored_evidence& evidence, const notice& cleared, keep_clearance kept,
                   base::time_point write_by)
{
    const std::string request = request_of(cleared);
    const bool is_stored = evidence.stored_requests.contains(request);
    const std::size_t erased = std::erase_if(evidence.notices.notices, [&](const auto& entry) {
        return request_of(entry.second) == request &&
               entry.second.observed_at <= cleared.observed_at;
    });
    const bool is_kept =
        (kept == keep_clearance::yes || (kept == keep_clearance::if_stored && is_stored)) &&
        fleet::post(evidence.notices, cleared);
    if (is_kept || (erased > 0 && is_stored)) {
        need_write(evidence, write_by);
    }
    if (evidence.notices.notices.empty() && !evidence.has_row) {
        evidence.write_by.reset();
    }
}

void note_stored(stored_evidence& evidence, const notice& read)
{
    note_request(evidence, read);
}

fleet::stored_notices make_row(const stored_evidence& evidence, base::time_point now,
                               std::chrono::milliseconds unix_time)
{
    std::vector<const notice*> newest;
    for (const auto& [key, one] : evidence.notices.notices) {
        newest.push_back(&one);
    }
    std::sort(newest.begin(), newest.end(), [](const notice* left, const notice* right) {
        const auto rank = [](const notice& one) {
            return std::pair(one.kind == notice_kind::quarantine, one.observed_at);
        };
        return rank(*left) > rank(*right);
    });
    fleet::stored_notices row{unix_time, {}};
    std::size_t bytes = 0;
    for (const notice* one : newest) {
        bytes += one->subject.size() + notice_overhead_bytes;
        if (bytes > max_row_bytes) {
            break;
        }
        row.notices.push_back(fleet::told(*one, now));
    }
    return row;
}

void on_row_sent(stored_evidence& evidence)
{
    evidence.write_by.reset();
    evidence.has_row = true;
    for (const auto& [key, one] : evidence.notices.notices) {
        note_request(evidence, one);
    }
}

void on_row_written(stored_evidence& evidence)
{
    evidence.has_row = !evidence.notices.notices.empty();
}

void on_row_lost(stored_evidence& evidence, base::time_point write_by)
{
    if (evidence.has_row) {
        need_write(evidence, write_by);
    }
}

bool is_outdated(const fleet::stored_notices& row, std::chrono::milliseconds unix_time)
{
    return unix_time - row.written_at > row_retention;
}

std::vector<notice> read_row(const fleet::stored_notices& row, base::time_point now,
                             std::chrono::milliseconds unix_time)
{
    const auto since_written = std::max(unix_time - row.written_at, std::chrono::milliseconds{0});
    std::vector<notice> notices;
    for (const fleet::told_notice& one : row.notices) {
        const auto age = one.age + since_written;
        const bool is_evidence =
            one.kind == notice_kind::crash || one.kind == notice_kind::quarantine;
        if (is_evidence && age <= fleet::lifetime_of(one.kind)) {
            notices.push_back({one.kind, one.subject, one.value, now - age});
        }
    }
    std::stable_sort(notices.begin(), notices.end(), [](const notice& left, const notice& right) {
        return left.observed_at < right.observed_at;
    });
    return notices;
}

void drop_expired(stored_evidence& evidence, base::time_point now)
{
    fleet::drop_expired(evidence.notices, now);
    std::erase_if(evidence.stored_requests,
                  [now](const auto& entry) { return entry.second <= now; });
    if (evidence.has_row && evidence.notices.notices.empty()) {
        need_write(evidence, now);
    }
}

} // namespace snipeshore::crash_evidence
