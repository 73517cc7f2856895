/// @file Plays load patterns on a model of targets and callers, with the host program's own
/// decisions: `choose_target`, `admit` and what a host learns from its responses. The naive version
/// takes the less loaded of two random targets and refuses nothing.

#include "affinity/admission.h"
#include "apps/host/target_choice.h"
#include "apps/host/target_pool.h"
#include "base/hash.h"
#include "bench/support/reporter.h"
#include "prediction/service_times.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace snipeshore;
using namespace std::chrono_literals;
using base::duration;
using base::time_point;

constexpr std::uint32_t domain_count = 6; ///< Two a region: 0 and 3, 1 and 4, 2 and 5.
constexpr std::uint32_t region_count = 3;
constexpr std::uint32_t slots = 3;
constexpr std::size_t queue_length = 9;
constexpr std::size_t kept_objects = 25; ///< Objects that a target keeps warm.
constexpr std::uint64_t objects_per_region = 24;
constexpr double warm_fraction = 0.3; ///< Time of a warm run relative to an object's first one.
constexpr duration day_length = 40s;
constexpr duration report_interval = 1s;
constexpr duration min_retry_after = 100ms;
constexpr std::array<std::uint64_t, 3> seeds{1, 2, 3};
const time_point day_start = time_point{} + 1h;

struct route_model {
    std::uint64_t id = 0;
    duration work{0}; ///< Of an object's first run.
    duration objective{0};
    duration time_limit{0};
    double rate = 0; ///< Requests per second of each failure domain.
    double urgency = 0;
};

const std::array<route_model, 2> routes{
    {{1, 480ms, 300ms, 2500ms, 9, 0}, {2, 192ms, 150ms, 1s, 4, 1}}};

struct pattern {
    std::string name;
    std::array<unsigned, domain_count> targets{2, 2, 2, 2, 2, 2}; ///< Per failure domain.
    /// Factor on the rate of a failure domain's callers at a time of the day.
    std::function<double(std::uint32_t domain, duration at)> rate = [](auto, auto) {
        return 1.0;
    };
    int drained_domain = -1;    ///< From a quarter to three quarters of the day.
    double shed_fraction = 0;   ///< Rejected by targets with free slots, for the same time.
    unsigned added_targets = 0; ///< In the middle of the day, to failure domain 0.
    double min_gain = 1;        ///< Bound of the ratio to the naive version's requests in time.
};

bool is_middle(duration at)
{
    return at > day_length / 4 && at < day_length * 3 / 4;
}

struct caller_request {
    const route_model* route = nullptr;
    std::uint32_t domain = 0;
    std::uint64_t object = 0;
    time_point first_sent;
    bool is_repeat = false;
    // Of the attempt at a target.
    std::uint32_t target = 0;
    time_point sent;
    apps::sent_request prediction;
};

struct model_target {
    apps::target_entry entry;
    std::uint32_t domain = 0;
    std::uint32_t running = 0;
    std::deque<caller_request> waiting;
    std::deque<std::uint64_t> warm; ///< Most recently run first.
};

struct totals {
    double in_time = 0;
    double late = 0;
    double refused = 0;

    double in_time_percent() const
    {
        return 100 * in_time / std::max(1.0, in_time + late + refused);
    }
};

base::failure_domain_id domain_name(std::uint32_t domain)
{
    return base::failure_domain_id("d" + std::to_string(domain));
}

class day_model {
public:
    day_model(const pattern& of, bool is_naive, std::uint64_t seed)
        : m_pattern(of), m_is_naive(is_naive), m_random(seed), m_pools(domain_count)
    {
        for (std::uint32_t domain = 0; domain < domain_count; ++domain) {
            m_regions[domain_name(domain)] =
                base::region_id("r" + std::to_string(domain % region_count));
            for (unsigned i = 0; i < of.targets[domain]; ++i) {
                add_target(domain);
            }
        }
        update_pools();
    }

    totals play()
    {
        for (std::uint32_t domain = 0; domain < domain_count; ++domain) {
            for (const route_model& route : routes) {
                schedule_arrival(domain, route);
            }
        }
        schedule(day_start + report_interval, [this] { exchange_loads(); });
        for (const duration change : {day_length / 4, day_length / 2, day_length * 3 / 4}) {
            schedule(day_start + change + 1ms, [this, change] { change_targets(change); });
        }
        while (!m_events.empty()) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.at;
            (*next.work)();
        }
        return m_totals;
    }

