/// @file Hashing and generation of keys, and digests of documents.
#pragma once

#include "base/result.h"

#include <string>
#include <string_view>

namespace snipeshore::config {

/// Minimum length of the fleet secret.
inline constexpr std::size_t min_secret_bytes = 16;

/// Returns an error if the fleet secret is too short. The error detail does not contain the secret.
base::status check_secret(std::string_view secret);

/// BLAKE2b-256 hash of a key, keyed with the secret, in lower-case hexadecimal digits. Accepts a
/// secret of any length; `check_secret` checks that it is long enough to be safe.
std::string hash_key(std::string_view secret, std::string_view key);

/// New key with 256 random bits, printable and without characters that need quoting.
std::string random_key();

/// Random 128-bit identifier of a publication, in hexadecimal digits.
std::string random_publication_id();

/// BLAKE2b-256 digest of a document's text in lower-case hexadecimal digits.
std::string digest(std::string_view text);

} // namespace snipeshore::config
