#include "config/address.h"

#include "base/ip_port.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <string>

namespace snipeshore::config {

namespace {

constexpr unsigned mapped_bits = 96; // Length of the IPv4-mapped prefix ::ffff:0:0/96.
constexpr std::size_t max_text_length = 64;

std::optional<unsigned> parse_number(std::string_view text, unsigned max)
{
    unsigned number = 0;
    const char* end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, number);
    const bool leading_zero = text.size() > 1 && text.front() == '0';
    if (failure != std::errc() || stop != end || leading_zero || number > max) {
        return std::nullopt;
    }
    return number;
}

bool is_mapped(const std::array<std::uint8_t, 16>& address)
{
    constexpr std::array<std::uint8_t, 12> prefix{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};
    return std::equal(prefix.begin(), prefix.end(), address.begin());
}

bool bit_of(const std::array<std::uint8_t, 16>& address, unsigned bit)
{
    return ((address.at(bit / 8) >> (7 - bit % 8)) & 1U) != 0;
}

} // namespace

std::optional<address_block> parse_block(std::string_view text)
{
    const std::size_t slash = text.find('/');
    if (slash == std::string_view::npos || text.size() > max_text_length) {
        return std::nullopt;
    }
    const std::string address(text.substr(0, slash));
    const std::string_view bits = text.substr(slash + 1);
    if (address.find('\0') != std::string::npos) {
        return std::nullopt;
    }

    address_block block;
    std::optional<unsigned> prefix;
    if (inet_pton(AF_INET, address.c_str(), &block.first.at(mapped_bits / 8)) == 1) {
        block.first.at(10) = 0xff;
        block.first.at(11) = 0xff;
        prefix = parse_number(bits, 32);
        block.prefix_bits = mapped_bits + prefix.value_or(0);
    } else if (inet_pton(AF_INET6, address.c_str(), block.first.data()) == 1) {
        prefix = parse_number(bits, 128);
        block.prefix_bits = prefix.value_or(0);
        if (is_mapped(block.first) && block.prefix_bits >= mapped_bits) {
            return std::nullopt;
        }
    }
    if (!prefix) {
        return std::nullopt;
    }
    for (unsigned bit = block.prefix_bits; bit < 128; ++bit) {
        if (bit_of(block.first, bit)) {
            return std::nullopt;
        }
    }
    return block;
}

bool contains(const address_block& outer, const address_block& inner)
{
    if (outer.prefix_bits > inner.prefix_bits) {
        return false;
    }
    for (unsigned bit = 0; bit < outer.prefix_bits; ++bit) {
        if (bit_of(outer.first, bit) != bit_of(inner.first, bit)) {
            return false;
        }
    }
    return true;
}

bool is_ip_port(std::string_view text)
{
    const auto address = base::parse_ip_port(text);
    // A leading zero in the port would allow two spellings of one address.
    return address && address->port != 0 && text.size() <= max_text_length &&
           text[text.rfind(':') + 1] != '0';
}

} // namespace snipeshore::config
