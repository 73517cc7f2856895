#include "steering/decide.h"

#include "steering/internal/budgets.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace snipeshore::steering {

namespace {

using internal::budgets;
using internal::domain_status;
using internal::link_use;
using internal::shared_limit;

// Utilization up to which a shift may fill a receiver. Refused traffic and traffic of a draining
// failure domain may fill it completely. Traffic is shifted away from a failure domain early, above
// `high_utilization`, so that rising demand is not refused, and fills receivers only up to
// `relieved_utilization`, so that they do not have to shift traffic away in turn. Traffic returns
// home only up to `return_utilization`, so that small variations of demand do not move it back and
// forth.
constexpr double full_utilization = 1.0;
constexpr double high_utilization = 0.95;
constexpr double relieved_utilization = 0.9;
constexpr double return_utilization = 0.85;

constexpr int max_rounds = 32;      ///< Maximum number of receivers tried per candidate.
constexpr int max_trim_rounds = 16; ///< Attempts to reduce the moves to the shift cap.

constexpr std::uint16_t any_domain = std::numeric_limits<std::uint16_t>::max();

/// Traffic of a row that should be shifted to another failure domain, or admitted if refused.
struct shift_candidate {
    std::uint32_t row = 0;
    std::uint16_t from = 0;
    bool is_refused = false;   ///< Whether it is refused at `from`, rather than admitted there.
    bool leave_region = false; ///< Whether the receiver must be in another region.
    std::uint16_t required_receiver = any_domain; ///< The only receiver allowed, or `any_domain`.
    std::uint32_t units = 0; ///< Weight still to be shifted; `full_weight` is the whole row.
    bool done = false;       ///< Whether this decision tries no further receiver.
};

/// Weight of a row that this decision moves between failure domains.
struct move {
    std::uint32_t row = 0;
    std::uint16_t from = 0;
    std::uint16_t to = 0;
    bool is_refused = false;
    std::uint32_t units = 0;
};

/// A candidate and the receiver that it tries in this round.
struct attempt {
    shift_candidate* candidate = nullptr;
    std::uint16_t to = 0;
    double rate = 0;
    bool enters_region = false;
    link_use links;
};

/// Fraction of an attempt that fits, and the limit that reduces it.
struct fit {
    double scale = 1;
    wait_reason limit = wait_reason::none;
};

/// Sums of the budgets that the attempts of a round would use.
struct totals {
    double shift = 0;
    std::vector<double> domains;
    std::vector<double> warm_up_use;
    std::vector<double> regions;
    std::vector<double> links;
};

class decider {
public:
    decider(const plan& plan, const inputs& inputs, const steering_state& previous,
            base::time_point now)
        : m_plan(plan), m_inputs(inputs), m_now(now), m_services(plan.services.size()),
          m_domains(plan.domains.size()), m_rows(plan.sites.size() * plan.services.size())
    {
        m_result.state = previous;
    }

    decision run()
    {
        prepare_state();
        m_budgets = internal::make_budgets(m_plan, m_inputs, m_result.state, m_now);
        if (m_is_first_decision) {
            refuse_warming_domains();
        }
        const weight_table before = m_result.state.weights;
        shed();
        internal::compute_usage(m_plan, m_inputs, m_result.state, m_budgets);
        shift();
        commit_moves(before);
        explain();
        return std::move(m_result);
    }

private:
    steering_state& state()
    {
        return m_result.state;
    }

    std::size_t cell(std::size_t row, std::size_t domain) const
    {
        return row * m_domains + domain;
    }

    double rate_of(std::size_t row, std::uint32_t units) const
    {
        return m_result.state.demand[row] * units / full_weight;
    }

    void prepare_state()
    {
        m_is_first_decision = state().weights.weights.size() != m_rows * m_domains ||
                              state().weights.refused.size() != m_rows * m_domains;
        if (m_is_first_decision) {
            state() = {};
            state().weights = internal::baseline_weights(m_plan);
        }
        state().regions.resize(m_plan.regions.size());
        state().links.resize(m_plan.links.size());
        state().waits.assign(m_rows, wait_reason::none);
        state().placements.assign(m_rows, placement_reason::at_home);
        update_demand();
        drop_measured_changes(state().regions, m_inputs.region_load);
        drop_measured_changes(state().links, m_inputs.link_bits);
    }

