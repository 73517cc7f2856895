#include "tests/standins/platform/platform_server.h"

#include "http/exchange.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <limits>
#include <optional>
#include <utility>

namespace snipeshore::standins {

namespace {

using nlohmann::json;

constexpr std::size_t max_object_bytes = 256U << 20U;
constexpr std::uint64_t all_responses = std::numeric_limits<std::uint64_t>::max();

std::string row_json(const std::string& key, const table_row& row)
{
    return json{{"key", key}, {"value", row.value}, {"version", row.version}}.dump();
}

std::optional<std::string> suffix_after(const std::string& path, std::string_view prefix)
{
    if (path.rfind(prefix, 0) != 0 || path.size() == prefix.size()) {
        return std::nullopt;
    }
    return path.substr(prefix.size());
}

std::string header_of(const http::exchange& from, std::string_view name)
{
    return std::string(http::find_header(from.head().headers, name).value_or(""));
}

/// Version that the row must have, 0 for no row; empty if the request has no valid condition.
std::optional<std::uint64_t> expected_version(const http::exchange& from)
{
    if (header_of(from, "if-none-match") == "*") {
        return 0;
    }
    const std::string text = header_of(from, "if-match");
    std::uint64_t version = 0;
    const char* end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, version);
    if (failure != std::errc() || stop != end || version == 0) {
        return std::nullopt;
    }
    return version;
}

std::uint64_t lost_response_count(const json& value)
{
    if (value.is_boolean()) {
        return value.get<bool>() ? all_responses : 0;
    }
    return value.get<std::uint64_t>();
}

void apply_switches(const json& switches, fault_switches& faults)
{
    faults.slow_ms = std::chrono::milliseconds(switches.value("slow_ms", faults.slow_ms.count()));
    faults.down = switches.value("down", faults.down);
    faults.down_after_writes = switches.value("down_after_writes", faults.down_after_writes);
    faults.hide_era = switches.value("hide_era", faults.hide_era);
    faults.restore_after_writes =
        switches.value("restore_after_writes", faults.restore_after_writes);
    faults.host_list_lag_ms = std::chrono::milliseconds(
        switches.value("host_list_lag_ms", faults.host_list_lag_ms.count()));
    if (switches.contains("lose_replies")) {
        faults.lose_replies = lost_response_count(switches["lose_replies"]);
    }
    if (switches.contains("cut")) {
        faults.cut = switches["cut"].get<std::set<std::string>>();
    }
}

} // namespace

platform_server::platform_server(http::loop& owner, fault_switches faults)
    : m_loop(&owner), m_server(owner, [this](const exchange_ptr& from) { handle(from); }),
      m_faults(std::move(faults))
{}

base::status platform_server::listen(const std::string& address)
{
    http::server_settings settings;
    settings.address = address;
    settings.max_request_bytes = max_object_bytes;
    return m_server.listen(settings);
}

std::string platform_server::bound_address() const
{
    return m_server.bound_address();
}

platform_state& platform_server::state()
{
    return m_state;
}

fault_switches& platform_server::faults()
{
    return m_faults;
}

const platform_stats& platform_server::stats() const
{
    return m_stats;
}

void platform_server::take_snapshot()
{
    m_snapshot = m_state;
}

void platform_server::restore_snapshot()
{
    m_state = m_snapshot;
    ++m_era;
}

void platform_server::send_json(const exchange_ptr& to, int status, const std::string& body) const
{
    http::response_head head;
    head.status = status;
    head.headers.push_back({"content-type", "application/json"});
    if (!m_faults.hide_era) {
        head.headers.push_back({"store-era", std::to_string(m_era)});
    }
    to->respond(std::move(head), body);
}

void platform_server::handle(const exchange_ptr& from)
{
    const std::string& path = from->head().path;
    if (path == "/switch" || path == "/snapshot" || path == "/stats") {
        handle_control(from);
        return;
    }
    // The request takes effect after the delay even if its client has timed out by then.
    if (m_faults.slow_ms.count() > 0) {
        m_loop->schedule(base::boot_clock::now() + m_faults.slow_ms,
                         [this, from] { handle_data(from); });
        return;
    }
    handle_data(from);
}

void platform_server::handle_control(const exchange_ptr& from)
{
    const std::string& path = from->head().path;
    if (path == "/switch" && from->head().method == "POST") {
        set_switches(from);
    } else if (path == "/snapshot" && from->head().method == "POST") {
        take_snapshot();
        send_json(from, 200, "{}");
    } else if (path == "/stats" && from->head().method == "GET") {
        send_json(from, 200,
                  json{{"reads", m_stats.reads},
                       {"writes", m_stats.writes},
                       {"broken_off", m_stats.aborted_responses},
                       {"lost_replies", m_stats.lost_replies}}
                      .dump());
    } else {
        send_json(from, 405, "{}");
    }
}

