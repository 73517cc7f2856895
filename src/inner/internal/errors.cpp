#include "inner/internal/errors.h"

#include "base/error_response.h"

#include <string_view>

namespace snipeshore::inner {

namespace {

constexpr std::string_view marker = "snipeshore-error:";

kj::Exception::Type type_of(base::error_kind kind)
{
    switch (kind) {
    case base::error_kind::overloaded:
        return kj::Exception::Type::OVERLOADED;
    case base::error_kind::not_found:
        return kj::Exception::Type::UNIMPLEMENTED;
    default:
        return kj::Exception::Type::FAILED;
    }
}

base::error_kind kind_of(kj::Exception::Type type)
{
    switch (type) {
    case kj::Exception::Type::OVERLOADED:
        return base::error_kind::overloaded;
    case kj::Exception::Type::DISCONNECTED:
        return base::error_kind::peer_unavailable;
    case kj::Exception::Type::UNIMPLEMENTED:
        return base::error_kind::not_found;
    case kj::Exception::Type::FAILED:
        break;
    }
    return base::error_kind::internal;
}

base::error parse_marked(std::string_view text, base::error_kind fallback)
{
    const auto colon = text.find(':');
    const auto name = text.substr(0, colon);
    const auto detail = colon == std::string_view::npos ? "" : text.substr(colon + 1);
    for (std::uint8_t index = 0; index < base::error_kind_count; ++index) {
        const auto& answer = base::response_for(static_cast<base::error_kind>(index));
        if (answer.name == name) {
            return {answer.kind, std::string(detail)};
        }
    }
    return {fallback, std::string(text)};
}

} // namespace

kj::Exception to_exception(const base::error& failure)
{
    const auto name = base::response_for(failure.kind).name;
    std::string text(marker);
    text.append(name).append(":").append(failure.detail);
    return {type_of(failure.kind), __FILE__, __LINE__, kj::heapString(text.c_str(), text.size())};
}

base::error to_error(const kj::Exception& exception)
{
    const auto description = exception.getDescription();
    const std::string_view text(description.begin(), description.size());
    const auto kind = kind_of(exception.getType());
    const auto at = text.find(marker);
    if (at != std::string_view::npos) {
        return parse_marked(text.substr(at + marker.size()), kind);
    }
    return {kind, std::string(text)};
}

} // namespace snipeshore::inner