    void update_demand()
    {
        const base::duration age = m_now - m_inputs.demand_taken;
        m_demand_known = m_inputs.demand.size() == m_rows && age.count() >= 0 &&
                         age <= m_plan.settings.stale_after;
        state().demand.resize(m_rows, 0.0);
        m_row_known.assign(m_rows, false);
        for (std::size_t row = 0; row < m_rows && m_demand_known; ++row) {
            const double demand = m_inputs.demand[row];
            if (std::isfinite(demand) && demand >= 0) {
                state().demand[row] = demand;
                m_row_known[row] = true;
            }
        }
    }

    void drop_measured_changes(std::vector<std::vector<pending_load_change>>& changes,
                               const std::vector<measurement>& measurements) const
    {
        for (std::size_t index = 0; index < changes.size() && index < measurements.size();
             ++index) {
            if (std::isfinite(measurements[index].value) && measurements[index].taken <= m_now) {
                internal::remove_measured_changes(changes[index], measurements[index].taken,
                                                  m_plan.settings.lookup_cache);
            }
        }
    }

    /// Used only for a first decision: refuses the traffic of failure domains that recovered less
    /// than the warm-up time ago. It is then admitted as the cap and the warm-up allow.
    void refuse_warming_domains()
    {
        for (std::size_t row = 0; row < m_rows; ++row) {
            for (std::size_t domain = 0; domain < m_domains; ++domain) {
                if (domain >= m_inputs.domain_health.size()) {
                    continue;
                }
                const auto& since = m_inputs.domain_health[domain].healthy_since;
                if (since && m_now - *since < m_plan.services[row % m_services].warm_up) {
                    refuse(row, domain, 0);
                }
            }
        }
    }

    /// Reduces the admitted weight to `kept` and refuses the rest.
    void refuse(std::size_t row, std::size_t domain, std::uint32_t kept)
    {
        const std::uint32_t weight = state().weights.weights[cell(row, domain)];
        if (kept >= weight) {
            return;
        }
        state().weights.weights[cell(row, domain)] = kept;
        state().weights.refused[cell(row, domain)] += weight - kept;
        const double rate = rate_of(row, weight - kept);
        if (m_is_first_decision) {
            return;
        }
        m_removed_from_regions.resize(m_plan.regions.size(), 0.0);
        m_removed_from_regions[m_plan.domains[domain].region] += rate;
        add_record(record_kind::shed, row, domain, refused_domain, rate);
    }

    void add_record(record_kind kind, std::size_t row, std::size_t from, std::size_t to,
                    double rate)
    {
        if (m_result.records.size() >= max_decision_records) {
            ++m_result.records_dropped;
            return;
        }
        decision_record record;
        record.kind = kind;
        record.placement = placement_of(row);
        record.wait = state().waits[row];
        record.site = static_cast<std::uint16_t>(row / m_services);
        record.service = static_cast<std::uint16_t>(row % m_services);
        record.from = static_cast<std::uint16_t>(from);
        record.to = static_cast<std::uint16_t>(to);
        record.rate = static_cast<float>(rate);
        m_result.records.push_back(record);
    }

    /// Refuses traffic that exceeds a limit. This does not count as a shift and uses no budget. All
    /// rows at the same failure domain or link are reduced by the same fraction.
    void shed()
    {
        for (std::size_t row = 0; row < m_rows; ++row) {
            for (std::size_t domain = 0; domain < m_domains; ++domain) {
                const link_use use = internal::links_between(m_plan, m_inputs, row / m_services,
                                                             row % m_services, domain);
                if (m_budgets.domain_statuses[domain].must_evacuate || !use.possible ||
                    !m_plan.services[row % m_services].served_in[domain]) {
                    refuse(row, domain, 0);
                }
            }
        }
        internal::compute_usage(m_plan, m_inputs, state(), m_budgets);
        std::vector<double> domain_scale;
        for (std::size_t domain = 0; domain < m_domains; ++domain) {
            domain_scale.push_back(
                scale_to(m_budgets.domain_limit[domain], m_budgets.domain_used[domain]));
        }
        std::vector<double> link_scale;
        for (const shared_limit& link : m_budgets.links) {
            link_scale.push_back(scale_to(link.own_limit, link.used));
        }
        for (std::size_t row = 0; row < m_rows; ++row) {
            for (std::size_t domain = 0; domain < m_domains; ++domain) {
                const std::uint32_t weight = state().weights.weights[cell(row, domain)];
                if (weight == 0) {
                    continue;
                }
                const link_use use = internal::links_between(m_plan, m_inputs, row / m_services,
                                                             row % m_services, domain);
                double scale = domain_scale[domain];
                for (const std::int32_t link : {use.outbound, use.inbound}) {
                    if (link >= 0) {
                        scale = std::min(scale, link_scale[static_cast<std::size_t>(link)]);
                    }
                }
                if (scale < 1) {
                    refuse(row, domain, static_cast<std::uint32_t>(weight * scale));
                }
            }
        }
    }

