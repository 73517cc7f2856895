#include "steering/decide.h"
#include "steering/lookup.h"

#include <doctest/doctest.h>

#include <cmath>

using namespace snipeshore;
using namespace snipeshore::steering;

namespace {

constexpr std::uint32_t blocks = 20000;

weight_table table_with_one_row(std::vector<std::uint32_t> weights,
                                std::vector<std::uint32_t> refused)
{
    weight_table table;
    table.domains = weights.size();
    for (std::size_t domain = 0; domain < weights.size(); ++domain) {
        table.domain_keys.push_back(1000 + 77 * domain);
    }
    table.weights = std::move(weights);
    table.refused = std::move(refused);
    return table;
}

entry_hosts hosts_in(std::size_t domains, std::uint32_t per_domain)
{
    entry_hosts hosts(domains);
    for (std::size_t domain = 0; domain < domains; ++domain) {
        for (std::uint32_t host = 0; host < per_domain; ++host) {
            hosts[domain].push_back({domain * 1000 + std::uint64_t{host} * 17 + 5, host});
        }
    }
    return hosts;
}

std::uint16_t draw_of(std::uint32_t block)
{
    return static_cast<std::uint16_t>(block * 40503U);
}

/// Failure domain of a block, or -1 when it is refused.
int domain_of(const weight_table& table, const entry_hosts& hosts, std::uint32_t block)
{
    const auto choice = choose_entry(table, 0, block * 2654435761U, draw_of(block), hosts);
    return base::is_ok(choice) ? base::value_of(choice).domain : -1;
}

} // namespace

// Guards against a distribution of callers that differs from the decided weights.
TEST_CASE("blocks are split in proportion to the weights")
{
    const weight_table table = table_with_one_row({32768, 16384, 0}, {0, 8192, 8192});
    const entry_hosts hosts = hosts_in(3, 2);
    std::vector<double> count(4, 0.0);
    for (std::uint32_t block = 0; block < blocks; ++block) {
        const int domain = domain_of(table, hosts, block);
        count[domain < 0 ? 0 : static_cast<std::size_t>(domain) + 1] += 1.0 / blocks;
    }
    CHECK(std::abs(count[0] - 0.25) < 0.02);
    CHECK(std::abs(count[1] - 0.5) < 0.02);
    CHECK(std::abs(count[2] - 0.25) < 0.02);
    CHECK(count[3] == 0);
}

// Guards against a shift cap that counts fewer callers than are actually moved, and against a
// refusal or a small shift that reassigns the blocks of other failure domains.
TEST_CASE("the fraction of callers that move equals the fraction that decisions count")
{
    const entry_hosts hosts = hosts_in(3, 2);
    const auto moved = [&](const weight_table& before, const weight_table& after) {
        double sum = 0;
        for (std::uint32_t block = 0; block < blocks; ++block) {
            const int old_domain = domain_of(before, hosts, block);
            const int new_domain = domain_of(after, hosts, block);
            sum += new_domain >= 0 && new_domain != old_domain ? 1.0 / blocks : 0;
        }
        return sum;
    };
    const weight_table before = table_with_one_row({32768, 32768, 0}, {0, 0, 0});
    SUBCASE("a refusal moves no callers")
    {
        const weight_table after = table_with_one_row({0, 32768, 0}, {32768, 0, 0});
        CHECK(moved(before, after) == 0);
        CHECK(moved_fraction(before, after, 0) == doctest::Approx(0).epsilon(1e-9));
    }
    SUBCASE("a shift between two failure domains moves the difference of the weights")
    {
        const weight_table after = table_with_one_row({29491, 36045, 0}, {0, 0, 0});
        CHECK(std::abs(moved(before, after) - 0.05) < 0.01);
        CHECK(std::abs(moved_fraction(before, after, 0) - moved(before, after)) < 0.01);
    }
    SUBCASE("a shift to a third failure domain moves few other callers")
    {
        const weight_table after = table_with_one_row({29491, 32768, 3277}, {0, 0, 0});
        CHECK(moved(before, after) < 0.1);
        CHECK(std::abs(moved_fraction(before, after, 0) - moved(before, after)) < 0.01);
    }
    SUBCASE("refused callers are admitted at another failure domain")
    {
        const weight_table refused = table_with_one_row({0, 32768, 0}, {32768, 0, 0});
        const weight_table after = table_with_one_row({0, 32768, 6554}, {26214, 0, 0});
        CHECK(std::abs(moved_fraction(refused, after, 0) - moved(refused, after)) < 0.01);
    }
}

// Guards against a host that leaves and causes callers of other hosts to be reassigned.
TEST_CASE("when a host leaves, only its own callers are assigned to another host")
{
    const weight_table table = table_with_one_row({full_weight}, {0});
    const entry_hosts all = hosts_in(1, 5);
    entry_hosts fewer = all;
    fewer[0].erase(fewer[0].begin() + 2);
    for (std::uint32_t block = 0; block < 1000; ++block) {
        const auto before = base::value_of(choose_entry(table, 0, block * 2654435761U, 0, all));
        const auto after = base::value_of(choose_entry(table, 0, block * 2654435761U, 0, fewer));
        CHECK(after.host != 2);
        CHECK((before.host == 2 || before.host == after.host));
    }
}

// Guards against sending a caller to a failure domain without a live entry host, and against reads
// beyond the end of the weight table.
TEST_CASE("a look-up that cannot be served returns the matching error")
{
    const auto error_kind_of = [](const weight_table& table, std::size_t row,
                                  const entry_hosts& hosts) {
        return base::error_of(choose_entry(table, row, 1, 9, hosts)).kind;
    };
    CHECK(error_kind_of(table_with_one_row({0}, {full_weight}), 0, hosts_in(1, 1)) ==
          base::error_kind::region_full);
    CHECK(error_kind_of(table_with_one_row({0}, {0}), 0, hosts_in(1, 1)) ==
          base::error_kind::region_full);
    CHECK(error_kind_of(table_with_one_row({full_weight}, {0}), 0, hosts_in(1, 0)) ==
          base::error_kind::not_ready);
    CHECK(error_kind_of(table_with_one_row({full_weight}, {0}), 1, hosts_in(1, 1)) ==
          base::error_kind::not_ready);
}
