#include "apps/host/request_parts.h"

#include "base/error_response.h"
#include "base/hash.h"
#include "routing/route_table.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

namespace snipeshore::apps {

namespace {

/// Longest time limit that a caller can set; larger values are reduced to it.
constexpr std::int64_t max_wait_ms = 3'600'000;

/// Time limit of a request for which neither the caller nor the route sets one.
constexpr std::chrono::seconds default_time_limit{60};

/// Minimum delay before a refused caller retries; before that the targets are still full.
constexpr std::chrono::milliseconds min_retry_after{100};

/// Hop-by-hop headers other than those that describe the body.
constexpr std::array<std::string_view, 6> connection_headers = {
    "te", "trailer", "proxy-connection", "proxy-authenticate", "proxy-authorization", "expect"};

std::string_view trim(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t\"");
    const std::size_t last = text.find_last_not_of(" \t\"");
    return first == std::string_view::npos ? std::string_view()
                                           : text.substr(first, last - first + 1);
}

bool is_connection_header(std::string_view name)
{
    return std::find(connection_headers.begin(), connection_headers.end(), name) !=
           connection_headers.end();
}

std::string format_seconds(base::duration time)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", std::chrono::duration<double>(time).count());
    return text;
}

} // namespace

std::string_view find_cookie(const http::header_list& headers, std::string_view name)
{
    for (const http::header& field : headers) {
        if (field.name != "cookie") {
            continue;
        }
        std::string_view rest = field.value;
        while (!rest.empty()) {
            const std::size_t end = std::min(rest.find(';'), rest.size());
            const std::string_view pair = rest.substr(0, end);
            const std::size_t equals = pair.find('=');
            if (equals != std::string_view::npos && trim(pair.substr(0, equals)) == name) {
                return trim(pair.substr(equals + 1));
            }
            rest.remove_prefix(std::min(end + 1, rest.size()));
        }
    }
    return {};
}

base::result<const routing::account*> account_of(const routing::route_table& routes,
                                                 const routing::route& route,
                                                 const http::header_list& headers,
                                                 std::string_view key_name)
{
    if (route.allows_anonymous || routes.accounts.empty()) {
        return nullptr;
    }
    return routing::find_account(routes, http::find_header(headers, key_name).value_or(""));
}

std::optional<std::chrono::milliseconds> read_time_left(const http::header_list& headers,
                                                        std::string_view name)
{
    const auto text = http::find_header(headers, name);
    if (!text.has_value()) {
        return std::nullopt;
    }
    std::int64_t value = 0;
    const auto [end, failure] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (failure != std::errc() || value < 0) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(std::min(value, max_wait_ms));
}

base::time_point request_deadline(const http::header_list& headers, std::string_view time_left_name,
                                  const routing::route* route, base::time_point arrived)
{
    const base::time_point callers =
        arrived + read_time_left(headers, time_left_name).value_or(default_time_limit);
    if (route == nullptr || route->time_limit.count() <= 0) {
        return callers;
    }
    return std::min<base::time_point>(callers, arrived + route->time_limit);
}

std::uint64_t object_hash(const http::header_list& headers, const wire_names& names,
                          const routing::route& route, std::uint64_t fallback)
{
    const std::string_view object =
        route.has_affinity ? find_cookie(headers, names.object_cookie) : std::string_view();
    return object.empty() ? fallback : base::stable_hash(object, base::stable_hash(route.name));
}

http::header_list make_forwarded_headers(const http::header_list& from, const wire_names& names)
{
    http::header_list headers;
    headers.reserve(from.size() + 3);
    for (const http::header& field : from) {
        const bool is_own = field.name == names.key || field.name == names.account ||
                            field.name == names.target || field.name == names.time_left;
        if (!is_own && !is_connection_header(field.name)) {
            headers.push_back(field);
        }
    }
    return headers;
}

std::pair<http::response_head, std::string> make_refusal(const base::error& cause,
                                                         std::string_view request_id, bool not_run,
                                                         base::duration retry_after)
{
    const base::error_response& response = base::response_for(cause.kind);
    http::response_head head;
    head.status = response.http_status;
    head.headers.push_back({"content-type", "application/json"});
    if (response.retry == base::retry_advice::after_delay ||
        response.retry == base::retry_advice::other_host) {
        head.headers.push_back({"retry-after", format_seconds(std::max<base::duration>(
                                                   retry_after, min_retry_after))});
    }
    return {std::move(head), base::error_body(cause, request_id, not_run)};
}

} // namespace snipeshore::apps
