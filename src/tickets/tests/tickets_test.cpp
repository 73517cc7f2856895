#include "tickets/claim_registry.h"
#include "tickets/ticket_encoding.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace snipeshore;
using namespace snipeshore::tickets;
using namespace std::chrono_literals;

namespace {

const base::host_id owner("owner-1");
const base::account_id account("account-1");
const base::time_point start{1000h};

claim_registry make_test_registry(claim_registry_settings settings = {})
{
    return make_claim_registry(settings, owner, base::incarnation(7), start);
}

ticket make_ticket(std::uint8_t number, std::uint64_t epoch = 1)
{
    ticket made{{}, owner, base::incarnation(7), epoch, account};
    made.id[0] = number;
    return made;
}

attempt by(const std::string& host, std::uint64_t number)
{
    return {base::host_id(host), base::incarnation(1), number};
}

claim_verdict verdict_of(claim_registry& claims, const ticket& which, const attempt& who,
                         base::time_point now = start)
{
    const auto outcome = claim(claims, which, account, who, now);
    REQUIRE(base::is_ok(outcome));
    return base::value_of(outcome).verdict;
}

} // namespace

// Guards against a ticket that is granted to two attempts, or dropped while its epoch is accepted.
TEST_CASE("a ticket is claimed once")
{
    claim_registry claims = make_test_registry();
    const ticket which = make_ticket(1);
    REQUIRE(verdict_of(claims, which, by("a", 1)) == claim_verdict::granted);

    SUBCASE("the same attempt is granted again, another one is not")
    {
        CHECK(verdict_of(claims, which, by("a", 1)) == claim_verdict::granted);
        CHECK(verdict_of(claims, which, by("a", 2)) == claim_verdict::running);
        CHECK(verdict_of(claims, which, by("b", 1)) == claim_verdict::running);
    }
    SUBCASE("a completed claim returns its response to every repeat")
    {
        CHECK_FALSE(complete(claims, which, by("b", 1), {200, {}, "no"}, start));
        REQUIRE(complete(claims, which, by("a", 1), {201, {{"x", "y"}}, "done"}, start));
        const auto repeat = claim(claims, which, account, by("b", 1), start);
        REQUIRE(base::value_of(repeat).verdict == claim_verdict::done);
        CHECK(base::value_of(repeat).response->status == 201);
        CHECK(base::value_of(repeat).response->body == "done");
    }
    SUBCASE("a response that is too large to cache leaves the outcome unknown")
    {
        const std::string large(claims.settings.max_response_bytes + 1, 'x');
        REQUIRE(complete(claims, which, by("a", 1), {200, {}, large}, start));
        CHECK(verdict_of(claims, which, by("b", 1)) == claim_verdict::unknown);
    }
    SUBCASE(
        "a released ticket can be claimed by another attempt, not by a late duplicate of the first")
    {
        CHECK_FALSE(release(claims, which, by("b", 1), start));
        REQUIRE(release(claims, which, by("a", 1), start));
        CHECK(verdict_of(claims, which, by("a", 1)) == claim_verdict::unknown);
        CHECK(verdict_of(claims, which, by("b", 1)) == claim_verdict::granted);
    }
    SUBCASE("a claim is stored during the next epoch, and the ticket is never granted after that")
    {
        CHECK(verdict_of(claims, which, by("b", 1), start + 6min) == claim_verdict::running);
        CHECK(verdict_of(claims, which, by("b", 1), start + 11min) == claim_verdict::unknown);
        CHECK(verdict_of(claims, make_ticket(2), by("b", 1), start + 11min) ==
              claim_verdict::unknown);
    }
    SUBCASE("tickets of another incarnation and of another account are not granted")
    {
        ticket old = make_ticket(3);
        old.owner_incarnation = base::incarnation(6);
        CHECK(verdict_of(claims, old, by("a", 1)) == claim_verdict::unknown);
        const auto stranger =
            claim(claims, make_ticket(4), base::account_id("other"), by("a", 1), start);
        CHECK(base::value_of(stranger).verdict == claim_verdict::invalid);
    }
    SUBCASE("a full registry refuses new claims and keeps all existing ones")
    {
        claim_registry small = make_test_registry({.max_claims = 1});
        REQUIRE(verdict_of(small, which, by("a", 1)) == claim_verdict::granted);
        CHECK_FALSE(base::is_ok(claim(small, make_ticket(2), account, by("a", 2), start)));
        CHECK(verdict_of(small, which, by("b", 1)) == claim_verdict::running);
    }
}

