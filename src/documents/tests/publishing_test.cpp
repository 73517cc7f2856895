#include "documents/publishing.h"
#include "documents/replica.h"
#include "documents/text.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace snipeshore;
using namespace snipeshore::documents;

namespace {

base::document_version version_of(std::uint64_t version)
{
    return base::document_version(version);
}

/// Model of the platform's table with one row and conditional writes.
struct table_model {
    std::uint64_t row_version = 0;
    std::string value;
    std::uint64_t era = 0;

    published_row read() const
    {
        published_row row{row_version, std::nullopt, era};
        if (row_version > 0) {
            row.record = base::value_of(decode(value));
        }
        return row;
    }

    base::status write(std::uint64_t expected, const std::string& wanted)
    {
        if (row_version != expected) {
            return base::error{base::error_kind::version_conflict, ""};
        }
        ++row_version;
        value = wanted;
        return std::monostate{};
    }
};

/// A publisher that is run one step at a time, so that publishers can interleave.
struct publisher {
    publish_plan plan;
    publish_step step = publish_step::write_row;
    bool write_in_flight = false;
};

enum class fault : std::uint8_t { none, call_lost, reply_lost, call_late };

void run_step(publisher& self, table_model& table, fault happens)
{
    if (self.step == publish_step::read_row) {
        self.step = after_read(self.plan, table.read());
        return;
    }
    if (self.step != publish_step::write_row) {
        return;
    }
    const base::status lost = base::error{base::error_kind::store_unknown, ""};
    switch (happens) {
    case fault::call_lost:
        self.step = after_write(lost);
        break;
    case fault::reply_lost:
        table.write(self.plan.expected_row_version, encode(self.plan.record));
        self.step = after_write(lost);
        break;
    case fault::call_late: // Takes effect after the publisher stopped waiting.
        self.write_in_flight = true;
        self.step = after_write(lost);
        break;
    case fault::none:
        self.step =
            after_write(table.write(self.plan.expected_row_version, encode(self.plan.record)));
        break;
    }
}

} // namespace

// Guards against a publisher that reports a conflict for its own publication, or success for a
// publication without effect, when calls or replies are lost or late and another publisher writes
// too.
TEST_CASE("concurrent publishers with lost calls and replies")
{
    CHECK(rc::check("exactly one publisher succeeds, and each reports the right outcome", []() {
        table_model table;
        std::vector<publisher> publishers(2);
        for (std::size_t index = 0; index < publishers.size(); ++index) {
            const publish_request request{"id" + std::to_string(index), version_of(0),
                                          "[" + std::to_string(index) + "]"};
            publishers[index].plan =
                base::value_of(plan_publish(request, table.read(), version_of(0), ""));
        }
        const int turns = *rc::gen::inRange(0, 40);
        for (int turn = 0; turn < turns; ++turn) {
            auto& self = publishers[*rc::gen::inRange<std::size_t>(0, publishers.size())];
            if (self.write_in_flight && *rc::gen::arbitrary<bool>()) {
                self.write_in_flight = false;
                table.write(self.plan.expected_row_version, encode(self.plan.record));
            } else {
                run_step(self, table,
                         *rc::gen::element(fault::none, fault::call_lost, fault::reply_lost,
                                           fault::call_late));
            }
        }
        for (auto& self : publishers) {
            if (self.write_in_flight) {
                table.write(self.plan.expected_row_version, encode(self.plan.record));
            }
        }
        // Without further faults, a read, a write and a read resolve any state.
        for (auto& self : publishers) {
            for (int step = 0; step < 3; ++step) {
                run_step(self, table, fault::none);
            }
        }
        RC_ASSERT(table.row_version == 1U);
        for (const auto& self : publishers) {
            const bool in_row = table.read().record->id == self.plan.record.id;
            RC_ASSERT(self.step == (in_row ? publish_step::published : publish_step::conflict));
        }
    }));
}