    static double scale_to(double limit, double used)
    {
        return used > limit ? limit / used : 1.0;
    }

    void shift()
    {
        m_shift_cap = m_budgets.shift;
        const bool too_early =
            state().last_shift && m_now - *state().last_shift < m_plan.settings.interval;
        m_block_reason = !m_demand_known ? wait_reason::demand_missing
                         : too_early     ? wait_reason::interval
                                         : wait_reason::none;
        shift_candidates(refused_candidates(), full_utilization);
        shift_candidates(draining_candidates(), full_utilization);
        shift_candidates(overloaded_candidates(), relieved_utilization);
        shift_candidates(returning_candidates(), return_utilization);
    }

    std::vector<shift_candidate> refused_candidates() const
    {
        std::vector<shift_candidate> candidates;
        for (std::uint32_t row = 0; row < m_rows; ++row) {
            for (std::uint16_t domain = 0; domain < m_domains; ++domain) {
                const std::uint32_t units = m_result.state.weights.refused[cell(row, domain)];
                if (units > 0) {
                    candidates.push_back({row, domain, true, false, any_domain, units, false});
                }
            }
        }
        return candidates;
    }

    std::vector<shift_candidate> draining_candidates() const
    {
        std::vector<shift_candidate> candidates;
        for (std::uint32_t row = 0; row < m_rows; ++row) {
            for (std::uint16_t domain = 0; domain < m_domains; ++domain) {
                const std::uint32_t units = m_result.state.weights.weights[cell(row, domain)];
                if (units > 0 && m_budgets.domain_statuses[domain].draining) {
                    candidates.push_back({row, domain, false, false, any_domain, units, false});
                }
            }
        }
        return candidates;
    }

    /// Fractions of each failure domain's traffic that should be shifted away. This is the larger
    /// of two fractions: the load above `relieved_utilization` of the decider's limit, once the
    /// load exceeds `high_utilization` of it; and the decider's share of the measured load above
    /// the region's usable capacity, minus its own removals that are not yet visible.
    std::vector<shift_candidate> overloaded_candidates() const
    {
        std::vector<shift_candidate> candidates;
        for (std::uint16_t domain = 0; domain < m_domains; ++domain) {
            const shared_limit& region = m_budgets.regions[m_plan.domains[domain].region];
            const double used = m_budgets.domain_used[domain];
            const double own_limit = m_budgets.domain_limit[domain];
            const double own_fraction = used > high_utilization * own_limit && used > 0
                                            ? (used - relieved_utilization * own_limit) / used
                                            : 0;
            const double region_excess =
                region.load_known
                    ? (region.load - region.usable) * region.share - region.pending_removed
                    : 0;
            const double region_fraction = region_excess > 0 && region.used > 0
                                               ? std::min(1.0, region_excess / region.used)
                                               : 0;
            const double fraction = std::max(own_fraction, region_fraction);
            if (fraction <= 0) {
                continue;
            }
            for (std::uint32_t row = 0; row < m_rows; ++row) {
                const double units = m_result.state.weights.weights[cell(row, domain)] * fraction;
                if (units >= 1) {
                    candidates.push_back({row, domain, false, region_fraction > own_fraction,
                                          any_domain, static_cast<std::uint32_t>(units), false});
                }
            }
        }
        return candidates;
    }

