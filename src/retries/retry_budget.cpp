#include "retries/retry_budget.h"

#include <algorithm>
#include <chrono>

namespace snipeshore::retries {

namespace {

void refill(retry_budget& budget, base::time_point now)
{
    if (now <= budget.refilled) {
        return;
    }
    const std::chrono::duration<double> passed = now - budget.refilled;
    budget.refilled = now;
    if (budget.tokens >= budget.settings.max_floor_tokens) {
        return;
    }
    budget.tokens =
        std::min(budget.tokens + passed.count() * budget.settings.floor_tokens_per_second,
                 budget.settings.max_floor_tokens);
}

} // namespace

retry_budget make_budget(const budget_settings& settings, base::time_point now)
{
    return {settings, settings.max_floor_tokens, now};
}

void record_request(retry_budget& budget, base::time_point now)
{
    refill(budget, now);
    budget.tokens =
        std::min(budget.tokens + budget.settings.tokens_per_request, budget.settings.max_tokens);
}

bool has_budget(const retry_budget& budget, base::time_point now)
{
    retry_budget copy = budget;
    return try_spend(copy, now);
}

bool try_spend(retry_budget& budget, base::time_point now)
{
    refill(budget, now);
    if (budget.tokens < 1) {
        return false;
    }
    budget.tokens -= 1;
    return true;
}

} // namespace snipeshore::retries
