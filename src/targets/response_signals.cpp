#include "targets/response_signals.h"

#include "base/json_reader.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace snipeshore::targets {

namespace {

constexpr int status_too_many_requests = 429;
constexpr int status_unavailable = 503;
constexpr std::string_view draining_header = "snipeshore-draining";

/// Larger load values are treated as an error of the target.
constexpr std::uint64_t max_load_value = 1000000;

/// Longer values of Retry-After are reduced to this one.
constexpr std::int64_t max_retry_after_s = 3600;

bool is_success(int status)
{
    return status >= 200 && status < 300;
}

bool announces_drain(const http::response_head& head)
{
    const auto value = http::find_header(head.headers, draining_header);
    return value && *value != "0";
}

std::optional<std::chrono::seconds> parse_retry_after(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc() || end != text.data() + text.size() || value < 0) {
        return std::nullopt;
    }
    return std::chrono::seconds(std::min(value, max_retry_after_s));
}

std::optional<std::uint32_t> parse_load_value(const nlohmann::json& object, const char* name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number_unsigned()) {
        return std::nullopt;
    }
    const auto value = found->get<std::uint64_t>();
    return value <= max_load_value ? std::optional(static_cast<std::uint32_t>(value))
                                   : std::nullopt;
}

nlohmann::json parse_object(std::string_view body)
{
    auto parsed = base::parse_json_or_discard(body);
    return parsed.is_object() ? parsed : nlohmann::json::object();
}

} // namespace

response_signals read_signals(const http::response_head& head)
{
    response_signals out;
    out.is_draining = announces_drain(head);
    const auto retry_after = http::find_header(head.headers, "retry-after");
    if (!retry_after ||
        (head.status != status_too_many_requests && head.status != status_unavailable)) {
        return out;
    }
    out.is_shed = true;
    out.retry_after = parse_retry_after(*retry_after);
    return out;
}

response_origin origin_of(const http::response_head& head, std::string_view attempt_id)
{
    const auto echoed = http::find_header(head.headers, attempt_id_header);
    if (!echoed.has_value()) {
        return response_origin::unknown;
    }
    return *echoed == attempt_id ? response_origin::own : response_origin::other;
}

health_state read_health(const http::response_head& head, std::string_view body)
{
    const auto parsed = parse_object(body);
    const auto status = parsed.find("status");
    const bool has_status = status != parsed.end() && status->is_string();
    if (announces_drain(head) || (has_status && *status == "draining")) {
        return health_state::draining;
    }
    return is_success(head.status) ? health_state::healthy : health_state::unhealthy;
}

std::optional<load_report> read_load(const http::response_head& head, std::string_view body)
{
    if (!is_success(head.status)) {
        return std::nullopt;
    }
    const auto parsed = parse_object(body);
    const auto slots = parse_load_value(parsed, "slots");
    const auto running = parse_load_value(parsed, "running");
    const auto queued = parse_load_value(parsed, "queued");
    if (!slots || !running || !queued || *slots == 0) {
        return std::nullopt;
    }
    return load_report{*slots, *running, *queued};
}

} // namespace snipeshore::targets
