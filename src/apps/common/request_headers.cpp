#include "apps/common/request_headers.h"

#include "apps/common/fleet_state.h"
#include "base/error_response.h"
#include "config/types/document.h"

#include <sodium.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace snipeshore::apps {

namespace {

using base::error;
using base::error_kind;

constexpr std::size_t max_request_id_length = 64;
constexpr std::size_t random_id_bytes = 12;
constexpr std::int64_t max_deadline_ms = 86'400'000;

std::string random_hex(std::size_t bytes)
{
    std::array<unsigned char, 16> raw{};
    std::array<char, 33> text{};
    randombytes_buf(raw.data(), bytes);
    sodium_bin2hex(text.data(), text.size(), raw.data(), bytes);
    return text.data();
}

bool is_id_char(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '.' || c == '_' || c == '-';
}

const config::account* find_account(const config::document& document, const base::account_id& id)
{
    const auto found =
        std::find_if(document.accounts.begin(), document.accounts.end(),
                     [&](const config::account& account) { return account.id == id; });
    return found == document.accounts.end() ? nullptr : &*found;
}

/// Whether the host has been isolated for longer than the configuration allows it to trust its
/// keys.
bool are_keys_stale(const fleet_state& fleet, base::time_point now)
{
    const config::key_settings& settings = fleet.config->keys;
    return settings.when_cut == config::isolated_key_policy::refuse_after &&
           now - fleet.last_contact > settings.refuse_after;
}

} // namespace

std::string request_id_of(const http::request_head& head)
{
    const auto given = http::find_header(head.headers, "snipeshore-request-id");
    const bool usable = given.has_value() && !given->empty() &&
                        given->size() <= max_request_id_length &&
                        std::all_of(given->begin(), given->end(), is_id_char);
    return usable ? std::string(*given) : random_hex(random_id_bytes);
}

std::string make_attempt_id()
{
    return random_hex(random_id_bytes);
}

base::result<base::account_id> authenticate(const fleet_state& fleet, std::string_view secret,
                                            const http::request_head& head, base::time_point now)
{
    const auto header = http::find_header(head.headers, "authorization");
    if (!header.has_value()) {
        return error{error_kind::key_missing, "the header Authorization is missing"};
    }
    const std::string_view key = bearer_key(*header);
    if (key.empty()) {
        return error{error_kind::key_missing, "the header Authorization is not \"Bearer <key>\""};
    }
    if (are_keys_stale(fleet, now)) {
        return error{error_kind::key_stale, "this host has been isolated for longer than the "
                                            "configuration allows it to trust its keys"};
    }
    const auto account = account_of(fleet.keys, secret, key);
    if (!account.has_value()) {
        return error{error_kind::key_unknown, "the key is unknown or has been withdrawn"};
    }
    return *account;
}

base::status check_service_allowed(const config::document& document,
                                   const base::account_id& account, const base::service_id& service)
{
    const config::account* found = find_account(document, account);
    if (found == nullptr) {
        return error{error_kind::key_unknown, "the key's client account is not configured"};
    }
    const auto& services = found->services;
    if (std::find(services.begin(), services.end(), service) == services.end()) {
        return error{error_kind::account_not_allowed, "client account " + account.value() +
                                                          " may not use service " +
                                                          service.value()};
    }
    return std::monostate{};
}

base::result<std::chrono::milliseconds> deadline_of(const http::request_head& head,
                                                    std::chrono::milliseconds limit)
{
    const auto given = http::find_header(head.headers, "snipeshore-deadline-ms");
    if (!given.has_value()) {
        return limit;
    }
    std::int64_t value = 0;
    const char* end = given->data() + given->size();
    const auto [rest, failed] = std::from_chars(given->data(), end, value);
    if (failed != std::errc{} || rest != end || value < 1 || value > max_deadline_ms) {
        return error{error_kind::bad_request,
                     "the header Snipeshore-Deadline-Ms is not a number from 1 to 86400000"};
    }
    return std::min(limit, std::chrono::milliseconds(value));
}

http::response_head refusal_head(const error& cause, bool not_run, const std::string& request_id,
                                 std::chrono::seconds retry_after)
{
    const base::error_response& response = base::response_for(cause.kind);
    http::response_head head;
    head.status = response.http_status;
    head.headers = {{"content-type", "application/json"},
                    {"cache-control", "no-store"},
                    {"snipeshore-error", std::string(response.name)},
                    {"snipeshore-request-id", request_id}};
    if (not_run) {
        head.headers.push_back({"snipeshore-not-run", "1"});
    }
    if (retry_after.count() > 0) {
        head.headers.push_back({"retry-after", std::to_string(retry_after.count())});
    }
    return head;
}

} // namespace snipeshore::apps
