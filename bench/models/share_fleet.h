/// @file Simulates a fleet of share ledgers with message delays and faults, for tests and
/// benchmarks.
#pragma once

#include "base/time.h"
#include "limits/share_ledger.h"
#include "limits/types/layout.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace snipeshore::bench_models {

using std::chrono::milliseconds;

/// One central token bucket, the reference that the shares are compared with.
struct central_bucket {
    double rate = 0;
    double burst = 0;
    double tokens = 0;
    base::time_point refilled;
};

/// Takes a token if there is one.
bool take_central(central_bucket& bucket, base::time_point now);

struct network_model {
    base::duration within_domain = std::chrono::microseconds(250);
    base::duration between_domains = milliseconds(3); ///< Within one region.
    base::duration between_regions = milliseconds(12);
    double jitter = 0.2; ///< Largest fraction added to a delay.
    double loss_probability = 0;
    double duplicate_probability = 0;
    double late_fraction =
        0; ///< Fraction of the messages that are delayed by up to `max_late_delay`.
    base::duration max_late_delay = milliseconds(3000);
};

struct fleet_sizes {
    std::size_t regions = 3;
    std::size_t domains_per_region = 2;
    std::size_t hosts_per_domain = 2;
};

struct outcome_counts {
    std::size_t requests = 0;
    std::size_t admitted = 0;
    std::size_t refused = 0;
    std::size_t messages = 0; ///< Between hosts.
    std::size_t overruns = 0; ///< Admissions beyond rate * window + burst of some window.
    /// Moments at which the hosts' rates or bucket capacities added up to more than the limits.
    /// Reveals faults that no request happens to trigger.
    std::size_t sums_above_limit = 0;
};

/// A request's final verdict.
using on_verdict = std::function<void(bool admitted, base::time_point when)>;

class share_fleet {
public:
    share_fleet(const fleet_sizes& sizes, const network_model& network,
                const limits::ledger_settings& settings,
                const std::vector<limits::account_limit>& accounts, std::uint64_t seed);

    base::time_point now() const
    {
        return m_now;
    }
    std::size_t host_count() const
    {
        return m_hosts.size();
    }
    const outcome_counts& counts() const
    {
        return m_counts;
    }
    std::mt19937_64& random()
    {
        return m_random;
    }

    /// Runs `action` at `when`.
    void at(base::time_point when, std::function<void()> action);

    /// Runs all events until `end`.
    void run_until(base::time_point end);

    /// Sends a caller's request to a host. The request is decided after the host resumes if it is
    /// paused, and is lost if the host is not running.
    void request(std::size_t host, const base::account_id& account, const on_verdict& verdict);

    /// Isolates a failure domain, or connects it again.
    void set_cut(const base::failure_domain_id& domain, bool cut);
    void pause(std::size_t host, base::duration time);
    void restart(std::size_t host);
    /// Stops a host. The platform's list of hosts drops it later.
    void remove(std::size_t host);
    /// Adds and starts a host. It serves requests once a layout includes it.
    std::size_t add_host(std::size_t domain);
    /// Publishes a version with these hosts. Each host installs it after its own random delay and
    /// skips it if it already has a newer one.
    void publish(const std::vector<std::size_t>& hosts,
                 const std::vector<limits::account_limit>& accounts);
    /// Returns the hosts of the newest version.
    const std::vector<std::size_t>& published_hosts() const
    {
        return m_published_hosts;
    }

private:
    struct waiting_request {
        base::time_point wait_ends; ///< On the host's clock.
        on_verdict verdict;
    };
    struct host {
        limits::entry_host identity;
        std::size_t domain = 0;
        base::duration clock_offset{0};
        base::time_point paused_until;
        bool running = true;
        bool listed = true;
        std::uint64_t start_count = 0;
        limits::share_ledger ledger;
        std::map<base::account_id, std::deque<waiting_request>> waiting;
        std::map<base::account_id, base::time_point>
            drain_at; ///< Next drain, on the simulation's clock.
        std::map<base::host_id, base::document_version>
            known; ///< Last known version in force on other hosts.
    };
    /// Tokens of a grant that is in transit to a borrower.
    struct tokens_sent {
        std::size_t borrower = 0;
        std::uint64_t start_count = 0;
        std::uint64_t request = 0;
        base::account_id account;
        double tokens = 0;
        base::time_point ends; ///< End of the loan for the borrower.
    };
    struct event {
        base::time_point when;
        std::uint64_t order;
        std::function<void()> action;
        bool operator>(const event& other) const
        {
            return std::tie(when, order) > std::tie(other.when, other.order);
        }
    };
    base::time_point clock_of(const host& of) const
    {
        return m_now + of.clock_offset;
    }
    double unit();
    bool connected(const host& from, const host& to) const;
    base::duration delay(const host& from, const host& to);
    /// Runs `action` on the host now or when it resumes, but not after the host has restarted.
    void on_host(std::size_t index, std::uint64_t start_count, const std::function<void()>& action);
    void send(std::size_t from, std::size_t to, const std::function<void()>& action);
    void start(std::size_t index);
    void tick(std::size_t index, std::uint64_t start_count);
    void send_requests(std::size_t index, const std::vector<limits::loan_request>& requests);
    void send_returns(std::size_t index, const std::vector<limits::loan_return>& returns);
    void deliver_request(std::size_t from, std::uint64_t from_start_count, std::size_t to,
                         const limits::loan_request& request, base::time_point sent);
    void drain(std::size_t index, const base::account_id& account);
    void schedule_drain(std::size_t index, const base::account_id& account, base::time_point when);
    void decide(std::size_t index, const base::account_id& account, const on_verdict& verdict);
    void install(std::size_t index, std::size_t version);
    void update_view(host& of);
    void mark_in_force();
    void check_sums(const base::account_id& account);
    double tokens_in_transit(const base::account_id& account);
    void count_admission(const base::account_id& account);
    limits::account_limit largest_limit(const base::account_id& account);

    network_model m_network;
    limits::ledger_settings m_settings;
    std::mt19937_64 m_random;
    base::time_point m_now{};
    std::uint64_t m_order = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::vector<std::unique_ptr<host>> m_hosts;
    std::map<base::host_id, std::size_t> m_index;
    std::vector<base::failure_domain_id> m_domains;
    std::vector<std::size_t> m_region_of;
    std::set<base::failure_domain_id> m_isolated_domains;
    std::vector<limits::layout> m_versions; ///< Version n is at n - 1.
    std::vector<std::size_t> m_published_hosts;
    std::map<base::document_version, base::time_point> m_last_in_force;
    std::map<base::account_id, central_bucket> m_reference_buckets;
    std::vector<tokens_sent> m_tokens_sent;
    outcome_counts m_counts;
};

} // namespace snipeshore::bench_models
