/// @file Heads of HTTP messages.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipeshore::http {

/// Header names are lower case.
struct header {
    std::string name;
    std::string value;
};

using header_list = std::vector<header>;

/// Value of the first header with this (lower-case) name; empty optional if there is none.
std::optional<std::string_view> find_header(const header_list& headers, std::string_view name);

struct request_head {
    std::string method;
    std::string path; ///< Including the query.
    std::string authority;
    header_list headers;
};

struct response_head {
    int status = 200;
    header_list headers; ///< Without content-length, connection and transfer-encoding.
    std::optional<std::uint64_t> content_length;
};

} // namespace snipeshore::http
