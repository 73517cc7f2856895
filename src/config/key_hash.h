/// @file Hashing and generation of keys, and digests of documents.
#pragma once

#include "base/result.h"

#include <string>
#include <string_view>

namespace snipeshore::config {

/// Shortest fleet secret that is accepted, in bytes.
inline constexpr std::size_t min_secret_bytes = 16;

/// Refuses a fleet secret that is too short. The detail does not contain the secret.
base::status check_secret(std::string_view secret);

/// Keyed BLAKE2b-256 hash of a key in lower-case hexadecimal digits. The secret may have any
/// length; `check_secret` tells whether it is long enough to be safe.
std::string hash_key(std::string_view secret, std::string_view key);

/// A new random key of 256 bits, printable and without characters that need quoting.
std::string random_key();

/// A random 128-bit identifier in hexadecimal digits, for publications.
std::string random_publication_id();

/// BLAKE2b-256 digest of a document's text in lower-case hexadecimal digits.
std::string digest(std::string_view text);

} // namespace snipeshore::config