void platform_server::handle_data(const exchange_ptr& from)
{
    if (m_faults.down || m_faults.cut.count(header_of(*from, "snipeshore-client")) != 0) {
        abort_response(from);
        return;
    }
    const std::string& path = from->head().path;
    const std::string& method = from->head().method;
    const bool is_read = method == "GET";
    const bool is_write = method == "PUT" || method == "DELETE";
    ++(is_read ? m_stats.reads : m_stats.writes);
    if (const auto key = suffix_after(path, "/table/"); key && (is_read || method == "PUT")) {
        is_read ? get_row(from, *key) : put_row(from, *key);
    } else if (const auto name = suffix_after(path, "/objects/");
               name && (is_read || method == "PUT")) {
        is_read ? get_object(from, *name) : put_object(from, *name);
    } else if (const auto id = suffix_after(path, "/hosts/"); id && is_write) {
        change_host(from, *id);
    } else if (path == "/hosts" && is_read) {
        list_hosts(from);
    } else {
        send_json(from, 404, "{}");
    }
}

void platform_server::get_row(const exchange_ptr& from, const std::string& key)
{
    const auto found = m_state.rows.find(key);
    if (found == m_state.rows.end()) {
        send_json(from, 404, "{}");
    } else {
        send_json(from, 200, row_json(key, found->second));
    }
    if (const auto work = std::exchange(m_faults.after_row_read, nullptr)) {
        work();
    }
}

void platform_server::put_row(const exchange_ptr& from, const std::string& key)
{
    const std::optional<std::uint64_t> expected = expected_version(*from);
    if (!expected) {
        send_json(from, 428, "{}");
        return;
    }
    const std::string era = header_of(*from, "store-era");
    if (!m_faults.hide_era && !era.empty() && era != std::to_string(m_era)) {
        respond_to_write(from, 412, "{}");
        return;
    }
    const auto outcome = standins::put_row(m_state, key, *expected, std::string(from->body()));
    if (outcome == write_outcome::conflict) {
        respond_to_write(from, 412, "{}");
        return;
    }
    respond_to_write(from, 200, row_json(key, m_state.rows.at(key)));
}

void platform_server::get_object(const exchange_ptr& from, const std::string& name)
{
    const auto found = m_state.objects.find(name);
    if (found == m_state.objects.end()) {
        send_json(from, 404, "{}");
        return;
    }
    send_json(from, 200, found->second);
}

void platform_server::put_object(const exchange_ptr& from, const std::string& name)
{
    const auto outcome = standins::put_object(m_state, name, std::string(from->body()));
    respond_to_write(from, outcome == write_outcome::conflict ? 409 : 200, "{}");
}

void platform_server::list_hosts(const exchange_ptr& from)
{
    apply_pending_hosts(m_state, base::boot_clock::now());
    json hosts = json::array();
    for (const auto& [id, record] : m_state.hosts) {
        json entry = json::parse(record);
        entry["host_id"] = id;
        hosts.push_back(std::move(entry));
    }
    send_json(from, 200, json{{"hosts", std::move(hosts)}}.dump());
}

void platform_server::change_host(const exchange_ptr& from, const std::string& id)
{
    std::optional<host_json> record;
    if (from->head().method == "PUT") {
        const json value = json::parse(from->body(), nullptr, false);
        if (!value.is_object()) {
            send_json(from, 400, "{}");
            return;
        }
        record = value.dump();
    }
    m_state.pending_hosts.push_back(
        {base::boot_clock::now() + m_faults.host_list_lag_ms, id, std::move(record)});
    respond_to_write(from, 200, "{}");
}

void platform_server::set_switches(const exchange_ptr& from)
{
    try {
        const json switches = json::parse(from->body());
        apply_switches(switches, m_faults);
        if (switches.value("restore", false)) {
            restore_snapshot();
        }
    } catch (const json::exception& failure) {
        send_json(from, 400, json{{"error", failure.what()}}.dump());
        return;
    }
    send_json(from, 200, "{}");
}

bool platform_server::consume_lost_response()
{
    if (m_faults.down_after_writes != 0 && --m_faults.down_after_writes == 0) {
        m_faults.down = true;
        return true;
    }
    if (m_faults.lose_replies == 0) {
        return false;
    }
    if (m_faults.lose_replies != all_responses) {
        --m_faults.lose_replies;
    }
    return true;
}

void platform_server::respond_to_write(const exchange_ptr& from, int status,
                                       const std::string& body)
{
    const bool is_lost = consume_lost_response();
    if (!is_lost) {
        send_json(from, status, body);
    }
    if (m_faults.restore_after_writes != 0 && --m_faults.restore_after_writes == 0) {
        restore_snapshot();
    }
    if (m_faults.after_write) {
        m_faults.after_write();
    }
    if (!is_lost) {
        return;
    }
    ++m_stats.lost_replies;
    abort_response(from);
}

void platform_server::abort_response(const exchange_ptr& from)
{
    ++m_stats.aborted_responses;
    // An exchange that is aborted before its response starts sends a 500. With a started response,
    // the connection is closed in the middle and the client cannot know the outcome.
    http::response_head head;
    head.content_length = 1;
    from->start_response(std::move(head));
    from->abort();
}

} // namespace snipeshore::standins
