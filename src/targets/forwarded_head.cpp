#include "targets/forwarded_head.h"

#include "targets/response_signals.h"

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <vector>

namespace snipeshore::targets {

namespace {

constexpr std::string_view reserved_prefix = "snipeshore-";

/// Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that our HTTP client and server set
/// themselves.
constexpr std::array<std::string_view, 14> hop_by_hop_headers = {"connection",
                                                                 "content-length",
                                                                 "expect",
                                                                 "host",
                                                                 "http2-settings",
                                                                 "keep-alive",
                                                                 "proxy-authenticate",
                                                                 "proxy-authorization",
                                                                 "proxy-connection",
                                                                 "te",
                                                                 "trailer",
                                                                 "trailers",
                                                                 "transfer-encoding",
                                                                 "upgrade"};

/// Headers that contain the caller's key.
constexpr std::array<std::string_view, 1> key_headers = {"authorization"};

/// Format of a traceparent: "00-" trace id "-" parent id "-" flags.
constexpr std::size_t traceparent_length = 55;
constexpr std::size_t trace_id_offset = 3;
constexpr std::size_t trace_id_length = 32;
constexpr std::size_t parent_id_offset = 36;
constexpr std::size_t parent_id_length = 16;
constexpr std::size_t flags_offset = 53;

template <typename List>
bool contains(const List& list, std::string_view name)
{
    return std::find(list.begin(), list.end(), name) != list.end();
}

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::string lower_case(std::string_view text)
{
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(),
                   [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; });
    return out;
}

/// Names of headers that the sender declares as hop-by-hop in its Connection headers.
std::vector<std::string> connection_options(const http::header_list& headers)
{
    std::vector<std::string> out;
    for (const http::header& header : headers) {
        if (header.name != "connection") {
            continue;
        }
        std::string_view rest = header.value;
        while (!rest.empty()) {
            const auto comma = rest.find(',');
            out.push_back(lower_case(trim(rest.substr(0, comma))));
            rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
        }
    }
    return out;
}

http::header_list end_to_end(const http::header_list& headers)
{
    const auto options = connection_options(headers);
    http::header_list out;
    out.reserve(headers.size());
    std::copy_if(
        headers.begin(), headers.end(), std::back_inserter(out), [&](const http::header& header) {
            return !contains(hop_by_hop_headers, header.name) && !contains(options, header.name) &&
                   !header.name.starts_with(reserved_prefix);
        });
    return out;
}

bool is_hex(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

bool is_zero(std::string_view text)
{
    return text.find_first_not_of('0') == std::string_view::npos;
}

bool is_valid_traceparent(std::string_view text)
{
    if (text.size() != traceparent_length || !text.starts_with("00-") || text[35] != '-' ||
        text[52] != '-') {
        return false;
    }
    const auto trace = text.substr(trace_id_offset, trace_id_length);
    const auto parent = text.substr(parent_id_offset, parent_id_length);
    return is_hex(trace) && is_hex(parent) && is_hex(text.substr(flags_offset)) &&
           !is_zero(trace) && !is_zero(parent);
}

std::string to_hex(std::uint64_t value)
{
    std::array<char, parent_id_length + 1> out{};
    std::snprintf(out.data(), out.size(), "%016llx", static_cast<unsigned long long>(value));
    return out.data();
}

std::int64_t remaining_ms(const forward_context& context)
{
    const auto left =
        std::chrono::floor<std::chrono::milliseconds>(context.deadline - context.now).count();
    return std::max<std::int64_t>(left, 0);
}

} // namespace

http::request_head make_forwarded_head(const http::request_head& request,
                                       const forward_context& context)
{
    http::request_head out;
    out.method = request.method;
    out.path = request.path;
    out.authority = request.authority;
    out.headers = end_to_end(request.headers);
    std::erase_if(out.headers, [](const http::header& header) {
        return contains(key_headers, header.name) || header.name == "traceparent";
    });
    if (!context.account.value().empty()) {
        out.headers.push_back({"snipeshore-account", context.account.value()});
    }
    out.headers.push_back({"snipeshore-request-id", context.request_id});
    out.headers.push_back({"snipeshore-deadline-ms", std::to_string(remaining_ms(context))});
    if (!context.attempt_id.empty()) {
        out.headers.push_back({std::string(attempt_id_header), context.attempt_id});
    }
    if (!context.traceparent.empty()) {
        out.headers.push_back({"traceparent", context.traceparent});
    }
    return out;
}

http::response_head make_returned_head(const http::response_head& response)
{
    http::response_head out;
    out.status = response.status;
    out.content_length = response.content_length;
    out.headers = end_to_end(response.headers);
    return out;
}

std::string make_traceparent(std::optional<std::string_view> incoming, const trace_random& random)
{
    const std::uint64_t span = random.span == 0 ? 1 : random.span;
    if (incoming && is_valid_traceparent(*incoming)) {
        const std::string start(incoming->substr(0, parent_id_offset));
        return start + to_hex(span) + "-" + std::string(incoming->substr(flags_offset));
    }
    const std::uint64_t low = random.trace[0] == 0 && random.trace[1] == 0 ? 1 : random.trace[1];
    return "00-" + to_hex(random.trace[0]) + to_hex(low) + "-" + to_hex(span) + "-00";
}

} // namespace snipeshore::targets
