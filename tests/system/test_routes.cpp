#include "tests/system/test_routes.h"

namespace snipeshore::test {

void add_test_routes(nlohmann::json& document)
{
    using nlohmann::json;
    constexpr std::uint64_t one_gib = 1ULL << 30U;
    for (json& service : document["services"]) {
        for (const char* path : {"/echo", "/bytes", "/slow", "/truncated", "/overlong", "/crash"}) {
            service["routes"].push_back({{"path_prefix", path},
                                         {"methods", {"GET", "POST"}},
                                         {"deadline", 60000},
                                         {"max_answer", one_gib}});
        }
        service["routes"].push_back({{"path_prefix", "/run"},
                                     {"methods", {"POST"}},
                                     {"repeats", "once"},
                                     {"deadline", 20000}});
        service["routes"].push_back(
            {{"path_prefix", "/open"}, {"methods", {"GET"}}, {"who", "open"}, {"deadline", 5000}});
    }
}

fleet_settings two_domains()
{
    fleet_settings settings;
    settings.failure_domains = {"tunis-a", "sfax-a"};
    settings.hosts_per_domain = 1;
    settings.edit = add_test_routes;
    return settings;
}

} // namespace snipeshore::test
