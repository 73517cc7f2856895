#include "steering/decide.h"

#include "steering/internal/budgets.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace snipeshore::steering {

namespace {

using internal::budgets;
using internal::domain_view;
using internal::link_use;
using internal::shared_limit;

// Levels to which a shift may fill a receiver. Refused and leaving traffic may use all of it.
// Traffic leaves a failure domain early, at `crowded_level`, so that a rise of demand is not
// refused, and only goes where it does not make another one crowded. It returns home at a lower
// level, so that demand that varies a little does not send it back and forth.
constexpr double full_level = 1.0;
constexpr double crowded_level = 0.95;
constexpr double relief_level = 0.9;
constexpr double return_level = 0.85;

constexpr int max_rounds = 32;      ///< Receivers that a row tries in one decision.
constexpr int max_trim_rounds = 16; ///< Attempts to bring the moved blocks under the cap.

constexpr std::uint16_t any_domain = std::numeric_limits<std::uint16_t>::max();

/// Traffic of a row that should go elsewhere.
struct want {
    std::uint32_t row = 0;
    std::uint16_t from = 0;
    bool is_refused = false; ///< Refused at `from`, else admitted there.
    bool leave_region = false;
    std::uint16_t only_to = any_domain;
    std::uint32_t units = 0; ///< Of `full_weight`.
    bool done = false;
};

struct move {
    std::uint32_t row = 0;
    std::uint16_t from = 0;
    std::uint16_t to = 0;
    bool is_refused = false;
    std::uint32_t units = 0;
};

/// A want with the receiver it tries in this round.
struct attempt {
    want* wanted = nullptr;
    std::uint16_t to = 0;
    double rate = 0;
    bool enters_region = false;
    link_use links;
};

/// Part of an attempt that fits, and the limit that it meets.
struct fit {
    double scale = 1;
    wait_reason limit = wait_reason::none;
};

/// Sums of what the attempts of a round would use.
struct totals {
    double shift = 0;
    std::vector<double> domains;
    std::vector<double> warming;
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
        if (m_is_start) {
            hold_back_warming();
        }
        const weight_table before = m_result.state.weights;
        shed();
        internal::count_use(m_plan, m_inputs, m_result.state, m_budgets);
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
        m_is_start = state().weights.weights.size() != m_rows * m_domains ||
                     state().weights.refused.size() != m_rows * m_domains;
        if (m_is_start) {
            state() = {};
            state().weights = internal::baseline_weights(m_plan);
        }
        state().regions.resize(m_plan.regions.size());
        state().links.resize(m_plan.links.size());
        state().waits.assign(m_rows, wait_reason::none);
        state().placements.assign(m_rows, placement_reason::at_home);
        take_demand();
        forget(state().regions, m_inputs.region_load);
        forget(state().links, m_inputs.link_bits);
    }

    void take_demand()
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

    void forget(std::vector<std::vector<pending_load_change>>& changes,
                const std::vector<measurement>& measurements) const
    {
        for (std::size_t index = 0; index < changes.size() && index < measurements.size();
             ++index) {
            if (std::isfinite(measurements[index].value) && measurements[index].taken <= m_now) {
                internal::forget_seen(changes[index], measurements[index].taken,
                                      m_plan.settings.lookup_cache);
            }
        }
    }

    /// At the start a failure domain that recovered less than its warm-up time ago gets nothing at
    /// once; its traffic is admitted at the pace of the cap and the warm-up.
    void hold_back_warming()
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

