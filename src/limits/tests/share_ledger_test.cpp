#include "limits/home_hosts.h"
#include "limits/share_ledger.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>

using namespace snipeshore;
using namespace snipeshore::limits;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const base::account_id badges("badges");
const base::time_point start{std::chrono::hours(1)};
/// All loans of previous processes have ended, and the buckets are full.
const base::time_point settled = start + seconds(60);

layout two_hosts(std::uint64_t version, double rate = 20, double burst = 20)
{
    return {base::document_version(version),
            {{base::host_id("a"), base::failure_domain_id("x")},
             {base::host_id("b"), base::failure_domain_id("y")}},
            {{badges, base::request_rate(rate), base::request_count(burst)}}};
}

fleet_view view_at(std::uint64_t version_a, std::uint64_t version_b)
{
    return {{{base::host_id("a"), base::document_version(version_a)},
             {base::host_id("b"), base::document_version(version_b)}},
            true,
            {base::host_id("a"), base::host_id("b")}};
}

share_ledger ledger_of(const std::string& host)
{
    share_ledger ledger = make_ledger({}, base::host_id(host), base::incarnation(7), start);
    install_layout(ledger, two_hosts(1), start);
    update_fleet(ledger, view_at(1, 1), start);
    return ledger;
}

/// Number of requests admitted until the first other verdict.
int take_all(share_ledger& ledger, base::time_point now)
{
    int taken = 0;
    admission decision = admit(ledger, badges, now);
    while (decision.verdict == admit_verdict::admitted) {
        ++taken;
        decision = admit(ledger, badges, now);
    }
    if (decision.verdict == admit_verdict::wait) {
        stop_waiting(ledger, badges);
    }
    return taken;
}

loan_request request_of(double rate, double tokens)
{
    return {1, base::host_id("a"), badges, rate, tokens, base::host_id("b"), base::incarnation(3)};
}

} // namespace

// Guards against hosts that compute different homes, and against failure domains without a home.
TEST_CASE("home hosts")
{
    std::vector<entry_host> hosts;
    for (int index = 0; index < 12; ++index) {
        hosts.push_back({base::host_id("h" + std::to_string(index)),
                         base::failure_domain_id("d" + std::to_string(index % 4))});
    }
    const auto names = [&] {
        std::set<std::string> result;
        for (const std::uint32_t position : home_positions(badges, hosts)) {
            result.insert(hosts[position].id.value());
        }
        return result;
    };
    const std::set<std::string> before = names();
    CHECK(before.size() == 8);
    std::reverse(hosts.begin(), hosts.end());
    CHECK(names() == before);
    hosts.push_back({base::host_id("alone"), base::failure_domain_id("d9")});
    CHECK(names().size() == 9);
}

// Guards against a restarted process that uses tokens twice, or uses its share while loans of the
// previous process are active.
TEST_CASE("a new process")
{
    share_ledger ledger = ledger_of("a");
    CHECK(take_all(ledger, start) == 0);
    CHECK(take_all(ledger, start + milliseconds(2199)) == 0);
    CHECK(lend(ledger, request_of(5, 5), start + milliseconds(2199)).loan == 0);
    CHECK_FALSE(uses_full_share(ledger, start + milliseconds(2199)));
    CHECK(uses_full_share(ledger, start + milliseconds(2200)));
    CHECK(take_all(ledger, start + milliseconds(2200)) == 0);
    CHECK(take_all(ledger, start + milliseconds(2700)) == 5);
    SUBCASE("a process that does not know the older layouts waits for the platform's host list")
    {
        share_ledger fresh = make_ledger({}, base::host_id("a"), base::incarnation(8), start);
        install_layout(fresh, two_hosts(1), start);
        fleet_view view = view_at(1, 1);
        view.listed_known = false;
        update_fleet(fresh, view, start);
        CHECK(take_all(fresh, settled) == 0);
        view = view_at(1, 1);
        view.listed.emplace_back("former");
        update_fleet(fresh, view, settled);
        CHECK(take_all(fresh, settled + seconds(10)) == 0);
    }
}

