#include "bench/target_model.h"

#include "balancing/balancer.h"

#include <algorithm>
#include <deque>
#include <queue>
#include <random>
#include <string>

namespace snipeshore::bench {

namespace {

constexpr double connect_ms = 1;
constexpr std::size_t report_delay_s = 5;

struct request {
    std::size_t account = 0;
    std::size_t host = 0;
    std::uint32_t index = 0; ///< Index of the target in the host's balancer.
    std::size_t target = 0;
    double arrived_ms = 0;
};

enum class event_kind : std::uint8_t { arrival, connected, served, report };

struct event {
    double at_ms = 0;
    event_kind kind = event_kind::arrival;
    request item;

    bool operator<(const event& other) const
    {
        return at_ms > other.at_ms;
    }
};

struct model_target {
    std::uint32_t busy = 0;
    std::deque<request> queue;
    std::deque<double> load_history;
    double reported = 0;
};

struct model_host {
    balancing::balancer_state balancer;
    std::vector<std::uint32_t> index_of; ///< Target -> index in the balancer.
    std::vector<std::uint32_t> in_flight;
    std::vector<std::uint32_t> open_connections; ///< Per target.
};

struct bucket {
    double tokens = 0;
    double filled_ms = 0;
};

class simulation {
public:
    simulation(const target_model& model, choice_method method)
        : m_model(model), m_method(method), m_random(model.seed), m_targets(model.targets),
          m_results(model.accounts.size())
    {
        balancing::target_set set;
        for (std::size_t target = 0; target < model.targets; ++target) {
            set.targets.push_back(
                {base::target_id("t" + std::to_string(target)), model.slots, model.connections});
        }
        for (std::size_t host = 0; host < model.hosts; ++host) {
            set.entry_hosts.emplace_back("h" + std::to_string(host));
        }
        for (std::size_t host = 0; host < model.hosts; ++host) {
            set.self = set.entry_hosts[host];
            model_host entry;
            entry.balancer.config.min_subset = 4;
            balancing::set_targets(entry.balancer, set, at(0));
            for (const auto& target : set.targets) {
                entry.index_of.push_back(*balancing::find_target(entry.balancer, target.id));
            }
            entry.in_flight.assign(model.targets, 0);
            entry.open_connections.assign(model.targets, 0);
            m_hosts.push_back(std::move(entry));
        }
        for (const account_load& account : model.accounts) {
            m_buckets.push_back({account.burst, 0});
        }
    }

    std::vector<account_result> run()
    {
        for (std::size_t account = 0; account < m_model.accounts.size(); ++account) {
            schedule_arrival(account, 0);
        }
        m_events.push({0, event_kind::report, {}});
        while (!m_events.empty() && m_events.top().at_ms < m_model.seconds * 1000) {
            const event next = m_events.top();
            m_events.pop();
            handle(next);
        }
        return std::move(m_results);
    }

private:
    static base::time_point at(double now_ms)
    {
        return base::time_point(std::chrono::hours(1)) +
               std::chrono::nanoseconds(static_cast<std::int64_t>(now_ms * 1e6));
    }

    double exponential(double mean)
    {
        return std::exponential_distribution<double>(1 / mean)(m_random);
    }

    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    void schedule_arrival(std::size_t account, double now_ms)
    {
        const double gap = exponential(1000 / m_model.accounts[account].offered_per_s);
        m_events.push({now_ms + gap, event_kind::arrival, {account}});
    }

    void handle(const event& next)
    {
        switch (next.kind) {
        case event_kind::arrival:
            schedule_arrival(next.item.account, next.at_ms);
            arrive(next.item.account, next.at_ms);
            break;
        case event_kind::connected:
            enqueue(next.item, next.at_ms);
            break;
        case event_kind::served:
            finish(next.item, next.at_ms);
            break;
        case event_kind::report:
            report(next.at_ms);
            m_events.push({next.at_ms + 1000, event_kind::report, {}});
            break;
        }
    }

    bool is_within_rate(std::size_t account, double now_ms)
    {
        const account_load& limit = m_model.accounts[account];
        bucket& tokens = m_buckets[account];
        if (limit.rate_per_s <= 0) {
            return true;
        }
        tokens.tokens = std::min(limit.burst, tokens.tokens + (now_ms - tokens.filled_ms) / 1000 *
                                                                  limit.rate_per_s);
        tokens.filled_ms = now_ms;
        if (tokens.tokens < 1) {
            return false;
        }
        tokens.tokens -= 1;
        return true;
    }

