#include "tests/soak/operator_document.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>

namespace snipeshore::soak {

namespace {

using nlohmann::json;

/// A check of one version may still run when the next versions are in force.
constexpr unsigned kept_version_paths = 20;

json route(const std::string& name, const std::string& prefix, const std::string& kind)
{
    return {{"name", name},        {"prefix", prefix},         {"kind", kind},
            {"timeout", "1500ms"}, {"targetLatency", "300ms"}, {"service", "svc"},
            {"maxAttempts", 2},    {"sessionAffinity", true}};
}

} // namespace

std::string version_path(unsigned version)
{
    return "/v" + std::to_string(version) + "/";
}

std::string operator_document(unsigned version, const std::string& key, const quota_bounds& limits)
{
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%08x", version);
    json paths{route("safe", "/safe/", "safe"), route("once", "/once/", "unsafe")};
    for (unsigned kept = version; kept > 0 && version - kept < kept_version_paths; --kept) {
        paths.push_back(route("v" + std::to_string(kept), version_path(kept), "safe"));
    }
    const json document{{"version", text.data()},
                        {"services", {{{"name", "svc"}, {"coldStart", "1s"}, {"coldPerS", 0}}}},
                        {"tenants",
                         {{{"name", "large"}, {"apiKeys", {key}}, {"ratePerS", 0}},
                          {{"name", "small"},
                           {"apiKeys", {"small-key"}},
                           {"ratePerS", limits.rate},
                           {"burst", limits.burst}}}},
                        {"hosts", {{{"host", "a.example"}, {"paths", paths}}}}};
    return document.dump();
}

} // namespace snipeshore::soak