private:
    struct event {
        time_point at;
        std::uint64_t number = 0;
        std::shared_ptr<std::function<void()>> work;

        bool operator<(const event& other) const
        {
            return std::pair(at, number) > std::pair(other.at, other.number);
        }
    };

    void schedule(time_point at, std::function<void()> work)
    {
        m_events.push(
            {at, ++m_event_count, std::make_shared<std::function<void()>>(std::move(work))});
    }

    void add_target(std::uint32_t domain)
    {
        model_target target;
        target.domain = domain;
        target.entry.id = base::target_id("t" + std::to_string(m_targets.size()));
        target.entry.failure_domain = domain_name(domain);
        target.entry.slots = slots;
        target.entry.started_ms = 1;
        m_targets.push_back(std::move(target));
    }

    void change_targets(duration change)
    {
        for (unsigned i = 0; change == day_length / 2 && i < m_pattern.added_targets; ++i) {
            add_target(0);
        }
        update_pools();
    }

    void update_pools()
    {
        std::vector<apps::target_entry> entries;
        for (const model_target& target : m_targets) {
            entries.push_back(target.entry);
        }
        const auto is_drained = [this](const base::failure_domain_id& domain) {
            return m_pattern.drained_domain >= 0 && is_middle(m_now - day_start) &&
                   domain == domain_name(static_cast<std::uint32_t>(m_pattern.drained_domain));
        };
        for (std::uint32_t domain = 0; domain < domain_count; ++domain) {
            apps::set_targets(m_pools[domain], entries, is_drained, m_regions, domain_name(domain),
                              m_now);
        }
    }

    void exchange_loads()
    {
        for (std::uint32_t from = 0; from < domain_count; ++from) {
            for (std::uint32_t to = 0; to < domain_count; ++to) {
                m_pools[to].domain_loads[domain_name(from)] = {m_pools[from].home_load.domain,
                                                               m_now};
            }
        }
        if (m_now < day_start + day_length) {
            schedule(m_now + report_interval, [this] { exchange_loads(); });
        }
    }

    void schedule_arrival(std::uint32_t domain, const route_model& route)
    {
        const double rate = route.rate * std::max(0.01, m_pattern.rate(domain, m_now - day_start));
        const std::chrono::duration<double> gap(
            std::exponential_distribution<double>(rate)(m_random));
        const time_point at = m_now + std::chrono::duration_cast<duration>(gap);
        if (at > day_start + day_length) {
            return;
        }
        schedule(at, [this, domain, &route] {
            caller_request request;
            request.route = &route;
            request.domain = domain;
            const std::uint64_t number = m_random() % objects_per_region;
            request.object =
                base::stable_hash(std::to_string(number * region_count + domain % region_count) +
                                  "/" + std::to_string(route.id));
            request.first_sent = m_now;
            handle(request);
            schedule_arrival(domain, route);
        });
    }

    prediction::request_traits traits_of(const caller_request& request) const
    {
        return {request.route->id, request.object, true, request.route->objective};
    }

    void handle(caller_request request)
    {
        apps::target_pool& pool = m_pools[request.domain];
        const auto placed = m_is_naive ? choose_naively() : choose(request);
        if (!placed.has_value()) {
            refuse(request, min_retry_after);
            return;
        }
        affinity::admission_inputs inputs;
        inputs.wait = placed->wait;
        inputs.service_time = placed->finish - placed->wait;
        inputs.typical_time = prediction::average_time(pool.times, {}, m_now);
        inputs.objective = request.route->objective;
        inputs.time_left = request.route->time_limit - (m_now - request.first_sent);
        inputs.urgency = request.route->urgency;
        const affinity::admission decided = affinity::admit(inputs);
        if (!m_is_naive && !decided.admitted) {
            refuse(request, std::max(decided.retry_after, min_retry_after));
            return;
        }
        request.target = placed->target;
        request.sent = m_now;
        request.prediction = apps::on_sent(pool, pool.targets[request.target], traits_of(request),
                                           placed->wait, m_now);
        schedule(m_now + travel(request), [this, request] { arrive(request); });
    }

    std::optional<affinity::placement> choose(const caller_request& request)
    {
        return apps::choose_target(m_pools[request.domain], traits_of(request), {},
                                   [](const base::region_id&) { return true; }, m_regions,
                                   {m_now, [](const base::target_id&) {
                                        return true;
                                    }});
    }

    std::optional<affinity::placement> choose_naively()
    {
        const auto pick = [this] {
            return static_cast<std::uint32_t>(m_random() % m_targets.size());
        };
        const std::uint32_t one = pick();
        const std::uint32_t other = pick();
        affinity::placement placed;
        placed.target = m_targets[one].running + m_targets[one].waiting.size() <=
                                m_targets[other].running + m_targets[other].waiting.size()
                            ? one
                            : other;
        return placed;
    }

    duration travel(const caller_request& request) const
    {
        const std::uint32_t to = m_targets[request.target].domain;
        if (to == request.domain) {
            return 200us;
        }
        return to % region_count == request.domain % region_count ? 4ms : 12ms;
    }

    void arrive(const caller_request& request)
    {
        model_target& target = m_targets[request.target];
        const bool is_shed = is_middle(m_now - day_start) &&
                             std::bernoulli_distribution(m_pattern.shed_fraction)(m_random);
        if (is_shed || target.waiting.size() >= queue_length) {
            schedule(m_now + travel(request), [this, request] { reject(request); });
        } else if (target.running < slots) {
            run(request);
        } else {
            target.waiting.push_back(request);
        }
    }

    void run(const caller_request& request)
    {
        model_target& target = m_targets[request.target];
        ++target.running;
        const auto found = std::find(target.warm.begin(), target.warm.end(), request.object);
        const bool is_warm = found != target.warm.end();
        if (is_warm) {
            target.warm.erase(found);
        }
        target.warm.push_front(request.object);
        target.warm.resize(std::min(target.warm.size(), kept_objects));
        const double spread = std::uniform_real_distribution<>(0.8, 1.2)(m_random);
        const auto work = std::chrono::duration_cast<duration>(request.route->work * spread *
                                                               (is_warm ? warm_fraction : 1.0));
        schedule(m_now + work, [this, request] { end(request); });
    }

    void end(const caller_request& request)
    {
        model_target& target = m_targets[request.target];
        --target.running;
        if (!target.waiting.empty()) {
            const caller_request next = target.waiting.front();
            target.waiting.pop_front();
            run(next);
        }
        schedule(m_now + travel(request), [this, request] { respond(request); });
    }

    void report(const caller_request& request)
    {
        const model_target& target = m_targets[request.target];
        apps::apply_load_report(m_pools[request.domain].targets[request.target],
                                std::to_string(target.running) + "," +
                                    std::to_string(target.waiting.size()) + "," +
                                    std::to_string(slots),
                                m_now);
    }

    void respond(const caller_request& request)
    {
        apps::target_pool& pool = m_pools[request.domain];
        report(request);
        apps::on_ended(pool, pool.targets[request.target], request.prediction, m_now - request.sent,
                       m_now);
        apps::on_transferred(pool, pool.targets[request.target], request.prediction, 400, m_now);
        const duration took = m_now - request.first_sent;
        (took <= request.route->objective    ? m_totals.in_time
         : took <= request.route->time_limit ? m_totals.late
                                             : m_totals.refused) += 1;
    }

    void reject(const caller_request& request)
    {
        apps::target_pool& pool = m_pools[request.domain];
        apps::pooled_target& target = pool.targets[request.target];
        report(request);
        apps::on_not_run(target, request.prediction);
        if (target.reported_load < target.entry.slots) {
            apps::on_failure(pool, target, false, m_now);
        }
        apps::on_ended(pool, target, request.prediction, std::nullopt, m_now);
        refuse(request, min_retry_after);
    }

    /// The caller comes back once, as it was told.
    void refuse(caller_request request, duration retry_after)
    {
        if (request.is_repeat) {
            m_totals.refused += 1;
            return;
        }
        request.is_repeat = true;
        schedule(m_now + std::min<duration>(retry_after, request.route->time_limit / 3),
                 [this, request] { handle(request); });
    }

    const pattern& m_pattern;
    bool m_is_naive = false;
    std::mt19937_64 m_random;
    time_point m_now = day_start;
    std::uint64_t m_event_count = 0;
    std::priority_queue<event> m_events;
    std::map<base::failure_domain_id, base::region_id> m_regions;
    std::vector<model_target> m_targets;
    std::vector<apps::target_pool> m_pools; ///< One host a failure domain.
    totals m_totals;
};

