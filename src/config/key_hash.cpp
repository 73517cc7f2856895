#include "config/key_hash.h"

#include <sodium.h>

#include <array>
#include <cstdlib>

namespace snipeshore::config {

namespace {

constexpr std::size_t hash_bytes = 32;
constexpr std::size_t key_bytes = 32;
constexpr std::size_t publication_id_bytes = 16;

using hash_value = std::array<unsigned char, hash_bytes>;

// sodium_init must run once: it sets up libsodium's random source and selects the implementations.
void ensure_sodium()
{
    static const bool is_initialized = sodium_init() >= 0;
    if (!is_initialized) {
        std::abort();
    }
}

hash_value blake2b(std::string_view text, const unsigned char* key, std::size_t key_size)
{
    ensure_sodium();
    hash_value hash{};
    crypto_generichash(hash.data(), hash.size(),
                       // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
                       reinterpret_cast<const unsigned char*>(text.data()), text.size(), key,
                       key_size);
    return hash;
}

std::string to_hex(const unsigned char* bytes, std::size_t size)
{
    std::string text(size * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes, size);
    text.pop_back();
    return text;
}

} // namespace

base::status check_secret(std::string_view secret)
{
    if (secret.size() >= min_secret_bytes) {
        return std::monostate{};
    }
    return base::error{base::error_kind::bad_setting,
                       "fleet secret: " + std::to_string(secret.size()) + " bytes, expected " +
                           std::to_string(min_secret_bytes) + " or more"};
}

std::string hash_key(std::string_view secret, std::string_view key)
{
    // The secret is hashed first because BLAKE2b takes keys of at most 64 bytes.
    const hash_value derived = blake2b(secret, nullptr, 0);
    const hash_value hash = blake2b(key, derived.data(), derived.size());
    return to_hex(hash.data(), hash.size());
}

std::string random_key()
{
    ensure_sodium();
    std::array<unsigned char, key_bytes> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    constexpr int variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;
    std::string text(sodium_base64_ENCODED_LEN(key_bytes, variant), '\0');
    sodium_bin2base64(text.data(), text.size(), bytes.data(), bytes.size(), variant);
    text.pop_back();
    // The prefix lets secret scanners find keys and prevents a key from starting with '-'.
    return "snipeshore_" + text;
}

std::string random_publication_id()
{
    ensure_sodium();
    std::array<unsigned char, publication_id_bytes> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    return to_hex(bytes.data(), bytes.size());
}

std::string digest(std::string_view text)
{
    const hash_value hash = blake2b(text, nullptr, 0);
    return to_hex(hash.data(), hash.size());
}

} // namespace snipeshore::config
