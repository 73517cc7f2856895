#include "apps/host/host_context.h"

#include "apps/host/forward_task.h"
#include "fleet/members.h"
#include "retries/retry_budget.h"
#include "telemetry/metrics.h"

#include <prometheus/counter.h>

#include <chrono>

namespace snipeshore::apps {

namespace {

/// Fraction of the allowed retry ratio that is used: requests and retries are counted in windows
/// that are offset from each other.
constexpr double usable_ratio_fraction = 0.85;

/// Fractions of the fixed retry allowance that can accumulate and that is earned per window; their
/// sum must stay below 1.
constexpr double saved_fraction = 0.5;
constexpr double earned_fraction = 0.3;

retries::budget_settings budget_for(const host_context& context)
{
    const host_settings& settings = context.settings;
    const auto hosts = static_cast<double>(fleet::possible_host_count(context.members));
    const double extra = settings.retry_extra / hosts;
    const double window_s = std::chrono::duration<double>(settings.retry_window).count();
    retries::budget_settings budget;
    budget.tokens_per_request = settings.retry_ratio * usable_ratio_fraction;
    budget.floor_tokens_per_second = extra * earned_fraction / window_s;
    budget.max_tokens = extra * saved_fraction;
    budget.max_floor_tokens = extra * saved_fraction;
    return budget;
}

} // namespace

target_pool& pool_of(host_context& context, const base::service_id& service)
{
    const auto [entry, is_new] = context.pools.try_emplace(service);
    target_pool& pool = entry->second;
    if (is_new) {
        pool.service = service;
        pool.budget = retries::make_budget(budget_for(context), base::boot_clock::now());
    }
    return pool;
}

base::region_id region_of(const host_context& context, const base::failure_domain_id& domain)
{
    const auto found = context.settings.regions.find(domain);
    return found == context.settings.regions.end() ? base::region_id() : found->second;
}

void count_request(host_context& context, const std::string& route, std::string_view outcome)
{
    context.metrics
        .counter("snipeshore_requests_total", "Requests by route and outcome.",
                 {{"route", route}, {"outcome", std::string(outcome)}})
        .Increment();
}

void update_budgets(host_context& context)
{
    const retries::budget_settings settings = budget_for(context);
    for (auto& [service, pool] : context.pools) {
        pool.budget.settings = settings;
    }
}

pool_view make_view(const host_context& context, base::time_point now)
{
    return {now, [&context, now](const base::target_id& target) {
                return fleet::is_owner(context.members, target.value(), now);
            }};
}

} // namespace snipeshore::apps
