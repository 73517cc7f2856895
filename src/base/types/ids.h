/// @file Identifiers used across modules.
#pragma once

#include "base/types/strong_type.h"

#include <cstdint>
#include <string>

namespace snipeshore::base {

using host_id = strong_type<struct host_id_tag, std::string>;
using region_id = strong_type<struct region_id_tag, std::string>;
using failure_domain_id = strong_type<struct failure_domain_id_tag, std::string>;
using account_id = strong_type<struct account_id_tag, std::string>;
using service_id = strong_type<struct service_id_tag, std::string>;
using target_id = strong_type<struct target_id_tag, std::string>;
using site_id = strong_type<struct site_id_tag, std::string>;

/// Distinguishes the lives of one process at one address. Random, set at start.
using incarnation = strong_type<struct incarnation_tag, std::uint64_t>;

/// Version of a published document; 0 means none.
using document_version = strong_type<struct document_version_tag, std::uint64_t>;

} // namespace snipeshore::base