    std::vector<shift_candidate> returning_candidates() const
    {
        std::vector<shift_candidate> candidates;
        for (std::uint32_t row = 0; row < m_rows; ++row) {
            const std::uint16_t home =
                internal::baseline_domain(m_plan, row / m_services, row % m_services);
            if (m_budgets.domain_statuses[home].receive_obstacle != wait_reason::none) {
                continue;
            }
            for (std::uint16_t domain = 0; domain < m_domains; ++domain) {
                const std::uint32_t units = m_result.state.weights.weights[cell(row, domain)];
                if (units > 0 && domain != home) {
                    candidates.push_back({row, domain, false, false, home, units, false});
                }
            }
        }
        return candidates;
    }

    /// Shifts the traffic that fits. In each round every candidate tries its first receiver with
    /// headroom. All candidates of one receiver are reduced by the same fraction, and what is left
    /// of them tries another receiver in the next round.
    void shift_candidates(std::vector<shift_candidate> candidates, double max_utilization)
    {
        for (shift_candidate& candidate : candidates) {
            if (m_block_reason != wait_reason::none || !m_row_known[candidate.row]) {
                candidate.done = true;
                set_wait_reason(candidate, m_block_reason != wait_reason::none
                                               ? m_block_reason
                                               : wait_reason::demand_missing);
            }
        }
        m_limits_met.assign(m_plan.regions.size() * m_domains, wait_reason::none);
        for (int round = 0; round < max_rounds; ++round) {
            std::vector<attempt> attempts;
            for (shift_candidate& candidate : candidates) {
                if (!candidate.done && candidate.units > 0) {
                    try_receivers(candidate, max_utilization, attempts);
                }
            }
            if (attempts.empty()) {
                return;
            }
            const totals sums = sum_up(attempts);
            std::vector<fit> fits;
            fits.reserve(attempts.size());
            for (const attempt& entry : attempts) {
                fits.push_back(fit_of(entry, sums, max_utilization));
            }
            for (std::size_t index = 0; index < attempts.size(); ++index) {
                apply(attempts[index], fits[index]);
            }
        }
    }

    /// Limit already reached in this call of `shift_candidates` by traffic from the region of the
    /// row's site to the receiver `domain`, or `none`.
    wait_reason& limit_met(std::size_t row, std::size_t domain)
    {
        const std::size_t region = m_plan.domains[m_plan.sites[row / m_services].home].region;
        return m_limits_met[region * m_domains + domain];
    }

    void set_wait_reason(const shift_candidate& candidate, wait_reason reason)
    {
        if (state().waits[candidate.row] == wait_reason::none) {
            state().waits[candidate.row] = reason;
        }
    }

    void try_receivers(shift_candidate& candidate, double max_utilization,
                       std::vector<attempt>& attempts)
    {
        const double unit = rate_of(candidate.row, 1);
        if (unit > 0 && m_budgets.shift < unit) {
            candidate.done = true;
            set_wait_reason(candidate, wait_reason::shift_cap);
            return;
        }
        wait_reason first_obstacle = wait_reason::none;
        const auto consider = [&](std::uint16_t domain) {
            attempt next{&candidate, domain, rate_of(candidate.row, candidate.units)};
            const wait_reason met_earlier =
                unit > 0 ? limit_met(candidate.row, domain) : wait_reason::none;
            const wait_reason reason = met_earlier != wait_reason::none
                                           ? met_earlier
                                           : obstacle(next, unit, max_utilization);
            if (reason == wait_reason::none) {
                attempts.push_back(next);
                return true;
            }
            // A limit of an available receiver explains the wait better than an unavailable one.
            first_obstacle =
                first_obstacle == wait_reason::none || first_obstacle == wait_reason::receiver_lost
                    ? reason
                    : first_obstacle;
            return false;
        };
        if (candidate.required_receiver != any_domain) {
            if (consider(candidate.required_receiver)) {
                return;
            }
        } else {
            // Admitting refused blocks in place moves no block to another failure domain.
            if (candidate.is_refused && consider(candidate.from)) {
                return;
            }
            for (const std::uint16_t domain : m_plan.sites[candidate.row / m_services].preference) {
                if (domain != candidate.from && consider(domain)) {
                    return;
                }
            }
        }
        candidate.done = true;
        set_wait_reason(candidate, first_obstacle == wait_reason::none ? wait_reason::receiver_lost
                                                                       : first_obstacle);
    }