// Guards against a lost reply that is reported as a conflict after another publication followed.
TEST_CASE("a publication is recognised after another one followed")
{
    table_model table;
    const auto first = base::value_of(
        plan_publish({"first", version_of(0), "{}"}, table.read(), version_of(0), ""));
    table.write(first.expected_row_version, encode(first.record));
    const auto second = base::value_of(
        plan_publish({"second", version_of(1), "[]"}, table.read(), version_of(1), "{}"));
    table.write(second.expected_row_version, encode(second.record));
    CHECK(after_read(first, table.read()) == publish_step::published);
    CHECK(second.record.version == version_of(2));
    CHECK(base::value_of(apply_patches("{}", {second.patch})) == "[]");
}

// Guards against an operator's edit that silently reverts another operator's edit.
TEST_CASE("an edit of an older version is a conflict")
{
    const std::string edited_from = R"({"a":1,"b":1,"c":{"d":1}})";
    const std::string in_force = R"({"a":2,"b":1,"c":{"d":2}})";
    const std::string wanted = R"({"a":1,"b":3,"c":5})";
    const published_row row{4, publication{version_of(8), digest_of(in_force), "other", {}}};
    const auto plan = plan_publish({"mine", version_of(7), wanted}, row, version_of(8), "");
    REQUIRE_FALSE(base::is_ok(plan));
    CHECK(base::error_of(plan).kind == base::error_kind::version_conflict);
    const auto conflict = describe_conflict(version_of(8), edited_from, in_force, wanted);
    CHECK(conflict.changed_by_others == std::vector<std::string>{"/a", "/c/d"});
    CHECK(conflict.changed_by_both == std::vector<std::string>{"/c"});
}

// Guards against a fleet that goes back to an older document after the store was restored.
TEST_CASE("a store that was restored to an older state")
{
    const published_row restored{3, publication{version_of(5), digest_of("{}"), "old", {}}};
    SUBCASE("is detected")
    {
        CHECK(compare(*restored.record, version_of(7), digest_of("[]")) == store_state::older);
        CHECK(compare(*restored.record, version_of(5), digest_of("[]")) == store_state::diverged);
        CHECK(compare(*restored.record, version_of(5), digest_of("{}")) == store_state::same);
        CHECK(compare(*restored.record, version_of(4), digest_of("[]")) == store_state::newer);
    }
    SUBCASE("accepts only a publication above the fleet's version")
    {
        CHECK_FALSE(
            base::is_ok(plan_publish({"id", version_of(5), "[1]"}, restored, version_of(7), "")));
        const auto plan = plan_publish({"id", version_of(7), "[1]"}, restored, version_of(7), "[]");
        REQUIRE(base::is_ok(plan));
        CHECK(base::value_of(plan).record.version == version_of(8));
        CHECK(base::value_of(plan).expected_row_version == 3);
    }
    SUBCASE("gets a lost version again, with its number")
    {
        const replica held{version_of(7), "[]", digest_of("[]"), {}, 0};
        published_row row = restored;
        row.store_era = 1;
        const auto plan = plan_rewrite(row, held);
        REQUIRE(plan);
        CHECK(plan->record.version == version_of(7));
        CHECK(plan->record.digest == held.digest);
        CHECK(plan->record.previous_ids == std::vector<std::string>{"old"});
        CHECK(plan->text == "[]");
        CHECK(plan->expected_row_version == 3);
        CHECK(plan->store_era == 1);
        CHECK(plan_rewrite({0, std::nullopt, 1}, held));
    }
    SUBCASE("is not written by a host that holds no lost version")
    {
        const replica held{version_of(7), "[]", digest_of("[]"), {}, 0};
        // The row is an old reply, or the store does not report its era.
        CHECK_FALSE(plan_rewrite(restored, held));
        published_row row = restored;
        row.store_era = 1;
        CHECK_FALSE(plan_rewrite(row, replica{}));
        CHECK_FALSE(plan_rewrite(row, {version_of(5), "{}", digest_of("{}"), {}, 0}));
        CHECK_FALSE(plan_rewrite(row, {first_version(1), "[]", digest_of("[]"), {}, 0}));
        row.record->version = first_version(1);
        CHECK_FALSE(plan_rewrite(row, held));
    }
    SUBCASE("is told from a store with another publication")
    {
        const published_row before{
            4, publication{version_of(6), digest_of("[]"), "lost", {"old", "older"}}};
        CHECK(is_same_or_earlier(before, restored));
        CHECK(is_same_or_earlier(before, before));
        CHECK(is_same_or_earlier(before, {}));
        // Written again by a host.
        CHECK(is_same_or_earlier(before,
                                 {5, publication{version_of(6), digest_of("[]"), "host", {}}}));
        CHECK_FALSE(is_same_or_earlier(
            before, {4, publication{first_version(1), digest_of("1"), "other", {"old"}}}));
        CHECK_FALSE(is_same_or_earlier({}, restored));
    }
    SUBCASE("skips versions whose object names are taken, without a patch")
    {
        const auto plan =
            plan_publish({"id", version_of(7), "[1]"}, restored, version_of(7), "[]", 2);
        REQUIRE(base::is_ok(plan));
        CHECK(base::value_of(plan).record.version == version_of(10));
        CHECK(base::value_of(plan).patch.empty());
    }
}