    /// Keeps `kept` of the weight and refuses the rest.
    void refuse(std::size_t row, std::size_t domain, std::uint32_t kept)
    {
        const std::uint32_t weight = state().weights.weights[cell(row, domain)];
        if (kept >= weight) {
            return;
        }
        state().weights.weights[cell(row, domain)] = kept;
        state().weights.refused[cell(row, domain)] += weight - kept;
        const double rate = rate_of(row, weight - kept);
        if (m_is_start) {
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

    /// Refuses what is over a limit. It is no shift and needs no budget; every row at the same
    /// failure domain or link is reduced by the same fraction.
    void shed()
    {
        for (std::size_t row = 0; row < m_rows; ++row) {
            for (std::size_t domain = 0; domain < m_domains; ++domain) {
                const link_use use = internal::links_between(m_plan, m_inputs, row / m_services,
                                                             row % m_services, domain);
                if (m_budgets.views[domain].must_leave || !use.possible ||
                    !m_plan.services[row % m_services].served_in[domain]) {
                    refuse(row, domain, 0);
                }
            }
        }
        internal::count_use(m_plan, m_inputs, state(), m_budgets);
        std::vector<double> domain_scale;
        for (std::size_t domain = 0; domain < m_domains; ++domain) {
            domain_scale.push_back(
                scale_to(m_budgets.domain_part[domain], m_budgets.domain_used[domain]));
        }
        std::vector<double> link_scale;
        for (const shared_limit& link : m_budgets.links) {
            link_scale.push_back(scale_to(link.part, link.used));
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
                for (const std::int32_t link : {use.ahead, use.back}) {
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
        m_cap = m_budgets.shift;
        const bool too_early =
            state().last_shift && m_now - *state().last_shift < m_plan.settings.interval;
        m_blocked = !m_demand_known ? wait_reason::demand_missing
                    : too_early     ? wait_reason::interval
                                    : wait_reason::none;
        run_class(wants_refused(), full_level);
        run_class(wants_leaving(), full_level);
        run_class(wants_crowded(), relief_level);
        run_class(wants_return(), return_level);
    }

    std::vector<want> wants_refused() const
    {
        std::vector<want> wants;
        for (std::uint32_t row = 0; row < m_rows; ++row) {
            for (std::uint16_t domain = 0; domain < m_domains; ++domain) {
                const std::uint32_t units = m_result.state.weights.refused[cell(row, domain)];
                if (units > 0) {
                    wants.push_back({row, domain, true, false, any_domain, units, false});
                }
            }
        }
        return wants;
    }

    std::vector<want> wants_leaving() const
    {
        std::vector<want> wants;
        for (std::uint32_t row = 0; row < m_rows; ++row) {
            for (std::uint16_t domain = 0; domain < m_domains; ++domain) {
                const std::uint32_t units = m_result.state.weights.weights[cell(row, domain)];
                if (units > 0 && m_budgets.views[domain].draining) {
                    wants.push_back({row, domain, false, false, any_domain, units, false});
                }
            }
        }
        return wants;
    }

    /// Fractions of each failure domain's traffic that should go elsewhere: what is over the
    /// relief level of the own part once it is crowded, and the own part of what is measured over
    /// the region's usable capacity, less what left and is not yet visible.
    std::vector<want> wants_crowded() const
    {
        std::vector<want> wants;
        for (std::uint16_t domain = 0; domain < m_domains; ++domain) {
            const shared_limit& region = m_budgets.regions[m_plan.domains[domain].region];
            const double used = m_budgets.domain_used[domain];
            const double part = m_budgets.domain_part[domain];
            const double own =
                used > crowded_level * part && used > 0 ? (used - relief_level * part) / used : 0;
            const double over =
                region.known ? (region.load - region.usable) * region.fraction - region.removed : 0;
            const double shared =
                over > 0 && region.used > 0 ? std::min(1.0, over / region.used) : 0;
            const double fraction = std::max(own, shared);
            if (fraction <= 0) {
                continue;
            }
            for (std::uint32_t row = 0; row < m_rows; ++row) {
                const double units = m_result.state.weights.weights[cell(row, domain)] * fraction;
                if (units >= 1) {
                    wants.push_back({row, domain, false, shared > own, any_domain,
                                     static_cast<std::uint32_t>(units), false});
                }
            }
        }
        return wants;
    }

    std::vector<want> wants_return() const
    {
        std::vector<want> wants;
        for (std::uint32_t row = 0; row < m_rows; ++row) {
            const std::uint16_t home =
                internal::baseline_domain(m_plan, row / m_services, row % m_services);
            if (m_budgets.views[home].no_receive != wait_reason::none) {
                continue;
            }
            for (std::uint16_t domain = 0; domain < m_domains; ++domain) {
                const std::uint32_t units = m_result.state.weights.weights[cell(row, domain)];
                if (units > 0 && domain != home) {
                    wants.push_back({row, domain, false, false, home, units, false});
                }
            }
        }
        return wants;
    }

    /// Shifts what fits. In a round every want tries its first receiver with room; all wants of one
    /// receiver get the same fraction, the rest tries another receiver in the next round.
    void run_class(std::vector<want> wants, double level)
    {
        for (want& entry : wants) {
            if (m_blocked != wait_reason::none || !m_row_known[entry.row]) {
                entry.done = true;
                note_wait(entry,
                          m_blocked != wait_reason::none ? m_blocked : wait_reason::demand_missing);
            }
        }
        m_spent.assign(m_plan.regions.size() * m_domains, wait_reason::none);
        for (int round = 0; round < max_rounds; ++round) {
            std::vector<attempt> attempts;
            for (want& entry : wants) {
                if (!entry.done && entry.units > 0) {
                    try_receivers(entry, level, attempts);
                }
            }
            if (attempts.empty()) {
                return;
            }
            const totals sums = sum_up(attempts);
            std::vector<fit> fits;
            fits.reserve(attempts.size());
            for (const attempt& entry : attempts) {
                fits.push_back(fit_of(entry, sums, level));
            }
            for (std::size_t index = 0; index < attempts.size(); ++index) {
                apply(attempts[index], fits[index]);
            }
        }
    }

    /// Limit that the traffic from a site's region to a receiver met in this class, or `none`.
    wait_reason& spent(std::size_t row, std::size_t domain)
    {
        const std::size_t region = m_plan.domains[m_plan.sites[row / m_services].home].region;
        return m_spent[region * m_domains + domain];
    }

    void note_wait(const want& entry, wait_reason reason)
    {
        if (state().waits[entry.row] == wait_reason::none) {
            state().waits[entry.row] = reason;
        }
    }

    void try_receivers(want& entry, double level, std::vector<attempt>& attempts)
    {
        const double unit = rate_of(entry.row, 1);
        if (unit > 0 && m_budgets.shift < unit) {
            entry.done = true;
            note_wait(entry, wait_reason::shift_cap);
            return;
        }
        wait_reason first = wait_reason::none;
        const auto consider = [&](std::uint16_t domain) {
            attempt next{&entry, domain, rate_of(entry.row, entry.units)};
            const wait_reason before = unit > 0 ? spent(entry.row, domain) : wait_reason::none;
            const wait_reason reason =
                before != wait_reason::none ? before : obstacle(next, unit, level);
            if (reason == wait_reason::none) {
                attempts.push_back(next);
                return true;
            }
            // A receiver that is out of service explains less than one that is merely limited.
            first =
                first == wait_reason::none || first == wait_reason::receiver_lost ? reason : first;
            return false;
        };
        if (entry.only_to != any_domain) {
            if (consider(entry.only_to)) {
                return;
            }
        } else {
            // Admitting blocks where they are moves no block to another failure domain.
            if (entry.is_refused && consider(entry.from)) {
                return;
            }
            for (const std::uint16_t domain : m_plan.sites[entry.row / m_services].preference) {
                if (domain != entry.from && consider(domain)) {
                    return;
                }
            }
        }
        entry.done = true;
        note_wait(entry, first == wait_reason::none ? wait_reason::receiver_lost : first);
    }

    /// Why the receiver cannot take even one unit, or `none`; fills in the rest of the attempt.
    wait_reason obstacle(attempt& next, double unit, double level) const
    {
        const std::size_t service = next.wanted->row % m_services;
        const std::size_t region = m_plan.domains[next.to].region;
        const std::size_t old_region = m_plan.domains[next.wanted->from].region;
        next.enters_region = next.wanted->is_refused || region != old_region;
        if (!m_plan.services[service].served_in[next.to] ||
            (next.wanted->leave_region && region == old_region)) {
            return wait_reason::receiver_lost;
        }
        if (m_budgets.views[next.to].no_receive != wait_reason::none) {
            return m_budgets.views[next.to].no_receive;
        }
        if (next.enters_region && !m_budgets.regions[region].known) {
            return wait_reason::measurement_missing;
        }
        next.links = internal::links_between(m_plan, m_inputs, next.wanted->row / m_services,
                                             service, next.to);
        if (!next.links.possible) {
            return wait_reason::link_full;
        }
        if (unit <= 0) {
            return wait_reason::none;
        }
        if (level * m_budgets.domain_part[next.to] - m_budgets.domain_used[next.to] < unit ||
            (next.enters_region && internal::room(m_budgets.regions[region], level) < unit)) {
            return wait_reason::receiver_full;
        }
        if (link_room(next.links.ahead, level) < unit * next.links.ahead_bits ||
            link_room(next.links.back, level) < unit * next.links.back_bits) {
            return wait_reason::link_full;
        }
        if (m_budgets.warming[next.to] < unit * internal::warm_cost(m_plan, service)) {
            return wait_reason::receiver_warming;
        }
        return wait_reason::none;
    }

    double link_room(std::int32_t link, double level) const
    {
        return link < 0 ? std::numeric_limits<double>::infinity()
                        : internal::room(m_budgets.links[static_cast<std::size_t>(link)], level);
    }

    totals sum_up(const std::vector<attempt>& attempts) const
    {
        totals sums;
        sums.domains.assign(m_domains, 0.0);
        sums.warming.assign(m_domains, 0.0);
        sums.regions.assign(m_plan.regions.size(), 0.0);
        sums.links.assign(m_plan.links.size(), 0.0);
        for (const attempt& entry : attempts) {
            sums.shift += entry.rate;
            sums.domains[entry.to] += entry.rate;
            sums.warming[entry.to] +=
                entry.rate * internal::warm_cost(m_plan, entry.wanted->row % m_services);
            if (entry.enters_region) {
                sums.regions[m_plan.domains[entry.to].region] += entry.rate;
            }
            if (entry.links.ahead >= 0) {
                sums.links[static_cast<std::size_t>(entry.links.ahead)] +=
                    entry.rate * entry.links.ahead_bits;
            }
            if (entry.links.back >= 0) {
                sums.links[static_cast<std::size_t>(entry.links.back)] +=
                    entry.rate * entry.links.back_bits;
            }
        }
        return sums;
    }

    fit fit_of(const attempt& entry, const totals& sums, double level) const
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
        restrict_to(level * m_budgets.domain_part[entry.to] - m_budgets.domain_used[entry.to],
                    sums.domains[entry.to], wait_reason::receiver_full);
        if (entry.enters_region) {
            restrict_to(internal::room(m_budgets.regions[region], level), sums.regions[region],
                        wait_reason::receiver_full);
        }
        for (const std::int32_t link : {entry.links.ahead, entry.links.back}) {
            if (link >= 0) {
                restrict_to(link_room(link, level), sums.links[static_cast<std::size_t>(link)],
                            wait_reason::link_full);
            }
        }
        restrict_to(m_budgets.warming[entry.to], sums.warming[entry.to],
                    wait_reason::receiver_warming);
        restrict_to(m_budgets.shift, sums.shift, wait_reason::shift_cap);
        return result;
    }

    /// Takes a move out of the budgets and applies it to the weights.
    void apply(const attempt& entry, const fit& fitting)
    {
        want& wanted = *entry.wanted;
        if (fitting.limit == wait_reason::shift_cap) {
            wanted.done = true;
            note_wait(wanted, fitting.limit);
        } else if (fitting.limit != wait_reason::none) {
            spent(wanted.row, entry.to) = fitting.limit;
        }
        const auto units = static_cast<std::uint32_t>(wanted.units * fitting.scale);
        if (units == 0) {
            return;
        }
        const double rate = rate_of(wanted.row, units);
        const std::size_t service = wanted.row % m_services;
        wanted.units -= units;
        m_moves.push_back({wanted.row, wanted.from, entry.to, wanted.is_refused, units});
        change_weights(m_moves.back(), units);
        m_budgets.shift -= rate;
        m_budgets.domain_used[entry.to] += rate;
        m_budgets.warming[entry.to] -= rate * internal::warm_cost(m_plan, service);
        if (entry.enters_region) {
            shared_limit& region = m_budgets.regions[m_plan.domains[entry.to].region];
            region.used += rate;
            region.added += rate;
        }
        use_link(entry.links.ahead, rate * entry.links.ahead_bits);
        use_link(entry.links.back, rate * entry.links.back_bits);
    }

    void use_link(std::int32_t link, double bits)
    {
        if (link >= 0) {
            m_budgets.links[static_cast<std::size_t>(link)].used += bits;
            m_budgets.links[static_cast<std::size_t>(link)].added += bits;
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

    /// The hashing of blocks may move more of them than the weights say when a row uses more than
    /// two failure domains. Shortens all moves until the blocks that move are within the cap.
    void commit_moves(const weight_table& before)
    {
        if (m_moves.empty()) {
            note_sheds();
            return;
        }
        const weight_table start = reverted();
        double moved = moved_since(before);
        for (int round = 0; moved > m_cap; ++round) {
            const double factor = round < max_trim_rounds ? 0.99 * m_cap / moved : 0.0;
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
        note_moves();
    }

    weight_table reverted() const
    {
        weight_table table = m_result.state.weights;
        for (const move& entry : m_moves) {
            auto& source = entry.is_refused ? table.refused : table.weights;
            source[cell(entry.row, entry.from)] += entry.units;
            table.weights[cell(entry.row, entry.to)] -= entry.units;
        }
        return table;
    }

    void note_sheds()
    {
        for (std::size_t region = 0; region < m_removed_from_regions.size(); ++region) {
            if (m_removed_from_regions[region] > 0) {
                internal::note_change(state().regions[region],
                                      {m_now, 0, m_removed_from_regions[region]});
            }
        }
    }

    void note_moves()
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
            if (use.ahead >= 0) {
                links[static_cast<std::size_t>(use.ahead)].added += rate * use.ahead_bits;
            }
            if (use.back >= 0) {
                links[static_cast<std::size_t>(use.back)].added += rate * use.back_bits;
            }
            if (rate > 0) {
                state().last_shift = m_now;
            }
            if (entry.units > 0) {
                add_record(record_kind::shifted, entry.row,
                           entry.is_refused ? refused_domain : entry.from, entry.to, rate);
            }
        }
        note_sheds();
        for (std::size_t region = 0; region < regions.size(); ++region) {
            if (regions[region].added > 0) {
                internal::note_change(state().regions[region], regions[region]);
            }
        }
        for (std::size_t link = 0; link < links.size(); ++link) {
            if (links[link].added > 0) {
                internal::note_change(state().links[link], links[link]);
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
        const domain_view& view = m_budgets.views[home];
        if (view.draining) {
            return placement_reason::home_draining;
        }
        if (view.must_leave) {
            return placement_reason::home_lost;
        }
        const shared_limit& region = m_budgets.regions[m_plan.domains[home].region];
        const bool is_full =
            m_budgets.domain_used[home] > return_level * m_budgets.domain_part[home] ||
            (region.known && region.load > return_level * region.usable);
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
    bool m_is_start = false;
    bool m_demand_known = false;
    std::vector<bool> m_row_known;
    std::vector<wait_reason> m_spent; ///< Per region of the site and receiver.
    wait_reason m_blocked = wait_reason::none;
    double m_cap = 0;
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
