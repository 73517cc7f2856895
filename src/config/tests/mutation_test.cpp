#include "config/parse.h"
#include "config/tests/deployments.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <random>

using namespace snipeshore::config;
using nlohmann::json;

namespace {

constexpr std::uint64_t seed = 20261204;
constexpr int value_mutations = 1500;
constexpr int text_mutations = 1500;

using random_source = std::mt19937_64;

std::size_t pick(random_source& random, std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

json edge_case_value(random_source& random)
{
    static const std::vector<json> values{nullptr,
                                          true,
                                          0,
                                          -1,
                                          1,
                                          0.5,
                                          -0.0,
                                          1e300,
                                          1e-300,
                                          18446744073709551615ULL,
                                          std::numeric_limits<std::int64_t>::min(),
                                          "",
                                          "x",
                                          "/",
                                          "10.0.0.0/8",
                                          "::/0",
                                          "0.0.0.0/0",
                                          "127.0.0.1:1",
                                          "[::1]:1",
                                          std::string(3, '\0'),
                                          std::string(100000, 'a'),
                                          "\u00e9",
                                          json::array(),
                                          json::object(),
                                          json::array({1, "x", nullptr}),
                                          json{{"id", "x"}},
                                          json{{"$ref", "#"}}};
    return values.at(pick(random, values.size()));
}

/// A random node of the value, which may be the root.
json& random_node(json& value, random_source& random)
{
    json* node = &value;
    while (node->is_structured() && !node->empty() && pick(random, 8) != 0) {
        auto member = node->begin();
        std::advance(member, static_cast<std::ptrdiff_t>(pick(random, node->size())));
        node = &*member;
    }
    return *node;
}

void mutate_value(json& value, random_source& random)
{
    json& node = random_node(value, random);
    switch (pick(random, 5)) {
    case 0:
        node = edge_case_value(random);
        break;
    case 1:
        if (node.is_structured() && !node.empty()) {
            auto member = node.begin();
            std::advance(member, static_cast<std::ptrdiff_t>(pick(random, node.size())));
            node.erase(member);
        }
        break;
    case 2:
        if (node.is_array() && !node.empty()) {
            const json copy = node.at(pick(random, node.size()));
            node.push_back(copy);
        }
        break;
    case 3:
        if (node.is_object()) {
            node["unexpected~/" + std::to_string(pick(random, 10))] = edge_case_value(random);
        }
        break;
    default: {
        const json copy = random_node(value, random);
        random_node(value, random) = copy;
        break;
    }
    }
}

void mutate_text(std::string& text, random_source& random)
{
    const std::size_t position = pick(random, text.size());
    switch (pick(random, 4)) {
    case 0:
        text[position] = static_cast<char>(pick(random, 256));
        break;
    case 1:
        text.erase(position, 1 + pick(random, 40));
        break;
    case 2:
        text.insert(position, text.substr(pick(random, text.size()), pick(random, 60)));
        break;
    default:
        text.resize(position);
        break;
    }
    if (text.empty()) {
        text = " ";
    }
}

/// Whether the pointer refers to an existing value, or to a missing member of an existing value.
bool points_into(const json& value, const std::string& pointer)
{
    const json::json_pointer location(pointer);
    return value.contains(location) ||
           (!location.empty() && value.contains(location.parent_pointer()));
}

void check_outcome(const std::string& text, const parsed<document>& outcome, bool& accepted)
{
    accepted = outcome.index() == 0;
    if (accepted) {
        return;
    }
    const std::vector<problem>& problems = std::get<1>(outcome);
    REQUIRE_FALSE(problems.empty());
    const json value = json::parse(text, nullptr, false);
    for (const problem& found : problems) {
        CAPTURE(found.pointer);
        CHECK_FALSE(found.expected.empty());
        CHECK_FALSE(found.value.empty());
        if (value.is_discarded()) {
            CHECK(found.pointer.empty());
        } else {
            CHECK(points_into(value, found.pointer));
        }
    }
}

} // namespace

// Guards against a crash or a hang on a damaged document, and against problems whose pointer refers
// to nothing in the document.
TEST_CASE("mutated deployment documents are accepted or refused with pointers")
{
    for (const char* path : {"config/jasmin.json", "config/guadalupe.json"}) {
        CAPTURE(path);
        const std::string original = source_file(path);
        const json value = json::parse(original);
        random_source random(seed);
        int refused = 0;
        for (int round = 0; round < value_mutations; ++round) {
            CAPTURE(round);
            json mutated = value;
            for (std::size_t edits = 1 + pick(random, 3); edits > 0; --edits) {
                mutate_value(mutated, random);
            }
            bool accepted = false;
            const std::string text = mutated.dump();
            check_outcome(text, parse(text), accepted);
            refused += accepted ? 0 : 1;
        }
        for (int round = 0; round < text_mutations; ++round) {
            CAPTURE(round);
            std::string text = original;
            mutate_text(text, random);
            bool accepted = false;
            check_outcome(text, parse(text), accepted);
            refused += accepted ? 0 : 1;
        }
        // Most mutations break the document; a check that accepts everything fails here.
        CHECK(refused > (value_mutations + text_mutations) / 2);
    }
}
