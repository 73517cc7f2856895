#include "rows/table_follower.h"

#include "http/loop.h"

#include <doctest/doctest.h>

#include <deque>

using namespace snipeshore;
using namespace std::chrono_literals;

namespace {

/// Answers each call with the next scripted response; stops the loop after the last one.
class scripted_store final : public rows::row_store {
public:
    explicit scripted_store(http::loop& loop) : m_loop(loop) {}

    std::unique_ptr<rows::store_call> read(const std::string& /*table*/, const std::string& from,
                                           page_callback done) override
    {
        calls.push_back("read " + from);
        return answer(std::move(done));
    }

    std::unique_ptr<rows::store_call> read_changes(const std::string& /*table*/,
                                                   std::uint64_t after,
                                                   std::chrono::milliseconds /*wait*/,
                                                   page_callback done) override
    {
        calls.push_back("changes " + std::to_string(after));
        return answer(std::move(done));
    }

    std::unique_ptr<rows::store_call> write(const std::string& /*table*/,
                                            const std::string& /*key*/,
                                            const std::optional<std::string>& /*value*/,
                                            status_callback /*done*/) override
    {
        return nullptr;
    }

    std::deque<base::result<rows::page>> answers;
    std::vector<std::string> calls;

private:
    std::unique_ptr<rows::store_call> answer(page_callback done)
    {
        if (answers.empty()) {
            m_loop.stop();
            return nullptr;
        }
        m_loop.schedule(
            base::boot_clock::now(),
            [done = std::move(done), next = std::move(answers.front())] { done(next); });
        answers.pop_front();
        return nullptr;
    }

    http::loop& m_loop;
};

} // namespace

