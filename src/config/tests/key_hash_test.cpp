#include "config/key_hash.h"

#include <doctest/doctest.h>

#include <set>

using namespace snipeshore;
using namespace snipeshore::config;

// Guards against hosts that compute different hashes of a key, and against hashes that do not
// depend on the fleet secret: published hashes could then be searched for weak keys.
TEST_CASE("hashes of keys")
{
    const std::string secret = "a secret of enough length";

    SUBCASE("stay the same in every release")
    {
        CHECK(hash_key(secret, "key") ==
              "59b0911809ef689cd3a79051342c9dffde4bfcf5a58db00b2cb39537d4e9236d");
    }
    SUBCASE("depend on key and secret")
    {
        CHECK(hash_key(secret, "key") != hash_key(secret, "kez"));
        CHECK(hash_key(secret, "key") != hash_key(secret + "x", "key"));
        CHECK(hash_key(std::string(100, 'x'), "key") != hash_key(std::string(101, 'x'), "key"));
    }
    SUBCASE("need a secret of sufficient length, and errors do not contain it")
    {
        CHECK(base::is_ok(check_secret(secret)));
        const base::status refused = check_secret("hunter2");
        REQUIRE_FALSE(base::is_ok(refused));
        CHECK(base::error_of(refused).detail.find("hunter2") == std::string::npos);
    }
    SUBCASE("of random keys are distinct")
    {
        std::set<std::string> keys;
        for (int round = 0; round < 100; ++round) {
            const std::string key = random_key();
            CHECK(key.size() == 54);
            CHECK(keys.insert(key).second);
        }
    }
}
