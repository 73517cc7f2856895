#include "membership/peers.h"
#include "membership/table.h"
#include "membership/tests/records.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace snipeshore;
using namespace snipeshore::membership;
using namespace std::chrono_literals;

namespace {

const table_limits limits;
const base::time_point start{1000s};

struct node {
    inner::host_record self;
    table members;
};

using fleet = std::map<std::string, node>; // Keyed by agent address.

void exchange(node& caller, node& peer)
{
    merge(peer.members, caller.self, start, limits);
    const auto records = records_to_send(peer.members, domain_hashes(caller.members));
    merge_all(caller.members, records, start, limits);
    merge_all(peer.members, records_peer_lacks(caller.members, records), start, limits);
    for (auto* side : {&caller, &peer}) {
        const auto seen = side->members.members.find(side->self.host);
        if (seen != side->members.members.end() &&
            check_self(side->self, seen->second.record, false) == self_check::refuted) {
            merge(side->members, side->self, start, limits);
        }
    }
}

fleet make_fleet(std::size_t domains, std::size_t hosts)
{
    fleet nodes;
    for (std::size_t domain = 0; domain < domains; ++domain) {
        for (std::size_t host = 0; host < hosts; ++host) {
            const auto name = "d" + std::to_string(domain) + "h" + std::to_string(host);
            node added{
                make_record(name, 1, 1, inner::host_status::live, "d" + std::to_string(domain)),
                {}};
            merge(added.members, added.self, start, limits);
            nodes.emplace(added.self.agent_address, std::move(added));
        }
    }
    return nodes;
}

bool agree(const fleet& nodes)
{
    for (const auto& [address, item] : nodes) {
        if (item.members.members.size() != nodes.size() ||
            !records_to_send(item.members, domain_hashes(nodes.begin()->second.members)).empty()) {
            return false;
        }
    }
    return true;
}

template <typename Cut>
void run_rounds(fleet& nodes, const std::vector<seed>& seeds, int rounds, std::mt19937_64& random,
                const Cut& cut)
{
    for (int round = 0; round < rounds; ++round) {
        for (auto& [address, caller] : nodes) {
            for (const auto& to : choose_peers(caller.members, caller.self, seeds, {}, random)) {
                if (!cut(address, to)) {
                    exchange(caller, nodes.at(to));
                }
            }
        }
    }
}

std::vector<seed> seeds_of(const fleet& nodes)
{
    std::vector<seed> seeds;
    for (const auto& [address, item] : nodes) {
        if (item.self.host.value().ends_with("h0")) {
            seeds.push_back({item.self.host, item.self.failure_domain, address});
        }
    }
    return seeds;
}

bool never(const std::string& /*from*/, const std::string& /*to*/)
{
    return false;
}

} // namespace

// Guards against hosts whose views stay different after starts, false `dead` marks and partitions.
TEST_CASE("views converge by exchange")
{
    CHECK(rc::check("from seeds, and after a partition with false `dead` marks", []() {
        auto nodes =
            make_fleet(*rc::gen::inRange<std::size_t>(1, 4), *rc::gen::inRange<std::size_t>(2, 5));
        const auto seeds = seeds_of(nodes);
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        run_rounds(nodes, seeds, 40, random, never);
        RC_ASSERT(agree(nodes));

        // The fleet is partitioned into two sides; each marks every host of the other side dead.
        std::set<std::string> side;
        for (const auto& [address, item] : nodes) {
            if (*rc::gen::arbitrary<bool>()) {
                side.insert(address);
            }
        }
        const auto cut = [&side](const std::string& from, const std::string& to) {
            return side.contains(from) != side.contains(to);
        };
        for (auto& [address, item] : nodes) {
            for (auto& [host, known] : item.members.members) {
                if (cut(address, known.record.agent_address)) {
                    known.record.status = inner::host_status::dead;
                    ++item.members.revision;
                }
            }
        }
        run_rounds(nodes, seeds, 10, random, cut);
        run_rounds(nodes, seeds, 200, random, never);
        RC_ASSERT(agree(nodes));
        for (const auto& [host, known] : nodes.begin()->second.members.members) {
            RC_ASSERT(known.record.status == inner::host_status::live);
        }
    }));
}
