#include "documents/text.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace snipeshore;
using namespace snipeshore::documents;

namespace {

nlohmann::json make_json(int depth)
{
    const int kind = *rc::gen::inRange(0, depth > 0 ? 7 : 5);
    switch (kind) {
    case 0:
        return nullptr;
    case 1:
        return *rc::gen::arbitrary<bool>();
    case 2:
        return *rc::gen::arbitrary<std::int64_t>();
    case 3:
        return *rc::gen::inRange(-1000, 1000) / 8.0;
    case 4:
        return *rc::gen::container<std::string>(rc::gen::elementOf(std::string("ab/~\"\\")));
    case 5: {
        auto list = nlohmann::json::array();
        const int size = *rc::gen::inRange(0, 4);
        for (int index = 0; index < size; ++index) {
            list.push_back(make_json(depth - 1));
        }
        return list;
    }
    default: {
        auto object = nlohmann::json::object();
        const int size = *rc::gen::inRange(0, 4);
        for (int index = 0; index < size; ++index) {
            const auto key =
                *rc::gen::container<std::string>(rc::gen::elementOf(std::string("a/~")));
            object[key] = make_json(depth - 1);
        }
        return object;
    }
    }
}

} // namespace

// Guards against patches that produce a different text than the published one. Every host that is
// one version behind would reject such a patch.
TEST_CASE("patches reproduce the canonical text byte for byte")
{
    CHECK(rc::check("patch_between, then apply_patches", []() {
        const auto from = base::value_of(canonical_text(make_json(3).dump()));
        const auto to = base::value_of(canonical_text(make_json(3).dump()));
        const auto patch = patch_between(from, to);
        RC_ASSERT(base::is_ok(patch));
        const auto back = apply_patches(from, {base::value_of(patch)});
        RC_ASSERT(base::is_ok(back));
        RC_ASSERT(base::value_of(back) == to);
        RC_ASSERT(base::value_of(canonical_text(to)) == to);
    }));
}

// Guards against exceptions that escape from the module on malformed input.
TEST_CASE("malformed text is an error")
{
    for (const auto* text : {"", "{", "\xff", "\"\xc0\x80\"", "[1,]"}) {
        CHECK_FALSE(base::is_ok(canonical_text(text)));
        CHECK_FALSE(is_json(text));
        CHECK_FALSE(base::is_ok(patch_between("{}", text)));
        CHECK_FALSE(base::is_ok(apply_patches("{}", {text})));
        CHECK(changed_paths("{}", text).empty());
    }
    for (const auto* patch : {"{}", "[1]", "[{\"op\":\"remove\",\"path\":\"/a\"}]",
                              "[{\"op\":\"add\",\"path\":\"a\",\"value\":1}]"}) {
        CHECK_FALSE(base::is_ok(apply_patches("{}", {patch})));
    }
}

TEST_CASE("the digest is BLAKE2b-256")
{
    CHECK(digest_of("") == "0e5751c026e543b2e8ab2eb06099daa1d1e5df47778f7787faab45cdf12fe3a8");
}

// Guards against a stack overflow when a text or a patch of another publisher is compared or
// written.
TEST_CASE("a deeply nested text is an error")
{
    constexpr std::size_t depth = 400'000;
    const std::string deep = std::string(depth, '[') + std::string(depth, ']');
    CHECK_FALSE(base::is_ok(canonical_text(deep)));
    CHECK_FALSE(is_json(deep));
    CHECK_FALSE(base::is_ok(patch_between("{}", deep)));
    CHECK(changed_paths(deep, deep).empty());
    CHECK_FALSE(base::is_ok(apply_patches(deep, {})));
    const std::string patch = R"([{"op":"add","path":"/a","value":)" + deep + "}]";
    CHECK_FALSE(base::is_ok(apply_patches("{}", {patch})));
}
