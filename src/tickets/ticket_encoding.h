/// @file Encoding of tickets: URL-safe base64 of version, fields and a MAC with the fleet secret.
#pragma once

#include "base/result.h"
#include "tickets/types/ticket.h"

#include <string>
#include <string_view>

namespace snipeshore::tickets {

/// Random id for a new ticket.
ticket_id random_ticket_id();

/// Key for ticket MACs, derived from the secret in the settings.
fleet_secret derive_fleet_secret(std::string_view setting);

/// Encodes and authenticates a ticket; host and account ids have at most 255 bytes.
base::result<std::string> mint(const ticket& fields, const fleet_secret& secret);

/// Parses and verifies an encoded ticket; `ticket_invalid` if it is malformed or was not minted
/// with the secret.
base::result<ticket> parse_and_verify(std::string_view text, const fleet_secret& secret);

} // namespace snipeshore::tickets
