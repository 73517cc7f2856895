#include "reachability/probe_sample.h"

#include "base/hash.h"

#include <map>
#include <utility>

namespace snipeshore::reachability {

namespace {

/// Chooses targets one by one, each the one with the lowest cost that is left.
class sampler {
public:
    explicit sampler(std::span<const probe_candidate> candidates)
        : m_candidates(candidates), m_is_chosen(candidates.size(), false)
    {}

    /// Chosen targets of the same failure domain and of the same service.
    std::pair<std::size_t, std::size_t> similar(std::size_t index) const
    {
        const auto count = [](const auto& counts, const auto& id) {
            const auto found = counts.find(id);
            return found == counts.end() ? 0 : found->second;
        };
        return {count(m_in_domain, m_candidates[index].failure_domain),
                count(m_of_service, m_candidates[index].service)};
    }

    template <typename Filter, typename Cost>
    void choose(std::size_t count, Filter may_choose, Cost cost)
    {
        while (chosen.size() < count) {
            std::size_t best = m_candidates.size();
            for (std::size_t index = 0; index < m_candidates.size(); ++index) {
                if (!m_is_chosen[index] && may_choose(index) &&
                    (best == m_candidates.size() || cost(index) < cost(best))) {
                    best = index;
                }
            }
            if (best == m_candidates.size()) {
                return;
            }
            m_is_chosen[best] = true;
            ++m_in_domain[m_candidates[best].failure_domain];
            ++m_of_service[m_candidates[best].service];
            chosen.push_back(best);
        }
    }

    std::vector<std::size_t> chosen;

private:
    std::span<const probe_candidate> m_candidates;
    std::vector<bool> m_is_chosen;
    std::map<base::failure_domain_id, std::size_t> m_in_domain;
    std::map<base::service_id, std::size_t> m_of_service;
};

} // namespace

std::vector<std::size_t> choose_probes(std::span<const probe_candidate> candidates,
                                       std::size_t count, std::uint64_t random)
{
    sampler sample(candidates);
    sample.choose(
        count / 2,
        [&](std::size_t index) { return candidates[index].last_response > base::time_point{}; },
        [&](std::size_t index) {
            return std::pair(sample.similar(index).first,
                             base::time_point::max() - candidates[index].last_response);
        });
    std::vector<std::uint64_t> order;
    order.reserve(candidates.size());
    for (const probe_candidate& one : candidates) {
        order.push_back(base::stable_hash(one.target.value(), random));
    }
    sample.choose(
        count, [](std::size_t) { return true; },
        [&](std::size_t index) { return std::pair(sample.similar(index), order[index]); });
    return sample.chosen;
}

} // namespace snipeshore::reachability
