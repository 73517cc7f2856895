#include "apps/host/peer_calls.h"

#include "base/time.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace snipeshore::apps {

namespace {

/// Upper bound for the time that a peer can keep a call open on this host.
constexpr std::uint64_t max_wait_ms = 10000;

bool read_number(std::string_view text, std::uint64_t& number)
{
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    return failure == std::errc() && end == text.data() + text.size();
}

} // namespace

std::string rows_path(std::string_view table, std::uint64_t after, std::chrono::milliseconds wait)
{
    return std::string(rows_prefix) + std::string(table) + "," + std::to_string(after) + "," +
           std::to_string(wait.count());
}

rows_query parse_rows_query(std::string_view query)
{
    const std::size_t first = query.find(',');
    const std::size_t second = query.find(',', std::min(first, query.size() - 1) + 1);
    std::uint64_t wait_ms = 0;
    rows_query parsed;
    if (query.empty() || first == std::string_view::npos || second == std::string_view::npos ||
        !read_number(query.substr(first + 1, second - first - 1), parsed.after) ||
        !read_number(query.substr(second + 1), wait_ms)) {
        return {};
    }
    parsed.table = std::string(query.substr(0, first));
    parsed.wait = std::chrono::milliseconds(std::min(wait_ms, max_wait_ms));
    return parsed;
}

http::client_request make_peer_request(const std::string& address, std::string_view method,
                                       std::string path, std::chrono::milliseconds timeout)
{
    http::client_request request;
    request.address = address;
    request.head.method = method;
    request.head.path = std::move(path);
    request.head.authority = address;
    request.deadline = base::boot_clock::now() + timeout;
    return request;
}

} // namespace snipeshore::apps
