#include "steering/block_table.h"

#include "base/hash.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <string>
#include <unordered_map>

namespace snipeshore::steering {

namespace {

__extension__ using uint128 = unsigned __int128;

constexpr std::size_t ipv4_index_size = 1U << 16U;

/// The addresses from `first` to `last` belong to `block`.
template <typename Key>
struct prefix {
    Key first{};
    Key last{};
    std::uint32_t block = 0;
};

template <typename Key>
struct range {
    Key start{};
    std::uint32_t block = 0;
};

struct parsed_cidr {
    client_address address;
    unsigned length = 0;
};

std::uint32_t ipv4_key(const client_address& address)
{
    return (std::uint32_t{address.bytes[0]} << 24U) | (std::uint32_t{address.bytes[1]} << 16U) |
           (std::uint32_t{address.bytes[2]} << 8U) | address.bytes[3];
}

uint128 ipv6_key(const client_address& address)
{
    uint128 key = 0;
    for (const std::uint8_t byte : address.bytes) {
        key = (key << 8U) | byte;
    }
    return key;
}

/// Parses an address but keeps IPv4-mapped IPv6 addresses as IPv6, so that prefix lengths of CIDR
/// blocks stay valid.
std::optional<client_address> parse_unmapped(const std::string& text)
{
    client_address address;
    if (inet_pton(AF_INET, text.c_str(), address.bytes.data()) == 1) {
        return address;
    }
    address.is_ipv4 = false;
    if (inet_pton(AF_INET6, text.c_str(), address.bytes.data()) == 1) {
        return address;
    }
    return std::nullopt;
}

std::optional<parsed_cidr> parse_cidr(std::string_view text)
{
    const std::size_t slash = text.find('/');
    if (slash == std::string_view::npos) {
        return std::nullopt;
    }
    const auto address = parse_unmapped(std::string(text.substr(0, slash)));
    const std::string_view digits = text.substr(slash + 1);
    parsed_cidr result;
    const auto [end, failure] =
        std::from_chars(digits.data(), digits.data() + digits.size(), result.length);
    if (!address || failure != std::errc{} || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    if (result.length > (address->is_ipv4 ? 32U : 128U)) {
        return std::nullopt;
    }
    result.address = *address;
    return result;
}

template <typename Key>
std::optional<prefix<Key>> make_prefix(Key first, unsigned length, std::uint32_t block)
{
    constexpr unsigned bits = sizeof(Key) * 8;
    const Key all = static_cast<Key>(~Key{0});
    const Key host_bits = length == 0 ? all : static_cast<Key>((Key{1} << (bits - length)) - 1);
    if ((first & host_bits) != 0) {
        return std::nullopt;
    }
    return prefix<Key>{first, static_cast<Key>(first | host_bits), block};
}

/// Appends a range; ranges arrive in order of their start. A range with the same start as the last
/// one replaces it.
template <typename Key>
void append_range(std::vector<range<Key>>& ranges, Key start, std::uint32_t block)
{
    if (!ranges.empty() && ranges.back().start == start) {
        ranges.back().block = block;
        return;
    }
    ranges.push_back({start, block});
}

/// Flattens nested blocks into disjoint ranges. Blocks are either nested or disjoint, so a stack of
/// the blocks that contain the current address is sufficient. Sorts `prefixes`.
template <typename Key>
std::vector<range<Key>> flatten(std::vector<prefix<Key>>& prefixes)
{
    std::sort(prefixes.begin(), prefixes.end(), [](const auto& left, const auto& right) {
        return left.first != right.first ? left.first < right.first : left.last > right.last;
    });
    std::vector<range<Key>> ranges;
    ranges.reserve(prefixes.size() * 2 + 1);
    std::vector<prefix<Key>> open;
    append_range(ranges, Key{0}, no_block);
    const auto close_innermost = [&] {
        const Key last = open.back().last;
        open.pop_back();
        if (last != static_cast<Key>(~Key{0})) {
            append_range(ranges, static_cast<Key>(last + 1),
                         open.empty() ? no_block : open.back().block);
        }
    };
    for (const prefix<Key>& next : prefixes) {
        while (!open.empty() && open.back().last < next.first) {
            close_innermost();
        }
        append_range(ranges, next.first, next.block);
        open.push_back(next);
    }
    while (!open.empty()) {
        close_innermost();
    }
    return ranges;
}

/// Returns the index of a block that is listed twice with different sites, or `no_block`. The
/// prefixes must be sorted.
template <typename Key>
std::uint32_t find_conflict(const std::vector<prefix<Key>>& prefixes,
                            const std::vector<std::uint16_t>& sites)
{
    for (std::size_t index = 1; index < prefixes.size(); ++index) {
        const auto& before = prefixes[index - 1];
        const auto& here = prefixes[index];
        if (before.first == here.first && before.last == here.last &&
            sites[before.block] != sites[here.block]) {
            return std::max(before.block, here.block);
        }
    }
    return no_block;
}

base::error invalid(const config::document& document, std::size_t block, const std::string& cause)
{
    return {base::error_kind::document_invalid, "/client_blocks/" + std::to_string(block) + ": " +
                                                    cause + " (" +
                                                    document.client_blocks[block].cidr + ")"};
}

void fill_ipv4(block_table& table, const std::vector<range<std::uint32_t>>& ranges)
{
    table.ipv4.reserve(ranges.size());
    for (const auto& entry : ranges) {
        table.ipv4.push_back({entry.start, entry.block});
    }
    table.ipv4_index.resize(ipv4_index_size);
    std::uint32_t position = 0;
    for (std::uint32_t upper = 0; upper < ipv4_index_size; ++upper) {
        while (position + 1 < table.ipv4.size() && table.ipv4[position + 1].start <= upper << 16U) {
            ++position;
        }
        table.ipv4_index[upper] = position;
    }
}

void fill_ipv6(block_table& table, const std::vector<range<uint128>>& ranges)
{
    table.ipv6_starts.reserve(ranges.size());
    table.ipv6_blocks.reserve(ranges.size());
    for (const auto& entry : ranges) {
        table.ipv6_starts.push_back({static_cast<std::uint64_t>(entry.start >> 64U),
                                     static_cast<std::uint64_t>(entry.start)});
        table.ipv6_blocks.push_back(entry.block);
    }
}

std::uint32_t block_salt(const parsed_cidr& cidr)
{
    const std::string_view bytes(reinterpret_cast<const char*>(cidr.address.bytes.data()),
                                 cidr.address.bytes.size());
    return static_cast<std::uint32_t>(
        base::stable_hash(bytes, cidr.length * 2 + (cidr.address.is_ipv4 ? 1 : 0)));
}

std::uint32_t find_ipv4(const block_table& table, std::uint32_t key)
{
    const std::uint32_t upper = key >> 16U;
    const auto first = table.ipv4.begin() + table.ipv4_index[upper];
    const auto last = upper + 1 < ipv4_index_size
                          ? table.ipv4.begin() + table.ipv4_index[upper + 1] + 1
                          : table.ipv4.end();
    const auto after =
        std::upper_bound(first, last, key, [](std::uint32_t value, const auto& entry) {
            return value < entry.start;
        });
    return std::prev(after)->block;
}

std::uint32_t find_ipv6(const block_table& table, uint128 key)
{
    const block_table::ipv6_start search_key{static_cast<std::uint64_t>(key >> 64U),
                                             static_cast<std::uint64_t>(key)};
    const auto after =
        std::upper_bound(table.ipv6_starts.begin(), table.ipv6_starts.end(), search_key);
    return table.ipv6_blocks[static_cast<std::size_t>(after - table.ipv6_starts.begin()) - 1];
}

} // namespace

base::result<block_table> build_block_table(const config::document& document)
{
    if (document.sites.size() > std::numeric_limits<std::uint16_t>::max()) {
        return base::error{base::error_kind::document_invalid, "/sites: more than 65535 sites"};
    }
    std::unordered_map<base::site_id, std::uint16_t> site_of;
    for (const config::site& site : document.sites) {
        site_of.emplace(site.id, static_cast<std::uint16_t>(site_of.size()));
    }
    block_table table;
    table.sites.reserve(document.client_blocks.size());
    table.salts.reserve(document.client_blocks.size());
    std::vector<prefix<std::uint32_t>> ipv4;
    std::vector<prefix<uint128>> ipv6;
    for (std::uint32_t block = 0; block < document.client_blocks.size(); ++block) {
        const config::client_block& entry = document.client_blocks[block];
        const auto site = site_of.find(entry.site);
        if (site == site_of.end()) {
            return invalid(document, block, "unknown site '" + entry.site.value() + "'");
        }
        const auto cidr = parse_cidr(entry.cidr);
        if (!cidr) {
            return invalid(document, block, "malformed CIDR block");
        }
        table.sites.push_back(site->second);
        table.salts.push_back(block_salt(*cidr));
        bool stored = false;
        if (cidr->address.is_ipv4) {
            const auto made_prefix = make_prefix(ipv4_key(cidr->address), cidr->length, block);
            stored = made_prefix.has_value();
            if (stored) {
                ipv4.push_back(*made_prefix);
            }
        } else {
            const auto made_prefix = make_prefix(ipv6_key(cidr->address), cidr->length, block);
            stored = made_prefix.has_value();
            if (stored) {
                ipv6.push_back(*made_prefix);
            }
        }
        if (!stored) {
            return invalid(document, block, "address bits are set after the prefix");
        }
    }
    fill_ipv4(table, flatten(ipv4));
    fill_ipv6(table, flatten(ipv6));
    const std::uint32_t conflict =
        std::min(find_conflict(ipv4, table.sites), find_conflict(ipv6, table.sites));
    if (conflict != no_block) {
        return invalid(document, conflict, "the block is listed with two different sites");
    }
    return table;
}

std::optional<block_match> match_block(const block_table& table, const client_address& address)
{
    if (table.ipv4.empty()) {
        return std::nullopt;
    }
    const std::uint32_t block =
        address.is_ipv4 ? find_ipv4(table, ipv4_key(address)) : find_ipv6(table, ipv6_key(address));
    if (block == no_block) {
        return std::nullopt;
    }
    return block_match{table.sites[block], table.salts[block], block};
}

std::optional<client_address> parse_client_address(std::string_view text)
{
    auto address = parse_unmapped(std::string(text));
    if (!address || address->is_ipv4) {
        return address;
    }
    constexpr std::array<std::uint8_t, 12> mapped{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};
    if (!std::equal(mapped.begin(), mapped.end(), address->bytes.begin())) {
        return address;
    }
    client_address ipv4;
    std::copy(address->bytes.begin() + mapped.size(), address->bytes.end(), ipv4.bytes.begin());
    return ipv4;
}

std::size_t memory_of(const block_table& table)
{
    const auto bytes = [](const auto& list) {
        return list.capacity() * sizeof(list[0]);
    };
    return sizeof(table) + bytes(table.ipv4) + bytes(table.ipv4_index) + bytes(table.ipv6_starts) +
           bytes(table.ipv6_blocks) + bytes(table.sites) + bytes(table.salts);
}

} // namespace snipeshore::steering