totals play_seeds(const pattern& of, bool is_naive)
{
    totals sum;
    for (const std::uint64_t seed : seeds) {
        const totals one = day_model(of, is_naive, seed).play();
        sum.in_time += one.in_time;
        sum.late += one.late;
        sum.refused += one.refused;
    }
    return sum;
}

std::vector<pattern> load_patterns()
{
    std::vector<pattern> all(7);
    all[0].name = "usual_day";
    all[1].name = "overload";
    all[1].rate = [](auto, duration at) {
        return is_middle(at) ? 3.0 : 1.0;
    };
    all[2].name = "callers_moved";
    all[2].rate = [](std::uint32_t domain, duration at) {
        return !is_middle(at) ? 1.0 : domain == 0 ? 4.0 : domain == 1 ? 0.2 : 0.7;
    };
    all[3].name = "domain_drained";
    all[3].drained_domain = 1;
    all[4].name = "lopsided_domains";
    all[4].targets = {1, 2, 3, 1, 2, 3};
    all[5].name = "service_sheds";
    all[5].shed_fraction = 0.45;
    all[6].name = "targets_added";
    all[6].targets = {1, 2, 2, 1, 2, 2};
    all[6].added_targets = 2;
    return all;
}

} // namespace

int main()
{
    bench::reporter report;
    for (const pattern& of : load_patterns()) {
        const totals product = play_seeds(of, false);
        const totals naive = play_seeds(of, true);
        const double all = product.in_time + product.late + product.refused;
        report.at_least(of.name + "_in_time_vs_naive",
                        product.in_time_percent() / std::max(1.0, naive.in_time_percent()), "",
                        of.min_gain);
        report.information(of.name + "_in_time_percent", product.in_time_percent(), "%");
        report.information(of.name + "_late_percent", 100 * product.late / all, "%");
        report.information(of.name + "_refused_percent", 100 * product.refused / all, "%");
        report.information(of.name + "_naive_in_time_percent", naive.in_time_percent(), "%");
    }
    return report.exit_status();
}
