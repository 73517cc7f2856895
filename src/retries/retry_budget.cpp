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
    if (budget.saved >= budget.settings.max_saved_by_floor) {
        return;
    }
    budget.saved = std::min(budget.saved + passed.count() * budget.settings.floor_per_second,
                            budget.settings.max_saved_by_floor);
}

} // namespace

retry_budget make_budget(const budget_settings& settings, base::time_point now)
{
    return {settings, settings.max_saved_by_floor, now};
}

void record_request(retry_budget& budget, base::time_point now)
{
    refill(budget, now);
    budget.saved = std::min(budget.saved + budget.settings.per_request, budget.settings.max_saved);
}

bool has_budget(const retry_budget& budget, base::time_point now)
{
    retry_budget copy = budget;
    return try_spend(copy, now);
}

bool try_spend(retry_budget& budget, base::time_point now)
{
    refill(budget, now);
    if (budget.saved < 1) {
        return false;
    }
    budget.saved -= 1;
    return true;
}

} // namespace snipeshore::retries
