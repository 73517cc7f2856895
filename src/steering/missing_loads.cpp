#include "steering/missing_loads.h"

#include "steering/internal/budgets.h"

namespace snipeshore::steering {

namespace {

void fill(std::vector<measurement>& measurements, const std::vector<internal::shared_limit>& limits,
          base::time_point now)
{
    measurements.resize(limits.size());
    for (std::size_t index = 0; index < limits.size(); ++index) {
        const internal::shared_limit& limit = limits[index];
        if (!limit.known) {
            measurements[index] = {limit.usable - limit.part + limit.used, now};
        }
    }
}

} // namespace

void fill_missing_loads(const plan& plan, const steering_state& state, inputs& inputs,
                        base::time_point now)
{
    steering_state current = state;
    const std::size_t rows = plan.sites.size() * plan.services.size();
    if (current.weights.weights.size() != rows * plan.domains.size()) {
        current.weights = internal::baseline_weights(plan);
    }
    current.demand.resize(rows);
    if (inputs.demand.size() == rows) {
        current.demand = inputs.demand;
    }
    const internal::budgets budgets = internal::make_budgets(plan, inputs, current, now);
    fill(inputs.region_load, budgets.regions, now);
    fill(inputs.link_bits, budgets.links, now);
}

} // namespace snipeshore::steering
