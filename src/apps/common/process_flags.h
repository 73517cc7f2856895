/// @file Command-line flags that are common to the programs of a host.
#pragma once

#include "base/types/ids.h"
#include "http/server.h"
#include "inner/node.h"

#include <string>
#include <vector>

namespace snipeshore::apps {

struct process_settings {
    base::host_id host;
    base::failure_domain_id failure_domain;
    std::string admin_address;
    std::string fleet_secret;
    http::server_settings server; ///< The listen address is not set.
    inner::node_settings node;    ///< The listen address is not set.
};

/// Returns one problem per invalid flag.
std::vector<std::string> check_process_flags();

process_settings read_process_flags();

} // namespace snipeshore::apps