    void arrive(std::size_t account, double now_ms)
    {
        if (!is_within_rate(account, now_ms)) {
            ++m_results[account].refused;
            return;
        }
        request next{account, pick(m_model.hosts), 0, 0, now_ms};
        if (!choose(next, now_ms)) {
            ++m_results[account].no_target;
            return;
        }
        model_host& host = m_hosts[next.host];
        ++host.in_flight[next.target];
        const bool is_new = host.in_flight[next.target] > host.open_connections[next.target];
        host.open_connections[next.target] =
            std::max(host.open_connections[next.target], host.in_flight[next.target]);
        update_idle(host, next.target);
        m_events.push({now_ms + (is_new ? connect_ms : 0), event_kind::connected, next});
    }

    bool choose(request& next, double now_ms)
    {
        model_host& host = m_hosts[next.host];
        if (m_method == choice_method::balancer) {
            const auto chosen =
                balancing::choose(host.balancer, {m_random(), true, {}}, at(now_ms));
            if (!base::is_ok(chosen)) {
                return false;
            }
            next.index = base::value_of(chosen);
            next.target = static_cast<std::size_t>(
                std::find(host.index_of.begin(), host.index_of.end(), next.index) -
                host.index_of.begin());
            balancing::on_start(host.balancer, next.index, at(now_ms));
            return true;
        }
        const std::size_t first = pick(m_model.targets);
        const std::size_t second = (first + 1 + pick(m_model.targets - 1)) % m_model.targets;
        const bool prefers_second = m_method == choice_method::two_by_report
                                        ? m_targets[second].reported < m_targets[first].reported
                                        : host.in_flight[second] < host.in_flight[first];
        next.target = prefers_second ? second : first;
        return true;
    }

    void enqueue(const request& item, double now_ms)
    {
        model_target& target = m_targets[item.target];
        if (target.busy < m_model.slots) {
            ++target.busy;
            serve(item, now_ms);
        } else {
            target.queue.push_back(item);
        }
    }

    void serve(const request& item, double now_ms)
    {
        const double factor = item.target == 0 ? m_model.slow_factor : 1;
        m_events.push(
            {now_ms + exponential(m_model.service_ms * factor), event_kind::served, item});
    }

    void finish(const request& item, double now_ms)
    {
        model_target& target = m_targets[item.target];
        if (target.queue.empty()) {
            --target.busy;
        } else {
            const request next = target.queue.front();
            target.queue.pop_front();
            serve(next, now_ms);
        }
        model_host& host = m_hosts[item.host];
        --host.in_flight[item.target];
        const double latency = now_ms - item.arrived_ms;
        if (m_method == choice_method::balancer) {
            balancing::on_end(host.balancer, item.index, balancing::outcome::success,
                              std::chrono::nanoseconds(static_cast<std::int64_t>(latency * 1e6)),
                              at(now_ms));
        }
        update_idle(host, item.target);
        if (item.arrived_ms > m_model.seconds * 100) {
            m_results[item.account].latencies_ms.push_back(latency);
        }
    }

    static void update_idle(model_host& host, std::size_t target)
    {
        balancing::set_idle_connections(host.balancer, host.index_of[target],
                                        host.open_connections[target] - host.in_flight[target]);
    }

    void report(double now_ms)
    {
        for (std::size_t index = 0; index < m_targets.size(); ++index) {
            model_target& target = m_targets[index];
            target.load_history.push_back(target.busy + static_cast<double>(target.queue.size()));
            target.reported = target.load_history.front();
            if (target.load_history.size() > report_delay_s) {
                target.load_history.pop_front();
            }
            if (m_model.lying_reports) {
                target.reported = index == 0 ? 0 : std::uniform_real_distribution<>(0, 9)(m_random);
            }
            for (model_host& host : m_hosts) {
                balancing::on_load_report(host.balancer, host.index_of[index],
                                          target.reported / m_model.slots, at(now_ms));
            }
        }
    }

    const target_model& m_model;
    choice_method m_method;
    std::mt19937_64 m_random;
    std::vector<model_target> m_targets;
    std::vector<model_host> m_hosts;
    std::vector<bucket> m_buckets;
    std::vector<account_result> m_results;
    std::priority_queue<event> m_events;
};

} // namespace

std::vector<account_result> run_targets(const target_model& model, choice_method method)
{
    return simulation(model, method).run();
}

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    const auto position =
        static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + position, values.end());
    return values[static_cast<std::size_t>(position)];
}

} // namespace snipeshore::bench
