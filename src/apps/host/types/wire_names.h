/// @file Names by which callers, targets and operators address the system.
#pragma once

#include <string>

namespace snipeshore::apps {

/// Names of headers, in lower case, and of paths. The defaults are the product's own interface.
struct wire_names {
    std::string request_id = "snipeshore-request-id"; ///< Echoed by targets.
    std::string time_left = "snipeshore-deadline-ms"; ///< Milliseconds left.
    std::string key = "snipeshore-key";
    std::string account = "snipeshore-account";      ///< To targets only.
    std::string target = "snipeshore-target";        ///< Target that the request is meant for.
    std::string object_cookie = "snipeshore-object"; ///< Cookie that names the object.
    std::string load = "snipeshore-load";            ///< Of targets: "running,waiting,slots".
    std::string not_run = "snipeshore-not-run";      ///< Of targets that reject a request.
    /// Of targets, on every success; empty: a success needs no such header.
    std::string seal;
    std::string ready_path = "/-/ready";
    std::string lookup_path = "/lookup";
};

} // namespace snipeshore::apps
