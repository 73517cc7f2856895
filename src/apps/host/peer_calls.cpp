#include "apps/host/peer_calls.h"

#include "base/deflate.h"
#include "base/time.h"
#include "fleet/exchange_encoding.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace snipeshore::apps {

namespace {

/// Upper bound for the time that a peer can keep a call open on this host.
constexpr std::uint64_t max_wait_ms = 10000;

/// Longer than expired rows take to come back; older contact is left out.
constexpr std::uint64_t max_contact_age_ms = 60000;

/// Time for the whole of a large update on a slow link that other updates share.
constexpr std::chrono::milliseconds transfer_timeout{5000};

bool read_number(std::string_view text, std::uint64_t& number)
{
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    return failure == std::errc() && end == text.data() + text.size();
}

std::optional<base::time_point> read_contact(const http::header_list& headers)
{
    const auto text = http::find_header(headers, contact_header);
    std::uint64_t age_ms = 0;
    if (!text.has_value() || !read_number(*text, age_ms) || age_ms > max_contact_age_ms) {
        return std::nullopt;
    }
    return base::boot_clock::now() - std::chrono::milliseconds(age_ms);
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

base::result<rows::replica_update> parse_rows_reply(const peer_reply& reply)
{
    const auto failed = [](std::string detail) {
        return base::error{base::error_kind::store_unavailable, std::move(detail)};
    };
    if (!base::is_ok(reply)) {
        return failed(base::error_of(reply).detail);
    }
    const auto& [head, body] = base::value_of(reply);
    if (head.status != peer_status_ok) {
        return failed("the peer responded with status " + std::to_string(head.status));
    }
    base::result<rows::replica_update> update = failed("the peer's rows cannot be decompressed");
    if (http::find_header(head.headers, "content-encoding") != rows_coding) {
        update = fleet::parse_update(body);
    } else if (const auto text = base::inflate(body, max_update_bytes)) {
        update = fleet::parse_update(*text);
    }
    if (!base::is_ok(update)) {
        return failed(base::error_of(update).detail);
    }
    base::value_of(update).store_reachable_since = read_contact(head.headers);
    return update;
}

http::client_request make_rows_request(const std::string& address, std::string path,
                                       std::chrono::milliseconds timeout)
{
    http::client_request request = make_peer_request(address, "GET", std::move(path), timeout);
    request.head.headers.push_back({"accept-encoding", std::string(rows_coding)});
    request.head_deadline = request.deadline;
    request.deadline += transfer_timeout;
    return request;
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