// Guards against a document that goes back, or one that is published after a restoration of the
// store and never comes into force on a host that has a lost version. The reference model is the
// last text that the host has seen in the row when it was published.
TEST_CASE("publications and restorations of the store")
{
    CHECK(rc::check("a host has the last publication and never an earlier one", []() {
        table_model table;
        std::vector<table_model> copies{table};
        replica host;
        std::map<std::uint64_t, std::string> texts;
        std::string last_text;
        const int turns = *rc::gen::inRange(1, 40);
        for (int turn = 0; turn < turns; ++turn) {
            if (*rc::gen::inRange(0, 4) == 0) {
                const auto era = table.era + 1;
                table = *rc::gen::elementOf(copies);
                table.era = era;
            } else {
                last_text = "[" + std::to_string(turn) + "]";
                const auto row = table.read();
                const auto plan = base::value_of(plan_publish(
                    {std::to_string(turn), highest_version(row, version_of(0)), last_text}, row,
                    version_of(0), ""));
                RC_ASSERT(texts.emplace(plan.record.version.value(), last_text).second);
                table.write(plan.expected_row_version, encode(plan.record));
                copies.push_back(table);
            }
            const auto row = table.read();
            if (row.record &&
                compare(*row.record, host.version, host.digest) == store_state::newer) {
                install(host,
                        {row.record->version,
                         {},
                         row.record->digest,
                         texts.at(row.record->version.value()),
                         {}},
                        replica_limits{});
            }
            RC_ASSERT(host.text == last_text);
        }
    }));
}

// Guards against agents that cannot read what snipeshorectl publishes.
TEST_CASE("a row without the ids of earlier publications is decoded")
{
    const auto record = decode(R"({"version":3,"digest":"d","publication_id":"p"})");
    REQUIRE(base::is_ok(record));
    CHECK(base::value_of(record).version == version_of(3));
    CHECK(base::value_of(record).digest == "d");
    CHECK(base::value_of(record).id == "p");
    CHECK(base::value_of(record).previous_ids.empty());
}

// Guards against a malformed row that terminates the process or is accepted as a version.
TEST_CASE("a malformed row is an error")
{
    for (const auto* value :
         {"", "{}", "[]", R"({"version":-1,"digest":"","publication_id":"","previous_ids":[]})",
          R"({"version":1,"digest":2,"publication_id":"","previous_ids":[]})"}) {
        CHECK_FALSE(base::is_ok(decode(value)));
    }
}
