#include "affinity/admission.h"

#include <doctest/doctest.h>

using namespace snipeshore;
using namespace std::chrono_literals;

TEST_CASE("requests that would finish too late are refused")
{
    affinity::admission_inputs request;
    request.service_time = 200ms;
    request.typical_time = 200ms;
    request.objective = 600ms;
    request.time_left = 4s;
    request.urgency = 0;
    SUBCASE("a least urgent request is refused if it would miss its objective")
    {
        request.wait = 300ms;
        CHECK(affinity::admit(request).admitted);
        for (auto wait = 401ms; wait < 2s; wait += 50ms) {
            request.wait = wait;
            CHECK_FALSE(affinity::admit(request).admitted);
        }
    }
    SUBCASE("a refusal states exactly when the request would be admitted")
    {
        request.wait = 600ms;
        const auto result = affinity::admit(request);
        REQUIRE_FALSE(result.admitted);
        request.wait -= result.retry_after;
        CHECK(affinity::admit(request).admitted);
        request.wait += 1ms;
        CHECK_FALSE(affinity::admit(request).admitted);
    }
    SUBCASE("a more urgent request may wait longer and is never refused before a less urgent one")
    {
        for (auto wait = 0ms; wait < 2s; wait += 50ms) {
            request.wait = wait;
            request.urgency = 0;
            const bool less_urgent = affinity::admit(request).admitted;
            request.urgency = 1;
            CHECK(affinity::admit(request).admitted >= less_urgent);
        }
    }
    SUBCASE("a slow service is still used when it has a free slot")
    {
        request.service_time = 900ms;
        request.wait = 0ms;
        CHECK(affinity::admit(request).admitted);
    }
    SUBCASE("a request that is late anyway does not keep others waiting")
    {
        request.service_time = 900ms;
        for (auto wait = 1ms; wait < 1s; wait += 50ms) {
            request.wait = wait;
            CHECK_FALSE(affinity::admit(request).admitted);
        }
    }
    SUBCASE("a request that cannot finish before its deadline is refused")
    {
        request.time_left = 300ms;
        request.wait = 150ms;
        CHECK_FALSE(affinity::admit(request).admitted);
    }
}
