#include "http/internal/pipelined_requests.h"

#include "http/internal/h2o.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <optional>
#include <string>

namespace snipeshore::http {

namespace {

constexpr std::size_t max_headers = 100;
constexpr int minor_version_1 = 1;

/// Requests with these headers are not parsed here but left to h2o.
constexpr std::array<std::string_view, 5> special_headers = {"content-length", "transfer-encoding",
                                                             "upgrade", "expect", "connection"};

std::string lower_case(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

struct parsed_request {
    request_head head;
    std::size_t size = 0;
};

std::optional<parsed_request> parse_one(std::string_view bytes)
{
    std::array<phr_header, max_headers> headers{};
    std::size_t header_count = headers.size();
    const char* method = nullptr;
    const char* path = nullptr;
    std::size_t method_size = 0;
    std::size_t path_size = 0;
    int minor_version = 0;
    const int size =
        phr_parse_request(bytes.data(), bytes.size(), &method, &method_size, &path, &path_size,
                          &minor_version, headers.data(), &header_count, 0);
    if (size <= 0 || minor_version != minor_version_1 ||
        std::string_view(method, method_size) != "GET") {
        return std::nullopt;
    }
    parsed_request parsed;
    parsed.size = static_cast<std::size_t>(size);
    parsed.head.method = "GET";
    parsed.head.path.assign(path, path_size);
    for (std::size_t i = 0; i < header_count; ++i) {
        if (headers[i].name == nullptr) {
            return std::nullopt; // A folded header line.
        }
        std::string name = lower_case({headers[i].name, headers[i].name_len});
        std::string value(headers[i].value, headers[i].value_len);
        if (std::find(special_headers.begin(), special_headers.end(), name) !=
            special_headers.end()) {
            return std::nullopt;
        }
        if (name == "host") {
            parsed.head.authority = std::move(value);
        } else {
            parsed.head.headers.push_back({std::move(name), std::move(value)});
        }
    }
    return parsed;
}

} // namespace

std::vector<request_head> parse_pipelined_requests(std::string_view bytes)
{
    std::vector<request_head> heads;
    while (!bytes.empty()) {
        auto parsed = parse_one(bytes);
        if (!parsed.has_value()) {
            break;
        }
        bytes.remove_prefix(parsed->size);
        heads.push_back(std::move(parsed->head));
    }
    return heads;
}

} // namespace snipeshore::http