// Guards against additional tokens after the state of an account is dropped and created again.
TEST_CASE("idle accounts")
{
    share_ledger ledger = ledger_of("a");
    CHECK(take_all(ledger, settled) == 10);
    SUBCASE("are kept until the bucket is full")
    {
        share_ledger slow = make_ledger({}, base::host_id("a"), base::incarnation(7), start);
        install_layout(slow, two_hosts(1, 0.2, 20), start);
        update_fleet(slow, view_at(1, 1), start);
        const base::time_point later = start + seconds(200);
        CHECK(take_all(slow, later) == 10);
        plan_all_loans(slow, later + seconds(30));
        CHECK(stats_of(slow).accounts == 1);
        CHECK(take_all(slow, later + seconds(31)) == 3);
    }
    SUBCASE("are dropped when the bucket is full, unless a loan is in use")
    {
        const base::time_point later = settled + seconds(30);
        CHECK(lend(ledger, request_of(5, 5), later).tokens == 5);
        plan_all_loans(ledger, later + seconds(1));
        CHECK(stats_of(ledger).accounts == 1);
        plan_all_loans(ledger, later + seconds(10));
        CHECK(stats_of(ledger).accounts == 0);
        CHECK(take_all(ledger, later + seconds(10)) == 10);
    }
}

// Guards against two hosts that use the same token or rate.
TEST_CASE("loans")
{
    share_ledger lender = ledger_of("a");
    share_ledger borrower = ledger_of("b");
    CHECK(take_all(borrower, settled) == 10);
    const auto requests = plan_loans(borrower, badges, settled);
    REQUIRE(requests.size() == 1);
    CHECK(requests[0].lender == base::host_id("a"));
    const loan_grant grant = lend(lender, requests[0], settled + milliseconds(50));
    REQUIRE(grant.loan != 0);
    CHECK(grant.burst >= grant.tokens);

    SUBCASE("the lender can use the lent share again only after lease and margin")
    {
        CHECK(take_all(lender, settled + milliseconds(50)) <= 10 - grant.tokens);
        CHECK(take_all(lender, settled + milliseconds(2249)) <= 10 - grant.burst);
        CHECK(take_all(lender, settled + seconds(10)) == 10);
    }
    SUBCASE("duplicate, late and unknown replies change nothing")
    {
        receive_loan(borrower, requests[0].request, grant, settled + milliseconds(60));
        const int taken = take_all(borrower, settled + milliseconds(60));
        CHECK(taken <= static_cast<int>(grant.tokens) + 1);
        receive_loan(borrower, requests[0].request, grant, settled + milliseconds(60));
        receive_loan(borrower, requests[0].request + 100, grant, settled + milliseconds(60));
        CHECK(take_all(borrower, settled + milliseconds(60)) == 0);
    }
    SUBCASE("a reply after the timeout is ignored")
    {
        plan_all_loans(borrower, settled + milliseconds(300));
        receive_loan(borrower, requests[0].request, grant, settled + milliseconds(300));
        CHECK(stats_of(borrower).loans_held == 0);
    }
    SUBCASE("the lease starts when the borrower sends its request, also if the process pauses")
    {
        receive_loan(borrower, requests[0].request, grant, settled + milliseconds(100));
        CHECK(stats_of(borrower).loans_held == 1);
        CHECK(take_all(borrower, settled + seconds(40)) <= 10);
    }
    SUBCASE("a returned loan ends at the lender at once, an unknown loan changes nothing")
    {
        on_loan_returned(lender, grant.loan + 17, settled + milliseconds(60));
        CHECK(stats_of(lender).loans_granted == 1);
        on_loan_returned(lender, grant.loan, settled + milliseconds(60));
        on_loan_returned(lender, grant.loan, settled + milliseconds(60));
        CHECK(stats_of(lender).loans_granted == 0);
    }
    SUBCASE("a busy lender does not renew")
    {
        for (int step = 0; step < 100; ++step) {
            admit(lender, badges, settled + milliseconds(100 + step * 10));
        }
        CHECK(lend(lender, request_of(5, 0), settled + milliseconds(1100)).loan == 0);
    }
    SUBCASE("a planned stop returns all loans")
    {
        receive_loan(borrower, requests[0].request, grant, settled + milliseconds(100));
        const auto returns = return_all_loans(borrower, settled + milliseconds(200));
        REQUIRE(returns.size() == 1);
        CHECK(returns[0].loan == grant.loan);
    }
}

