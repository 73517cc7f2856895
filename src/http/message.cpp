#include "http/types/message.h"

#include <algorithm>

namespace snipeshore::http {

std::optional<std::string_view> find_header(const header_list& headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(),
                                    [&](const header& one) { return one.name == name; });
    if (found == headers.end()) {
        return std::nullopt;
    }
    return found->value;
}

} // namespace snipeshore::http