    /// Why the receiver cannot take even one unit of weight, or `none`. Sets `enters_region` and
    /// `links` of the attempt.
    wait_reason obstacle(attempt& next, double unit, double max_utilization) const
    {
        const std::size_t service = next.candidate->row % m_services;
        const std::size_t region = m_plan.domains[next.to].region;
        const std::size_t old_region = m_plan.domains[next.candidate->from].region;
        next.enters_region = next.candidate->is_refused || region != old_region;
        if (!m_plan.services[service].served_in[next.to] ||
            (next.candidate->leave_region && region == old_region)) {
            return wait_reason::receiver_lost;
        }
        if (m_budgets.domain_statuses[next.to].receive_obstacle != wait_reason::none) {
            return m_budgets.domain_statuses[next.to].receive_obstacle;
        }
        if (next.enters_region && !m_budgets.regions[region].load_known) {
            return wait_reason::measurement_missing;
        }
        next.links = internal::links_between(m_plan, m_inputs, next.candidate->row / m_services,
                                             service, next.to);
        if (!next.links.possible) {
            return wait_reason::link_full;
        }
        if (unit <= 0) {
            return wait_reason::none;
        }
        if (max_utilization * m_budgets.domain_limit[next.to] - m_budgets.domain_used[next.to] <
                unit ||
            (next.enters_region &&
             internal::headroom(m_budgets.regions[region], max_utilization) < unit)) {
            return wait_reason::receiver_full;
        }
        if (link_headroom(next.links.outbound, max_utilization) < unit * next.links.outbound_bits ||
            link_headroom(next.links.inbound, max_utilization) < unit * next.links.inbound_bits) {
            return wait_reason::link_full;
        }
        if (m_budgets.warm_up_budget[next.to] < unit * internal::warm_up_cost(m_plan, service)) {
            return wait_reason::receiver_warming;
        }
        return wait_reason::none;
    }

    double link_headroom(std::int32_t link, double max_utilization) const
    {
        return link < 0 ? std::numeric_limits<double>::infinity()
                        : internal::headroom(m_budgets.links[static_cast<std::size_t>(link)],
                                             max_utilization);
    }

    totals sum_up(const std::vector<attempt>& attempts) const
    {
        totals sums;
        sums.domains.assign(m_domains, 0.0);
        sums.warm_up_use.assign(m_domains, 0.0);
        sums.regions.assign(m_plan.regions.size(), 0.0);
        sums.links.assign(m_plan.links.size(), 0.0);
        for (const attempt& entry : attempts) {
            sums.shift += entry.rate;
            sums.domains[entry.to] += entry.rate;
            sums.warm_up_use[entry.to] +=
                entry.rate * internal::warm_up_cost(m_plan, entry.candidate->row % m_services);
            if (entry.enters_region) {
                sums.regions[m_plan.domains[entry.to].region] += entry.rate;
            }
            if (entry.links.outbound >= 0) {
                sums.links[static_cast<std::size_t>(entry.links.outbound)] +=
                    entry.rate * entry.links.outbound_bits;
            }
            if (entry.links.inbound >= 0) {
                sums.links[static_cast<std::size_t>(entry.links.inbound)] +=
                    entry.rate * entry.links.inbound_bits;
            }
        }
        return sums;
    }

    fit fit_of(const attempt& entry, const totals& sums, double max_utilization) const
    {
        fit result;
        if (entry.rate <= 0) {
            return result;
        }
        const auto restrict_to = [&](double limit, double sum, wait_reason reason) {
            const double scale = std::max(0.0, scale_to(limit, sum));
            if (scale < result.scale) {
                result = {scale, reason};
            }
        };
        const std::size_t region = m_plan.domains[entry.to].region;
        restrict_to(max_utilization * m_budgets.domain_limit[entry.to] -
                        m_budgets.domain_used[entry.to],
                    sums.domains[entry.to], wait_reason::receiver_full);
        if (entry.enters_region) {
            restrict_to(internal::headroom(m_budgets.regions[region], max_utilization),
                        sums.regions[region], wait_reason::receiver_full);
        }
        for (const std::int32_t link : {entry.links.outbound, entry.links.inbound}) {
            if (link >= 0) {
                restrict_to(link_headroom(link, max_utilization),
                            sums.links[static_cast<std::size_t>(link)], wait_reason::link_full);
            }
        }
        restrict_to(m_budgets.warm_up_budget[entry.to], sums.warm_up_use[entry.to],
                    wait_reason::receiver_warming);
        restrict_to(m_budgets.shift, sums.shift, wait_reason::shift_cap);
        return result;
    }

