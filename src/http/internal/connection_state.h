/// @file What the kernel knows of a connection before the loop comes to its events.
#pragma once

#include "base/time.h"

namespace snipeshore::http {

/// Whether the peer has neither closed nor reset its end, also if unread bytes precede the close.
bool is_peer_connected(int descriptor);

/// Whether the peer has reset the connection, or the kernel does not tell. Reads do not tell if it
/// had closed its end before.
bool is_reset(int descriptor);

/// When the last bytes arrived, whether they were read or not; now if the kernel does not tell.
base::time_point last_bytes_received_at(int descriptor);

/// Difference of the wall clock to the boot clock.
base::duration wall_clock_offset();

/// Makes the close of the connection a reset, which drops what the peer has not acknowledged.
void reset_on_close(int descriptor);

/// What has become of all that was written to a connection.
enum class delivery { pending, acknowledged, unknown };

/// Whether the peer has acknowledged everything that was written to the connection.
delivery delivery_of(int descriptor);

} // namespace snipeshore::http
