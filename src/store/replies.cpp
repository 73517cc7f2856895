#include "store/internal/replies.h"

#include "base/json_reader.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <limits>

namespace snipeshore::store::internal {

namespace {

using base::error_kind;
using nlohmann::json;

error_kind unconfirmed_kind(call_kind kind)
{
    return kind == call_kind::write ? error_kind::store_unknown : error_kind::store_unavailable;
}

} // namespace

base::error error_without_reply(call_kind kind, bool request_sent, const base::error& cause)
{
    if (!request_sent) {
        return {error_kind::store_unavailable, "platform store, not sent: " + cause.detail};
    }
    return {unconfirmed_kind(kind), "platform store, no reply: " + cause.detail};
}

base::error error_of_status(call_kind kind, int status)
{
    const std::string detail = "platform store, status " + std::to_string(status);
    switch (status) {
    case 404:
        return {error_kind::not_found, detail};
    case 409:
    case 412:
        return {error_kind::version_conflict, detail};
    case 429:
        return {error_kind::store_unavailable, detail};
    default:
        break;
    }
    // A status of 500 or above may come from a proxy while the store still completes the write.
    if (status >= 500) {
        return {unconfirmed_kind(kind), detail};
    }
    return {error_kind::internal, detail};
}

base::error malformed_body_error(call_kind kind)
{
    return {unconfirmed_kind(kind), "platform store, malformed reply"};
}

base::result<std::uint64_t> read_era(call_kind kind, const http::header_list& headers)
{
    const auto text = http::find_header(headers, "store-era");
    if (!text) {
        return std::uint64_t{0};
    }
    std::uint64_t era = 0;
    const char* end = text->data() + text->size();
    const auto [stop, failure] = std::from_chars(text->data(), end, era);
    if (failure != std::errc() || stop != end) {
        return malformed_body_error(kind);
    }
    return era;
}

base::result<row> read_row_body(call_kind kind, const std::string& key, const std::string& body)
{
    try {
        const json value = base::parse_json(body);
        row read;
        read.key = value.at("key").get<std::string>();
        read.value = value.at("value").get<std::string>();
        read.version =
            base::read_count(value.at("version"), std::numeric_limits<std::uint64_t>::max());
        if (read.key == key && read.version != 0) {
            return read;
        }
    } catch (const json::exception&) {
        return malformed_body_error(kind);
    }
    return malformed_body_error(kind);
}

base::result<std::vector<listed_host>> read_hosts_body(const std::string& body)
{
    try {
        std::vector<listed_host> hosts;
        const json value = base::parse_json(body);
        for (const json& entry : value.at("hosts")) {
            listed_host host;
            host.host_id = entry.at("host_id").get<std::string>();
            host.failure_domain = entry.value("failure_domain", "");
            host.agent_address = entry.value("agent_address", "");
            host.leaving = entry.value("leaving", false);
            hosts.push_back(std::move(host));
        }
        return hosts;
    } catch (const json::exception&) {
        return malformed_body_error(call_kind::read);
    }
}

bool is_valid_name(const std::string& name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '/' || c == '-' || c == '_' || c == '.';
    });
}

} // namespace snipeshore::store::internal