    /// Deducts the part of the attempt that fits from the budgets and applies it to the weights.
    void apply(const attempt& entry, const fit& fitting)
    {
        shift_candidate& candidate = *entry.candidate;
        if (fitting.limit == wait_reason::shift_cap) {
            candidate.done = true;
            set_wait_reason(candidate, fitting.limit);
        } else if (fitting.limit != wait_reason::none) {
            limit_met(candidate.row, entry.to) = fitting.limit;
        }
        const auto units = static_cast<std::uint32_t>(candidate.units * fitting.scale);
        if (units == 0) {
            return;
        }
        const double rate = rate_of(candidate.row, units);
        const std::size_t service = candidate.row % m_services;
        candidate.units -= units;
        m_moves.push_back({candidate.row, candidate.from, entry.to, candidate.is_refused, units});
        change_weights(m_moves.back(), units);
        m_budgets.shift -= rate;
        m_budgets.domain_used[entry.to] += rate;
        m_budgets.warm_up_budget[entry.to] -= rate * internal::warm_up_cost(m_plan, service);
        if (entry.enters_region) {
            shared_limit& region = m_budgets.regions[m_plan.domains[entry.to].region];
            region.used += rate;
            region.pending_added += rate;
        }
        use_link(entry.links.outbound, rate * entry.links.outbound_bits);
        use_link(entry.links.inbound, rate * entry.links.inbound_bits);
    }

    void use_link(std::int32_t link, double bits)
    {
        if (link >= 0) {
            m_budgets.links[static_cast<std::size_t>(link)].used += bits;
            m_budgets.links[static_cast<std::size_t>(link)].pending_added += bits;
        }
    }

    void change_weights(const move& entry, std::uint32_t units)
    {
        weight_table& table = state().weights;
        auto& source = entry.is_refused ? table.refused : table.weights;
        source[cell(entry.row, entry.from)] -= units;
        table.weights[cell(entry.row, entry.to)] += units;
    }

    double moved_since(const weight_table& before) const
    {
        double moved = 0;
        std::uint32_t last = std::numeric_limits<std::uint32_t>::max();
        std::vector<std::uint32_t> rows;
        for (const move& entry : m_moves) {
            if (entry.row != last) {
                rows.push_back(entry.row);
                last = entry.row;
            }
        }
        std::sort(rows.begin(), rows.end());
        rows.erase(std::unique(rows.begin(), rows.end()), rows.end());
        for (const std::uint32_t row : rows) {
            moved +=
                m_result.state.demand[row] * moved_fraction(before, m_result.state.weights, row);
        }
        return moved;
    }

    /// If a row uses more than two failure domains, hashing may move more blocks than the change of
    /// its weights. Reduces all moves by the same factor until the moved traffic is within the cap.
    void commit_moves(const weight_table& before)
    {
        if (m_moves.empty()) {
            record_removed_load();
            return;
        }
        const weight_table start = weights_before_moves();
        double moved = moved_since(before);
        for (int round = 0; moved > m_shift_cap; ++round) {
            const double factor = round < max_trim_rounds ? 0.99 * m_shift_cap / moved : 0.0;
            state().weights = start;
            for (move& entry : m_moves) {
                entry.units = static_cast<std::uint32_t>(entry.units * factor);
                change_weights(entry, entry.units);
            }
            if (round >= max_trim_rounds) {
                m_moves.clear();
                moved = 0;
                break;
            }
            moved = moved_since(before);
        }
        m_result.shifted = moved;
        record_moves();
    }

    weight_table weights_before_moves() const
    {
        weight_table table = m_result.state.weights;
        for (const move& entry : m_moves) {
            auto& source = entry.is_refused ? table.refused : table.weights;
            source[cell(entry.row, entry.from)] += entry.units;
            table.weights[cell(entry.row, entry.to)] -= entry.units;
        }
        return table;
    }

