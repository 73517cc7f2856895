/// @file Text form of tickets: URL-safe base64 of version, fields and a MAC by the fleet secret.
#pragma once

#include "base/result.h"
#include "tickets/types/ticket.h"

#include <string>
#include <string_view>

namespace snipeshore::tickets {

/// Random id for a new ticket.
ticket_id random_ticket_id();

/// Key for tickets, derived from the secret text in the settings.
fleet_secret derive_fleet_secret(std::string_view setting);

/// Text of a ticket; host and account ids have at most 255 bytes.
base::result<std::string> mint(const ticket& fields, const fleet_secret& secret);

/// Reads and verifies a text; `ticket_invalid` if it is malformed or not minted with the secret.
base::result<ticket> parse_and_verify(std::string_view text, const fleet_secret& secret);

} // namespace snipeshore::tickets