// Guards against any order of claims, repeats, releases, completions and epochs that runs a ticket
// twice. The reference model keeps every claim forever.
TEST_CASE("no schedule runs a ticket twice")
{
    CHECK(rc::check("claims agree with a reference set without expiry", [] {
        claim_registry claims = make_test_registry({.epoch_length = 10ms});
        std::map<std::uint8_t, std::set<std::uint64_t>> may_run;
        std::map<std::pair<std::uint8_t, std::uint64_t>, bool> released;
        base::time_point now = start;
        const auto steps = *rc::gen::inRange(1, 200);
        for (int step = 0; step < steps; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 4));
            const auto number = static_cast<std::uint8_t>(*rc::gen::inRange(0, 3));
            const auto epoch = static_cast<std::uint64_t>(*rc::gen::inRange(1, 5));
            const auto who = static_cast<std::uint64_t>(*rc::gen::inRange(0, 4));
            // The id includes the epoch, since a ticket has exactly one epoch.
            const auto id =
                static_cast<std::uint8_t>(static_cast<std::uint64_t>(number) * 8 + epoch);
            const ticket which = make_ticket(id, epoch);
            const auto action = *rc::gen::inRange(0, 4);
            if (action == 0) {
                if (release(claims, which, by("h", who), now)) {
                    may_run[id].erase(who);
                    released[{id, who}] = true;
                }
            } else if (action == 1) {
                complete(claims, which, by("h", who), {200, {}, "x"}, now);
            } else {
                const auto outcome = claim(claims, which, account, by("h", who), now);
                // A claimer does not run an attempt that it released, so a late grant does not
                // count as a run.
                const bool is_late = released[std::make_pair(id, who)];
                if (base::value_of(outcome).verdict == claim_verdict::granted && !is_late) {
                    may_run[id].insert(who);
                }
            }
            for (const auto& [ticket_number, runners] : may_run) {
                RC_ASSERT(runners.size() <= 1U);
            }
        }
    }));
}

// Guards against forged, changed or malformed tickets.
TEST_CASE("an encoded ticket is authentic")
{
    const fleet_secret secret = derive_fleet_secret("a secret for this test");
    ticket fields{random_ticket_id(), owner, base::incarnation(9), 3, account};
    const auto text = mint(fields, secret);
    REQUIRE(base::is_ok(text));

    SUBCASE("it can be read back")
    {
        const auto read = parse_and_verify(base::value_of(text), secret);
        REQUIRE(base::is_ok(read));
        CHECK(base::value_of(read) == fields);
    }
    SUBCASE("another secret, a changed character and any truncation are refused")
    {
        CHECK_FALSE(base::is_ok(
            parse_and_verify(base::value_of(text), derive_fleet_secret("another secret"))));
        for (std::size_t at = 0; at < base::value_of(text).size(); ++at) {
            std::string changed = base::value_of(text);
            changed[at] = changed[at] == 'A' ? 'B' : 'A';
            CHECK_FALSE(base::is_ok(parse_and_verify(changed, secret)));
            CHECK_FALSE(base::is_ok(parse_and_verify(base::value_of(text).substr(0, at), secret)));
        }
    }
    SUBCASE("random texts are refused")
    {
        CHECK(rc::check("no random text is a ticket", [&](const std::string& random) {
            RC_ASSERT(!base::is_ok(parse_and_verify(random, secret)));
        }));
    }
    SUBCASE("ids that do not fit are not minted")
    {
        fields.account = base::account_id(std::string(256, 'x'));
        CHECK_FALSE(base::is_ok(mint(fields, secret)));
    }
}