    void record_removed_load()
    {
        for (std::size_t region = 0; region < m_removed_from_regions.size(); ++region) {
            if (m_removed_from_regions[region] > 0) {
                internal::record_change(state().regions[region],
                                        {m_now, 0, m_removed_from_regions[region]});
            }
        }
    }

    void record_moves()
    {
        std::vector<pending_load_change> regions(m_plan.regions.size(), {m_now, 0, 0});
        std::vector<pending_load_change> links(m_plan.links.size(), {m_now, 0, 0});
        m_removed_from_regions.resize(m_plan.regions.size(), 0.0);
        for (const move& entry : m_moves) {
            const double rate = rate_of(entry.row, entry.units);
            const std::size_t to = m_plan.domains[entry.to].region;
            const std::size_t from = m_plan.domains[entry.from].region;
            if (entry.is_refused || to != from) {
                regions[to].added += rate;
            }
            if (!entry.is_refused && to != from) {
                m_removed_from_regions[from] += rate;
            }
            const link_use use = internal::links_between(m_plan, m_inputs, entry.row / m_services,
                                                         entry.row % m_services, entry.to);
            if (use.outbound >= 0) {
                links[static_cast<std::size_t>(use.outbound)].added += rate * use.outbound_bits;
            }
            if (use.inbound >= 0) {
                links[static_cast<std::size_t>(use.inbound)].added += rate * use.inbound_bits;
            }
            if (rate > 0) {
                state().last_shift = m_now;
            }
            if (entry.units > 0) {
                add_record(record_kind::shifted, entry.row,
                           entry.is_refused ? refused_domain : entry.from, entry.to, rate);
            }
        }
        record_removed_load();
        for (std::size_t region = 0; region < regions.size(); ++region) {
            if (regions[region].added > 0) {
                internal::record_change(state().regions[region], regions[region]);
            }
        }
        for (std::size_t link = 0; link < links.size(); ++link) {
            if (links[link].added > 0) {
                internal::record_change(state().links[link], links[link]);
            }
        }
    }

    placement_reason placement_of(std::size_t row) const
    {
        const std::size_t home = m_plan.sites[row / m_services].home;
        if (!m_plan.services[row % m_services].served_in[home]) {
            return placement_reason::home_not_serving;
        }
        if (m_result.state.weights.weights[cell(row, home)] == full_weight) {
            return placement_reason::at_home;
        }
        const domain_status& status = m_budgets.domain_statuses[home];
        if (status.draining) {
            return placement_reason::home_draining;
        }
        if (status.must_evacuate) {
            return placement_reason::home_lost;
        }
        const shared_limit& region = m_budgets.regions[m_plan.domains[home].region];
        const bool is_full =
            m_budgets.domain_used[home] > return_utilization * m_budgets.domain_limit[home] ||
            (region.load_known && region.load > return_utilization * region.usable);
        return is_full ? placement_reason::home_full : placement_reason::returning_home;
    }

    void explain()
    {
        for (std::size_t row = 0; row < m_rows; ++row) {
            state().placements[row] = placement_of(row);
            if (state().waits[row] != wait_reason::none) {
                add_record(record_kind::waiting, row, m_plan.sites[row / m_services].home,
                           refused_domain, 0);
            }
        }
    }

    const plan& m_plan;
    const inputs& m_inputs;
    base::time_point m_now;
    std::size_t m_services;
    std::size_t m_domains;
    std::size_t m_rows;
    decision m_result;
    budgets m_budgets;
    bool m_is_first_decision = false;
    bool m_demand_known = false;
    std::vector<bool> m_row_known;
    std::vector<wait_reason> m_limits_met; ///< Index: home region of the site * domains + receiver.
    wait_reason m_block_reason = wait_reason::none;
    double m_shift_cap = 0;
    std::vector<move> m_moves;
    std::vector<double> m_removed_from_regions;
};

} // namespace

decision decide(const plan& plan, const inputs& inputs, const steering_state& previous,
                base::time_point now)
{
    return decider(plan, inputs, previous, now).run();
}

} // namespace snipeshore::steering
