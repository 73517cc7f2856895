#include "documents/replica.h"
#include "documents/text.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <map>
#include <vector>

using namespace snipeshore;
using namespace snipeshore::documents;

namespace {

const replica_limits default_limits;

/// Texts of all published versions; index 0 is unused.
std::vector<std::string> make_history(std::size_t versions)
{
    std::vector<std::string> texts{""};
    auto document = nlohmann::json::object();
    for (std::size_t version = 1; version <= versions; ++version) {
        document["version"] = version;
        const auto key = std::string(1, *rc::gen::inRange('a', 'f'));
        if (*rc::gen::inRange(0, 4) == 0) {
            document.erase(key);
        } else {
            document[key] = std::string(*rc::gen::inRange<std::size_t>(0, 40), 'x');
        }
        texts.push_back(base::value_of(canonical_text(document.dump())));
    }
    return texts;
}

update text_update(const std::vector<std::string>& texts, std::uint64_t version)
{
    return {
        base::document_version(version), {}, digest_of(texts.at(version)), texts.at(version), {}};
}

update patch_update(const std::vector<std::string>& texts, std::uint64_t from, std::uint64_t to)
{
    update offered{
        base::document_version(to), base::document_version(from), digest_of(texts.at(to)), {}, {}};
    for (std::uint64_t version = from + 1; version <= to; ++version) {
        offered.patches.push_back(
            base::value_of(patch_between(texts.at(version - 1), texts.at(version))));
    }
    return offered;
}

update arbitrary_delivery(const std::vector<std::string>& texts)
{
    const auto to = *rc::gen::inRange<std::uint64_t>(1, texts.size());
    auto offered = to == 1 || *rc::gen::arbitrary<bool>()
                       ? text_update(texts, to)
                       : patch_update(texts, *rc::gen::inRange<std::uint64_t>(1, to), to);
    switch (*rc::gen::inRange(0, 8)) {
    case 0: // The text or a patch does not match the digest.
        offered.digest = digest_of("damaged");
        break;
    case 1:
        offered.base_version = base::document_version(*rc::gen::inRange<std::uint64_t>(0, to + 3));
        break;
    case 2:
        if (!offered.patches.empty()) {
            offered.patches.pop_back();
        }
        break;
    default:
        break;
    }
    return offered;
}

} // namespace

// Guards against an installed version that decreases, or a text that was never published, after
// late, duplicate, stale, damaged and reordered deliveries. The reference model is the list of
// texts.
TEST_CASE("installing any sequence of deliveries")
{
    CHECK(rc::check("the version never decreases and the text is the published one", []() {
        const auto texts = make_history(*rc::gen::inRange<std::size_t>(1, 10));
        const replica_limits limits{*rc::gen::inRange<std::size_t>(0, 4),
                                    *rc::gen::inRange<std::size_t>(0, 200), 1U << 20U};
        replica current;
        const int deliveries = *rc::gen::inRange(0, 30);
        for (int delivery = 0; delivery < deliveries; ++delivery) {
            const auto before = current.version;
            const auto offered = arbitrary_delivery(texts);
            const auto outcome = install(current, offered, limits);
            RC_ASSERT(current.version >= before);
            RC_ASSERT((outcome == install_outcome::installed) == (current.version > before));
            RC_ASSERT(current.text == texts.at(current.version.value()));
            RC_ASSERT(current.history.size() <= limits.max_patches);
            RC_ASSERT(current.history_bytes <= limits.max_patch_bytes);
        }
        const auto last = texts.size() - 1;
        install(current, text_update(texts, last), limits);
        RC_ASSERT(current.version.value() == last);
        RC_ASSERT(current.text == texts.back());
    }));
}

// Guards against updates that a peer cannot install, so that it never catches up.
TEST_CASE("one update brings any other host to the sender's version")
{
    CHECK(rc::check("update_since, then install", []() {
        const auto texts = make_history(*rc::gen::inRange<std::size_t>(2, 12));
        const replica_limits limits{*rc::gen::inRange<std::size_t>(0, 6), 1U << 20U, 1U << 20U};
        replica ahead;
        install(ahead, text_update(texts, 1), limits);
        for (std::uint64_t version = 2; version < texts.size(); ++version) {
            install(ahead, patch_update(texts, version - 1, version), limits);
        }
        replica behind;
        const auto held = *rc::gen::inRange<std::uint64_t>(0, texts.size());
        if (held > 0) {
            install(behind, text_update(texts, held), limits);
        }
        const auto offered = update_since(ahead, behind.version);
        RC_ASSERT(offered.has_value() == (held < texts.size() - 1));
        if (offered) {
            RC_ASSERT(install(behind, *offered, limits) == install_outcome::installed);
        }
        RC_ASSERT(behind.text == ahead.text);
    }));
}

TEST_CASE("updates for a peer")
{
    const std::string filler(2000, 'x');
    std::vector<std::string> texts{""};
    for (int version = 1; version <= 5; ++version) {
        const nlohmann::json document{{"filler", filler}, {"version", version}};
        texts.push_back(base::value_of(canonical_text(document.dump())));
    }
    replica current;
    REQUIRE(install(current, text_update(texts, 1), default_limits) == install_outcome::installed);
    REQUIRE(install(current, patch_update(texts, 1, 4), default_limits) ==
            install_outcome::installed);

    SUBCASE("a peer that is a few versions behind gets only the missing patches")
    {
        const auto offered = update_since(current, base::document_version(2));
        REQUIRE(offered);
        CHECK(offered->patches.size() == 2);
        CHECK(offered->text.empty());
    }
    SUBCASE("a peer without the document gets the text")
    {
        const auto offered = update_since(current, base::document_version(0));
        REQUIRE(offered);
        CHECK(offered->patches.empty());
        CHECK(offered->text == texts[4]);
    }
    SUBCASE("a peer with the same or a higher version gets no update")
    {
        CHECK_FALSE(update_since(current, base::document_version(4)));
        CHECK_FALSE(update_since(current, base::document_version(9)));
    }
    SUBCASE("a different text with the same version is reported as a conflict and not installed")
    {
        auto other = text_update(texts, 4);
        other.text = "{}";
        other.digest = digest_of("{}");
        CHECK(install(current, other, default_limits) == install_outcome::conflicting);
        CHECK(current.text == texts[4]);
    }
    SUBCASE("a text over the size limit is rejected")
    {
        replica_limits narrow;
        narrow.max_text_bytes = 100;
        CHECK(install(current, text_update(texts, 5), narrow) == install_outcome::invalid);
        CHECK(install(current, patch_update(texts, 4, 5), narrow) == install_outcome::needs_text);
        CHECK(current.version.value() == 4);
    }
    SUBCASE("patches without a digest are rejected")
    {
        auto unchecked = patch_update(texts, 4, 5);
        unchecked.digest.clear();
        CHECK(install(current, unchecked, default_limits) == install_outcome::needs_text);
    }
}