// Guards against refusing a request while a loan is in flight, and against unbounded queues.
TEST_CASE("waiting for a loan")
{
    share_ledger ledger = ledger_of("b");
    CHECK(take_all(ledger, settled) == 10);
    const admission waiting = admit(ledger, badges, settled);
    REQUIRE(waiting.verdict == admit_verdict::wait);
    CHECK(waiting.wait_ends == settled + milliseconds(150));
    CHECK(admit_waiting(ledger, badges, waiting.wait_ends, settled).verdict == admit_verdict::wait);
    const auto requests = plan_loans(ledger, badges, settled);
    REQUIRE(requests.size() == 1);
    receive_loan(ledger, requests[0].request, {5, 5, 5, 2, milliseconds(2000)}, settled);
    CHECK(admit_waiting(ledger, badges, waiting.wait_ends, settled).verdict ==
          admit_verdict::admitted);
    SUBCASE("when the wait ends, the request is refused with the time until a token")
    {
        CHECK(take_all(ledger, settled) == 1);
        REQUIRE(admit(ledger, badges, settled).verdict == admit_verdict::wait);
        const admission refused = admit_waiting(ledger, badges, settled, settled + milliseconds(1));
        CHECK(refused.verdict == admit_verdict::rate_exceeded);
        CHECK(refused.retry_after > milliseconds(0));
        CHECK(refused.retry_after < seconds(1));
    }
    SUBCASE("the queue is bounded")
    {
        ledger.settings.max_waiting = 3;
        for (int index = 0; index < 10; ++index) {
            admit(ledger, badges, settled);
        }
        CHECK(stats_of(ledger).waiting == 3);
        CHECK(admit(ledger, badges, settled).verdict == admit_verdict::rate_exceeded);
    }
}

// Guards against homes of two layouts that together own more than the limit of the account.
TEST_CASE("a change of the layout")
{
    share_ledger ledger = ledger_of("a");
    CHECK(take_all(ledger, settled) == 10);
    layout smaller = two_hosts(2);
    smaller.hosts.pop_back();
    SUBCASE("a larger share is used once all hosts of the older layout have confirmed this version")
    {
        install_layout(ledger, smaller, settled);
        update_fleet(ledger, view_at(2, 1), settled);
        CHECK(take_all(ledger, settled + seconds(10)) == 10);
        // Host b skipped version 2, so it does not know this layout.
        update_fleet(ledger, view_at(2, 3), settled + seconds(10));
        CHECK(take_all(ledger, settled + seconds(20)) == 10);
        update_fleet(ledger, view_at(2, 2), settled + seconds(20));
        // Loans that b granted before have not ended.
        CHECK(take_all(ledger, settled + milliseconds(22199)) == 10);
        CHECK(take_all(ledger, settled + seconds(40)) == 20);
    }
    SUBCASE("a dead host that is not in the platform's list is not waited for")
    {
        install_layout(ledger, smaller, settled);
        update_fleet(ledger, {{}, true, {base::host_id("a")}}, settled);
        CHECK(take_all(ledger, settled + seconds(40)) == 20);
    }
    SUBCASE("an older version is ignored")
    {
        install_layout(ledger, two_hosts(1, 1000, 1000), settled);
        CHECK(take_all(ledger, settled + seconds(40)) == 10);
    }
    SUBCASE("a lower limit applies at once, a higher one once the other hosts have confirmed it")
    {
        install_layout(ledger, two_hosts(2, 4, 4), settled);
        CHECK(take_all(ledger, settled + seconds(40)) == 2);
        install_layout(ledger, two_hosts(3, 40, 40), settled + seconds(41));
        CHECK(take_all(ledger, settled + seconds(80)) == 2);
    }
    SUBCASE("a raised limit adds no tokens to buckets without state")
    {
        const base::time_point later = settled + seconds(30);
        plan_all_loans(ledger, later);
        REQUIRE(stats_of(ledger).accounts == 0);
        install_layout(ledger, two_hosts(2, 20, 100), later);
        update_fleet(ledger, view_at(2, 2), later);
        plan_all_loans(ledger, later + milliseconds(2200));
        CHECK(take_all(ledger, later + milliseconds(2200)) <= 10);
    }
    SUBCASE("a removed account is unknown")
    {
        layout without = two_hosts(2);
        without.accounts.clear();
        install_layout(ledger, without, settled);
        CHECK(admit(ledger, badges, settled).verdict == admit_verdict::account_unknown);
    }
}

// Guards against unbounded memory use.
TEST_CASE("a full ledger refuses further accounts")
{
    ledger_settings settings;
    settings.max_accounts = 1;
    share_ledger ledger = make_ledger(settings, base::host_id("a"), base::incarnation(7), start);
    layout both = two_hosts(1);
    both.accounts.push_back(
        {base::account_id("other"), base::request_rate(1), base::request_count(1)});
    install_layout(ledger, both, start);
    update_fleet(ledger, view_at(1, 1), start);
    CHECK(admit(ledger, badges, settled).verdict == admit_verdict::admitted);
    CHECK(admit(ledger, base::account_id("other"), settled).verdict == admit_verdict::overloaded);
}
