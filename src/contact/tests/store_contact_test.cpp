#include "contact/store_contact.h"

#include <doctest/doctest.h>

using namespace snipeshore;
using namespace std::chrono_literals;

namespace {

constexpr base::time_point start{1000s};

} // namespace

// Guards against waiting for a response that cannot come any more: each call was awaited for its
// own time, whatever the calls beside it showed.
TEST_CASE("a store that does not respond to one call is silent for all")
{
    contact::store_contact contact;
    contact::on_call_sent(contact, 1, 4s, start);
    contact::on_call_sent(contact, 2, 0s, start + 100ms);
    CHECK(contact::next_check(contact) == start + 100ms + contact::min_patience);
    CHECK_FALSE(contact::has_lost_call(contact, start + 1s));
    REQUIRE(contact::has_lost_call(contact, start + 1100ms));
    contact::begin_silence(contact, start + 1100ms);
    SUBCASE("so no earlier call is awaited, and a late response to it changes nothing")
    {
        CHECK(contact.calls.empty());
        contact::on_response(contact, 1, start + 1200ms);
        CHECK(contact.silent_since == start + 1100ms);
    }
    SUBCASE("and is probed at once and then at intervals, whether or not probes are answered")
    {
        CHECK(contact::should_probe(contact, start + 1100ms));
        contact::on_probe_sent(contact, 0, start + 1100ms);
        CHECK_FALSE(contact::should_probe(contact, start + 1200ms));
        CHECK(contact::next_check(contact) == start + 1600ms);
        CHECK(contact::should_probe(contact, start + 1600ms));
        SUBCASE("less often by hosts further down the list")
        {
            contact::on_probe_sent(contact, 2, start + 1600ms);
            CHECK(contact::next_check(contact) == start + 3100ms);
        }
        SUBCASE("and sooner if another host has contact again, but not for each message")
        {
            contact::on_peer_contact(contact, start + 1150ms);
            CHECK(contact::next_check(contact) == start + 1200ms);
        }
        SUBCASE("until a probe is answered")
        {
            contact::end_silence(contact, start + 1600ms, start + 1620ms);
            CHECK_FALSE(contact.silent_since.has_value());
            CHECK_FALSE(contact::should_probe(contact, start + 9s));
            CHECK_FALSE(contact::next_check(contact).has_value());
        }
    }
}

TEST_CASE("calls that fail or are answered say different things")
{
    contact::store_contact contact;
    contact::on_call_sent(contact, 1, 0s, start);
    SUBCASE("a connection that breaks at once says nothing of other calls")
    {
        CHECK_FALSE(contact::on_failure(contact, 1, start + 10ms));
    }
    SUBCASE("a call that fails after it has hung shows silence")
    {
        CHECK(contact::on_failure(contact, 1, start + 700ms));
    }
    SUBCASE("a call that waited for a change and then broke does not")
    {
        contact::on_call_sent(contact, 2, 4s, start);
        CHECK_FALSE(contact::on_failure(contact, 2, start + 3s));
    }
    SUBCASE("a call that was cancelled is not missed")
    {
        contact::on_call_dropped(contact, 1);
        CHECK_FALSE(contact::has_lost_call(contact, start + 10s));
    }
    SUBCASE("a call that should have delivered a change of another host is lost soon after")
    {
        contact::on_call_sent(contact, 2, 4s, start);
        contact::on_response(contact, 1, start + 10ms);
        contact::on_missed_change(contact, 2, start + 1s);
        CHECK_FALSE(contact::has_lost_call(contact, start + 1s));
        CHECK(contact::has_lost_call(contact, start + 1s + contact::overdue_time));
    }
}

// Guards against a slow store that is taken for a silent one again and again.
TEST_CASE("patience follows the responses of a slow store")
{
    contact::store_contact contact;
    CHECK(contact::patience(contact) == contact::min_patience);
    contact::begin_silence(contact, start);
    contact::end_silence(contact, start, start + 2400ms);
    CHECK(contact::patience(contact) == contact::max_patience);
    contact::on_call_sent(contact, 1, 0s, start);
    CHECK_FALSE(contact::has_lost_call(contact, start + 2400ms));
    SUBCASE("and returns when it is fast again")
    {
        for (contact::call_id call = 1; call < 40; ++call) {
            contact::on_call_sent(contact, call, 0s, start);
            contact::on_response(contact, call, start + 10ms);
        }
        CHECK(contact::patience(contact) == contact::min_patience);
    }
    SUBCASE("but not with calls that wait for a change")
    {
        contact::store_contact fast;
        contact::on_call_sent(fast, 1, 4s, start);
        contact::on_response(fast, 1, start + 4s);
        CHECK(contact::patience(fast) == contact::min_patience);
    }
}