TEST_CASE("a follower keeps its replica up to date")
{
    http::loop loop;
    scripted_store store(loop);
    std::vector<std::string> seen;
    rows::follow_settings settings;
    settings.initial_backoff = 1ms;
    settings.outage_gap = 0ms;
    std::function<void()> on_change = [] {
    };
    rows::table_follower follower(loop, store, settings,
                                  [&](const std::vector<rows::row>& changes) {
                                      for (const rows::row& change : changes) {
                                          seen.push_back((change.removed ? "-" : "+") + change.key);
                                      }
                                      on_change();
                                  });
    SUBCASE("it reads all pages and then the changes after the first page")
    {
        store.answers = {rows::page{{{"a", "1", 3, false}}, true, 5},
                         rows::page{{{"a", "1", 3, false}, {"b", "1", 6, false}}, false, 6},
                         rows::page{{{"b", "1", 6, false}, {"a", "", 7, true}}, false, 7}};
        follower.start();
        loop.run();
        CHECK(store.calls == std::vector<std::string>{"read ", "read a", "changes 5", "changes 7"});
        CHECK(seen == std::vector<std::string>{"+a", "+b", "-a"});
    }
    SUBCASE("without history the whole table is read again, and rows removed meanwhile are removed")
    {
        store.answers = {rows::page{{{"a", "1", 3, false}}, false, 5},
                         base::error{base::error_kind::stale, "gone"},
                         rows::page{{{"c", "1", 8, false}}, false, 9}};
        follower.start();
        loop.run();
        CHECK(seen == std::vector<std::string>{"+a", "+c", "-a"});
        CHECK(store.calls.back() == "changes 9");
    }
    SUBCASE("an outage is detected, and rows from a peer are used meanwhile")
    {
        store.answers = {rows::page{{{"a", "1", 3, false}}, false, 5},
                         base::error{base::error_kind::store_unavailable, "down"}};
        follower.start();
        loop.run();
        CHECK_FALSE(follower.is_store_reachable());
        follower.apply_peer_update({7, false, {{"a", "2", 6, false}}});
        CHECK(follower.replica().rows.at("a").value == "2");
        CHECK(follower.replica().version == 7);
    }
    // Guards against targets that are dropped at once because their rows expired during an outage,
    // although they are about to be written again: another host had the store back first.
    SUBCASE("rows from a peer after an outage show that the store is back")
    {
        store.answers = {rows::page{{{"a", "1", 3, false}}, false, 5},
                         base::error{base::error_kind::store_unavailable, "down"}};
        follower.start();
        loop.run();
        REQUIRE_FALSE(follower.is_store_reachable());
        const base::time_point before = base::boot_clock::now();
        base::time_point since;
        on_change = [&] {
            since = follower.store_reachable_since();
        };
        follower.apply_peer_update({7, false, {{"a", "", 6, true}}});
        CHECK(since >= before);
        SUBCASE("but those that follow soon are changes as usual")
        {
            settings.outage_gap = 1h;
            rows::table_follower other(loop, store, settings, [](const std::vector<rows::row>&) {});
            const base::time_point created = other.store_reachable_since();
            other.apply_peer_update({7, false, {{"a", "1", 6, false}}});
            other.apply_peer_update({8, false, {{"a", "", 8, true}}});
            CHECK(other.store_reachable_since() == created);
        }
    }
    SUBCASE("a response older than the replica is ignored")
    {
        store.answers = {rows::page{{{"a", "1", 3, false}}, false, 5},
                         base::error{base::error_kind::stale, "gone"}, rows::page{{}, false, 2},
                         rows::page{{{"a", "1", 3, false}}, false, 6}};
        follower.start();
        loop.run();
        CHECK(seen == std::vector<std::string>{"+a"});
    }
    // Guards against confirmed changes that are never in force: a store that was restored to an
    // earlier state gives out versions again, and its rows counted as older than the lost ones.
    SUBCASE("a store that was restored to an earlier state is read again, whatever its versions")
    {
        store.answers = {rows::page{{{"a", "1", 3}, {"lost", "1", 54}}, false, 54, false, 1},
                         base::error{base::error_kind::stale, "gone"},
                         rows::page{{{"a", "0", 2}}, false, 45, false, 2},
                         rows::page{{{"a", "2", 53}}, false, 53, false, 2}};
        follower.start();
        const base::time_point before = base::boot_clock::now();
        loop.run();
        CHECK(store.calls ==
              std::vector<std::string>{"read ", "changes 54", "read ", "changes 45", "changes 53"});
        CHECK(seen == std::vector<std::string>{"+a", "+lost", "+a", "-lost", "+a"});
        CHECK(follower.replica().rows.at("a").value == "2");
        CHECK(follower.store_reachable_since() >= before);
    }
    SUBCASE("changes after a version that was given out again are not applied to the lost rows")
    {
        store.answers = {
            rows::page{{{"a", "1", 3}, {"lost", "1", 54}}, false, 54, false, 1},
            rows::page{{{"b", "1", 55}}, false, 55, false, 2},
            rows::page{{{"a", "1", 3}, {"c", "1", 50}, {"b", "1", 55}}, false, 55, false, 2}};
        follower.start();
        loop.run();
        CHECK(store.calls.back() == "changes 55");
        CHECK(follower.replica().rows.at("c").value == "1");
        CHECK(follower.replica().rows.at("lost").removed);
    }
    SUBCASE("an era that is known from another table makes it read the whole table again")
    {
        store.answers = {rows::page{{{"a", "1", 3}}, false, 5, false, 1}};
        follower.start();
        loop.run();
        store.answers = {rows::page{{{"a", "0", 2}}, false, 5, false, 2}};
        follower.on_era(1);
        follower.on_era(2);
        loop.run();
        CHECK(store.calls == std::vector<std::string>{"read ", "changes 5", "read ", "changes 5"});
        CHECK(follower.replica().rows.at("a").value == "0");
    }
    SUBCASE("a call after a version of an earlier era ends when a peer's table begins a later one")
    {
        store.answers = {rows::page{{{"a", "1", 54}}, false, 54, false, 1}};
        follower.start();
        loop.run();
        REQUIRE(store.calls.back() == "changes 54");
        follower.apply_peer_update({52, true, {{"a", "0", 40}}, 2});
        loop.schedule(base::boot_clock::now() + 10ms, [&] { loop.stop(); });
        loop.run();
        CHECK(store.calls.back() == "changes 52");
    }
    SUBCASE("pages of different eras are not joined to one table")
    {
        store.answers = {rows::page{{{"a", "1", 3}}, true, 5, false, 1},
                         rows::page{{{"b", "1", 4}}, false, 4, false, 2},
                         rows::page{{{"b", "1", 4}}, false, 4, false, 2}};
        follower.start();
        loop.run();
        CHECK(seen == std::vector<std::string>{"+b"});
    }
    SUBCASE("a peer's whole table of a later era replaces the rows, one of an earlier era does not")
    {
        store.answers = {rows::page{{{"a", "1", 50}}, false, 54, false, 1},
                         base::error{base::error_kind::store_unavailable, "down"}};
        follower.start();
        loop.run();
        follower.apply_peer_update({45, true, {{"a", "0", 44}}, 2});
        CHECK(follower.replica().rows.at("a").value == "0");
        CHECK(follower.replica().version == 45);
        follower.apply_peer_update({60, true, {{"a", "1", 50}}, 1});
        follower.apply_peer_update({61, false, {{"a", "3", 61}}, 1});
        CHECK(follower.replica().rows.at("a").value == "0");
        CHECK(follower.replica().version == 45);
    }
    SUBCASE("a source that pushes changes is called again without the pause of the follower")
    {
        rows::follow_settings paused = settings;
        paused.pause = 1h;
        rows::table_follower other(loop, store, paused, [](const std::vector<rows::row>&) {});
        store.answers = {rows::page{{}, false, 5}};
        other.start();
        loop.schedule(base::boot_clock::now() + 1ms, [&] { other.restart(); });
        store.answers.push_back(rows::page{{}, false, 6, true});
        loop.run();
        CHECK(store.calls.back() == "changes 6");
    }
}
