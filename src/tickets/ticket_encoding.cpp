#include "tickets/ticket_encoding.h"

#include <sodium.h>

#include <algorithm>
#include <cstddef>
#include <vector>

namespace snipeshore::tickets {

namespace {

using base::error;
using base::error_kind;

constexpr std::uint8_t format_version = 1;
constexpr std::size_t mac_bytes = 16;
constexpr std::size_t max_id_bytes = 255;
constexpr int base64_variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;
/// Size of version, id, two numbers, two ids with their lengths, and MAC.
constexpr std::size_t max_ticket_bytes =
    1 + ticket_id_bytes + 2 * sizeof(std::uint64_t) + 2 * (1 + max_id_bytes) + mac_bytes;

using bytes = std::vector<std::uint8_t>;
using mac = std::array<std::uint8_t, mac_bytes>;

void append_number(bytes& to, std::uint64_t number)
{
    for (unsigned shift = 0; shift < 64; shift += 8) {
        to.push_back(static_cast<std::uint8_t>(number >> shift));
    }
}

void append_string(bytes& to, const std::string& text)
{
    to.push_back(static_cast<std::uint8_t>(text.size()));
    to.insert(to.end(), text.begin(), text.end());
}

mac compute_mac(const std::uint8_t* data, std::size_t size, const fleet_secret& secret)
{
    mac result{};
    crypto_generichash(result.data(), result.size(), data, size, secret.data(), secret.size());
    return result;
}

/// Reads fields from front to back; `failed` stays set after the first read past the end.
struct byte_reader {
    const std::uint8_t* next = nullptr;
    const std::uint8_t* end = nullptr;
    bool failed = false;

    const std::uint8_t* take(std::size_t size)
    {
        if (failed || static_cast<std::size_t>(end - next) < size) {
            failed = true;
            return nullptr;
        }
        const std::uint8_t* start = next;
        next += size;
        return start;
    }

    std::uint8_t byte()
    {
        const std::uint8_t* start = take(1);
        return start == nullptr ? 0 : *start;
    }

    std::uint64_t number()
    {
        const std::uint8_t* start = take(sizeof(std::uint64_t));
        std::uint64_t value = 0;
        for (unsigned index = 0; start != nullptr && index < sizeof value; ++index) {
            value |= static_cast<std::uint64_t>(start[index]) << (8 * index);
        }
        return value;
    }

    std::string text()
    {
        const std::size_t size = byte();
        const std::uint8_t* start = take(size);
        return start == nullptr ? std::string() : std::string(start, start + size);
    }
};

error invalid()
{
    return {error_kind::ticket_invalid, "the ticket was not issued by this fleet"};
}

bool is_authentic(const bytes& raw, const fleet_secret& secret)
{
    if (raw.size() <= mac_bytes) {
        return false;
    }
    const std::size_t signed_size = raw.size() - mac_bytes;
    const mac expected = compute_mac(raw.data(), signed_size, secret);
    return sodium_memcmp(expected.data(), raw.data() + signed_size, mac_bytes) == 0;
}

base::result<bytes> decode(std::string_view text)
{
    bytes raw(max_ticket_bytes);
    std::size_t size = 0;
    const char* end = nullptr;
    const int failure = sodium_base642bin(raw.data(), raw.size(), text.data(), text.size(), nullptr,
                                          &size, &end, base64_variant);
    if (failure != 0 || end != text.data() + text.size()) {
        return invalid();
    }
    raw.resize(size);
    return raw;
}

} // namespace

ticket_id random_ticket_id()
{
    ticket_id id{};
    randombytes_buf(id.data(), id.size());
    return id;
}

fleet_secret derive_fleet_secret(std::string_view setting)
{
    // The prefix separates this key from other keys that are derived from the same setting.
    static constexpr std::string_view purpose = "snipeshore tickets";
    fleet_secret secret{};
    crypto_generichash_state state{};
    crypto_generichash_init(&state, nullptr, 0, secret.size());
    for (const std::string_view part : {purpose, setting}) {
        crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(part.data()),
                                  part.size());
    }
    crypto_generichash_final(&state, secret.data(), secret.size());
    return secret;
}

base::result<std::string> mint(const ticket& fields, const fleet_secret& secret)
{
    if (fields.owner.value().size() > max_id_bytes ||
        fields.account.value().size() > max_id_bytes) {
        return error{error_kind::internal, "a host or account id is longer than 255 bytes"};
    }
    bytes raw;
    raw.push_back(format_version);
    raw.insert(raw.end(), fields.id.begin(), fields.id.end());
    append_number(raw, fields.owner_incarnation.value());
    append_number(raw, fields.epoch);
    append_string(raw, fields.owner.value());
    append_string(raw, fields.account.value());
    const mac signature = compute_mac(raw.data(), raw.size(), secret);
    raw.insert(raw.end(), signature.begin(), signature.end());
    std::string text(sodium_base64_encoded_len(raw.size(), base64_variant), '\0');
    sodium_bin2base64(text.data(), text.size(), raw.data(), raw.size(), base64_variant);
    text.pop_back(); // The terminating null.
    return text;
}

base::result<ticket> parse_and_verify(std::string_view text, const fleet_secret& secret)
{
    const base::result<bytes> decoded = decode(text);
    if (!base::is_ok(decoded)) {
        return base::error_of(decoded);
    }
    const bytes& raw = base::value_of(decoded);
    if (!is_authentic(raw, secret)) {
        return invalid();
    }
    byte_reader from{raw.data(), raw.data() + raw.size() - mac_bytes};
    if (from.byte() != format_version) {
        return invalid();
    }
    ticket fields;
    const std::uint8_t* id = from.take(ticket_id_bytes);
    if (id == nullptr) {
        return invalid();
    }
    std::copy_n(id, ticket_id_bytes, fields.id.begin());
    fields.owner_incarnation = base::incarnation(from.number());
    fields.epoch = from.number();
    fields.owner = base::host_id(from.text());
    fields.account = base::account_id(from.text());
    if (from.failed || from.next != from.end) {
        return invalid();
    }
    return fields;
}

} // namespace snipeshore::tickets
