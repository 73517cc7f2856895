#include "apps/entry/routing.h"

#include "config/types/document.h"

#include <algorithm>
#include <string>

namespace snipeshore::apps {

namespace {

std::string_view host_of(std::string_view authority)
{
    const std::size_t colon = authority.rfind(':');
    const bool has_port =
        colon != std::string_view::npos && authority.find(']', colon) == authority.npos;
    return has_port ? authority.substr(0, colon) : authority;
}

bool is_same_host(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a)) ==
               std::tolower(static_cast<unsigned char>(b));
    });
}

bool has_prefix(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/';
}

const config::service* find_service(const config::document& document, std::string_view authority)
{
    const std::string_view host = host_of(authority);
    for (const config::service& service : document.services) {
        for (const std::string& name : service.host_names) {
            if (is_same_host(name, host)) {
                return &service;
            }
        }
    }
    return nullptr;
}

const config::route* find_route(const config::service& service, std::string_view path)
{
    const config::route* best = nullptr;
    for (const config::route& route : service.routes) {
        if (!has_prefix(path, route.path_prefix)) {
            continue;
        }
        if (best == nullptr || route.path_prefix.size() > best->path_prefix.size()) {
            best = &route;
        }
    }
    return best;
}

} // namespace

base::result<matched_route> match_route(const config::document& document,
                                        std::string_view authority, std::string_view method,
                                        std::string_view path)
{
    const config::service* service = find_service(document, authority);
    if (service == nullptr) {
        return base::error{base::error_kind::service_unknown,
                           "no service has the host name \"" + std::string(authority) + "\""};
    }
    const std::string_view path_only = path.substr(0, path.find('?'));
    const config::route* route = find_route(*service, path_only);
    if (route == nullptr) {
        return base::error{base::error_kind::route_unknown, "service " + service->id.value() +
                                                                " has no route for \"" +
                                                                std::string(path_only) + "\""};
    }
    const bool allowed =
        std::find(route->methods.begin(), route->methods.end(), method) != route->methods.end();
    if (!allowed) {
        return base::error{base::error_kind::method_not_allowed, "route " + route->path_prefix +
                                                                     " does not allow the method " +
                                                                     std::string(method)};
    }
    return matched_route{service, route};
}

} // namespace snipeshore::apps
