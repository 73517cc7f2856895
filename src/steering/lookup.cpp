#include "steering/lookup.h"

#include "base/hash.h"
#include "base/types/error.h"

#include <cmath>
#include <limits>

namespace snipeshore::steering {

namespace {

/// Finalizer of MurmurHash3: spreads any change of the input over all bits of the result.
std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33U;
    return value;
}

/// Pseudo-random number in (0, 1), uniformly distributed and equal on every host for the same block
/// and failure domain.
double uniform(std::uint32_t salt, std::uint64_t domain_key)
{
    const std::uint64_t hash = mix(domain_key ^ mix(salt));
    return (static_cast<double>(hash >> 11U) + 0.5) * 0x1.0p-53;
}

/// Weighted rendezvous hashing: the probability of a failure domain is its weight divided by the
/// sum of the row's weights. Refused weights count too.
std::size_t choose_domain(const weight_table& table, std::size_t row, std::uint32_t salt)
{
    std::size_t best = 0;
    double best_score = std::numeric_limits<double>::infinity();
    for (std::size_t domain = 0; domain < table.domains; ++domain) {
        const std::size_t cell = row * table.domains + domain;
        const std::uint32_t weight = table.weights[cell] + table.refused[cell];
        if (weight == 0) {
            continue;
        }
        if (weight == full_weight) {
            return domain;
        }
        const double score = -std::log(uniform(salt, table.domain_keys[domain])) / weight;
        if (score < best_score) {
            best_score = score;
            best = domain;
        }
    }
    return best;
}

} // namespace

weight_table make_weight_table(const plan& plan)
{
    weight_table table;
    table.domains = plan.domains.size();
    for (const plan_domain& domain : plan.domains) {
        table.domain_keys.push_back(base::stable_hash(domain.id.value()));
    }
    const std::size_t cells = plan.sites.size() * plan.services.size() * table.domains;
    table.weights.assign(cells, 0);
    table.refused.assign(cells, 0);
    return table;
}

base::result<lookup_choice> choose_entry(const weight_table& weights, std::size_t row,
                                         std::uint32_t salt, std::uint16_t draw,
                                         const entry_hosts& hosts)
{
    const std::size_t end = (row + 1) * weights.domains;
    if (weights.domains == 0 || end > weights.weights.size() || end > weights.refused.size() ||
        weights.domain_keys.size() < weights.domains) {
        return base::error{base::error_kind::not_ready, "no steering weights for the service"};
    }
    std::uint64_t total = 0;
    for (std::size_t cell = end - weights.domains; cell < end; ++cell) {
        total += weights.weights[cell] + weights.refused[cell];
    }
    const base::error refusal{base::error_kind::region_full, "no region has headroom left"};
    if (draw >= total) {
        return refusal;
    }
    const std::size_t domain = choose_domain(weights, row, salt);
    const std::size_t cell = end - weights.domains + domain;
    const std::uint64_t total_here = weights.weights[cell] + weights.refused[cell];
    // `draw` is uniformly distributed below `total`; the fraction `weights / total_here` of this
    // range is admitted.
    if (draw * total_here >= weights.weights[cell] * total) {
        return refusal;
    }
    if (domain >= hosts.size() || hosts[domain].empty()) {
        return base::error{base::error_kind::not_ready,
                           "the failure domain has no live entry host"};
    }
    const entry_host* best = nullptr;
    std::uint64_t best_host_score = 0;
    for (const entry_host& host : hosts[domain]) {
        const std::uint64_t host_score = mix(host.key_hash ^ mix(salt));
        if (best == nullptr || host_score > best_host_score ||
            (host_score == best_host_score && host.key_hash < best->key_hash)) {
            best = &host;
            best_host_score = host_score;
        }
    }
    return lookup_choice{static_cast<std::uint16_t>(domain), best->host};
}

} // namespace snipeshore::steering
