/// @file Names of the HTTP interface to callers, targets and operators.
#pragma once

#include <string>

namespace snipeshore::apps {

/// Names of headers (in lower case), the cookie and paths. The defaults are the product's own
/// interface.
struct wire_names {
    std::string request_id = "snipeshore-request-id"; ///< Echoed by targets.
    std::string time_left = "snipeshore-deadline-ms"; ///< Time left, in milliseconds.
    std::string key = "snipeshore-key";
    std::string account = "snipeshore-account";      ///< Sent to targets only.
    std::string target = "snipeshore-target";        ///< Target to which the request is addressed.
    std::string object_cookie = "snipeshore-object"; ///< Cookie that names the object.
    std::string load = "snipeshore-load";            ///< Sent by targets: "running,waiting,slots".
    /// Sent by targets in need: requests per second that they take from all hosts together.
    std::string limit = "snipeshore-limit";
    /// Sent by targets that leave, with the value 1.
    std::string leaving = "snipeshore-draining";
    /// Sent by targets that reject a request without running it.
    std::string not_run = "snipeshore-not-run";
    /// Sent by targets with every successful response; if empty, no such header is required.
    std::string seal;
    std::string ready_path = "/-/ready";
    std::string lookup_path = "/lookup";
};

} // namespace snipeshore::apps
