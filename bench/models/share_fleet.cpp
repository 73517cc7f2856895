#include "bench/models/share_fleet.h"

#include "limits/internal/bucket.h"

#include <algorithm>

namespace snipeshore::bench_models {

namespace {

/// Interval of the periodic calls of an entry process.
constexpr base::duration tick_interval = milliseconds(100);

/// Maximum delay until a host receives a published version.
constexpr std::int64_t max_install_delay_ms = 4000;

/// Tolerance for rounding errors in sums of many refills.
constexpr double rounding = 1e-6;

double seconds(base::duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

bool take_central(central_bucket& bucket, base::time_point now)
{
    const double added = bucket.rate * seconds(now - bucket.refilled);
    bucket.tokens = std::min(bucket.burst, bucket.tokens + added);
    bucket.refilled = now;
    if (bucket.tokens + rounding < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

share_fleet::share_fleet(const fleet_sizes& sizes, const network_model& network,
                         const limits::ledger_settings& settings,
                         const std::vector<limits::account_limit>& accounts, std::uint64_t seed)
    : m_network(network), m_settings(settings), m_random(seed), m_now(std::chrono::hours(1))
{
    for (std::size_t region = 0; region < sizes.regions; ++region) {
        for (std::size_t domain = 0; domain < sizes.domains_per_region; ++domain) {
            m_domains.emplace_back("fd-" + std::to_string(m_domains.size()));
            m_region_of.push_back(region);
        }
    }
    std::vector<std::size_t> first;
    for (std::size_t domain = 0; domain < m_domains.size(); ++domain) {
        for (std::size_t number = 0; number < sizes.hosts_per_domain; ++number) {
            first.push_back(add_host(domain));
        }
    }
    publish(first, accounts);
    for (const std::size_t index : first) {
        install(index, 1);
    }
    for (const std::size_t index : first) {
        update_view(*m_hosts[index]);
    }
}

void share_fleet::at(base::time_point when, std::function<void()> action)
{
    m_events.push({std::max(when, m_now), m_order++, std::move(action)});
}

void share_fleet::run_until(base::time_point end)
{
    while (!m_events.empty() && m_events.top().when <= end) {
        const event next = m_events.top();
        m_events.pop();
        m_now = next.when;
        next.action();
    }
    m_now = end;
}

double share_fleet::unit()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

bool share_fleet::connected(const host& from, const host& to) const
{
    return from.domain == to.domain ||
           (!m_isolated_domains.contains(from.identity.failure_domain) &&
            !m_isolated_domains.contains(to.identity.failure_domain));
}

base::duration share_fleet::delay(const host& from, const host& to)
{
    base::duration base_delay = m_network.between_regions;
    if (from.domain == to.domain) {
        base_delay = m_network.within_domain;
    } else if (m_region_of[from.domain] == m_region_of[to.domain]) {
        base_delay = m_network.between_domains;
    }
    const double factor = 1 + m_network.jitter * unit();
    auto time = std::chrono::duration_cast<base::duration>(base_delay * factor);
    if (unit() < m_network.late_fraction) {
        time += std::chrono::duration_cast<base::duration>(m_network.max_late_delay * unit());
    }
    return time;
}

void share_fleet::on_host(std::size_t index, std::uint64_t start_count,
                          const std::function<void()>& action)
{
    const host& target = *m_hosts[index];
    if (!target.running || target.start_count != start_count) {
        return;
    }
    if (target.paused_until > m_now) {
        at(target.paused_until,
           [this, index, start_count, action] { on_host(index, start_count, action); });
        return;
    }
    action();
}

void share_fleet::send(std::size_t from, std::size_t to, const std::function<void()>& action)
{
    ++m_counts.messages;
    const int copies = unit() < m_network.duplicate_probability ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (unit() < m_network.loss_probability || !connected(*m_hosts[from], *m_hosts[to])) {
            continue;
        }
        at(m_now + delay(*m_hosts[from], *m_hosts[to]), action);
    }
}

std::size_t share_fleet::add_host(std::size_t domain)
{
    const std::size_t index = m_hosts.size();
    auto added = std::make_unique<host>();
    added->identity = {base::host_id("host-" + std::to_string(index)), m_domains.at(domain)};
    added->domain = domain;
    // Hosts have independent monotonic clocks.
    added->clock_offset = milliseconds(m_random() % 100000);
    m_index[added->identity.id] = index;
    m_hosts.push_back(std::move(added));
    start(index);
    return index;
}

void share_fleet::start(std::size_t index)
{
    host& starting = *m_hosts[index];
    ++starting.start_count;
    starting.running = true;
    starting.paused_until = {};
    starting.waiting.clear();
    starting.drain_at.clear();
    starting.ledger = limits::make_ledger(m_settings, starting.identity.id,
                                          base::incarnation(m_random()), clock_of(starting));
    const std::uint64_t start_count = starting.start_count;
    at(m_now + milliseconds(m_random() % 100), [this, index, start_count] {
        on_host(index, start_count, [this, index, start_count] { tick(index, start_count); });
    });
}

void share_fleet::tick(std::size_t index, std::uint64_t start_count)
{
    host& self = *m_hosts[index];
    update_view(self);
    send_returns(index, limits::plan_returns(self.ledger, clock_of(self)));
    send_requests(index, limits::plan_all_loans(self.ledger, clock_of(self)));
    at(m_now + tick_interval, [this, index, start_count] {
        on_host(index, start_count, [this, index, start_count] { tick(index, start_count); });
    });
}

void share_fleet::send_requests(std::size_t index,
                                const std::vector<limits::loan_request>& requests)
{
    const std::uint64_t start_count = m_hosts[index]->start_count;
    for (const limits::loan_request& request : requests) {
        const std::size_t to = m_index.at(request.lender);
        const base::time_point sent = m_now;
        send(index, to, [this, index, start_count, to, request, sent] {
            on_host(to, m_hosts[to]->start_count, [this, index, start_count, to, request, sent] {
                deliver_request(index, start_count, to, request, sent);
            });
        });
    }
}

void share_fleet::deliver_request(std::size_t from, std::uint64_t from_start_count, std::size_t to,
                                  const limits::loan_request& request, base::time_point sent)
{
    host& lender = *m_hosts[to];
    const limits::loan_grant grant = limits::lend(lender.ledger, request, clock_of(lender));
    m_tokens_sent.push_back({from, from_start_count, request.request, request.account, grant.tokens,
                             sent + m_settings.lease});
    check_sums(request.account);
    send(to, from, [this, from, from_start_count, request, grant] {
        on_host(from, from_start_count, [this, from, request, grant] {
            host& borrower = *m_hosts[from];
            limits::receive_loan(borrower.ledger, request.request, grant, clock_of(borrower));
            check_sums(request.account);
            drain(from, request.account);
        });
    });
}

void share_fleet::send_returns(std::size_t index, const std::vector<limits::loan_return>& returns)
{
    for (const limits::loan_return& item : returns) {
        const std::size_t to = m_index.at(item.lender);
        send(index, to, [this, to, item] {
            on_host(to, m_hosts[to]->start_count, [this, to, item] {
                host& lender = *m_hosts[to];
                limits::on_loan_returned(lender.ledger, item.loan, clock_of(lender));
                ++m_counts.messages;
            });
        });
    }
}

void share_fleet::request(std::size_t index, const base::account_id& account,
                          const on_verdict& verdict)
{
    ++m_counts.requests;
    const std::uint64_t start_count = m_hosts[index]->start_count;
    on_host(index, start_count,
            [this, index, account, verdict] { decide(index, account, verdict); });
}

void share_fleet::decide(std::size_t index, const base::account_id& account,
                         const on_verdict& verdict)
{
    host& self = *m_hosts[index];
    const limits::admission decision = limits::admit(self.ledger, account, clock_of(self));
    if (decision.verdict == limits::admit_verdict::admitted) {
        count_admission(account);
        verdict(true, m_now);
        return;
    }
    if (decision.verdict != limits::admit_verdict::wait) {
        ++m_counts.refused;
        verdict(false, m_now);
        return;
    }
    self.waiting[account].push_back({decision.wait_ends, verdict});
    send_requests(index, limits::plan_loans(self.ledger, account, clock_of(self)));
    schedule_drain(index, account, decision.check_at);
}

void share_fleet::schedule_drain(std::size_t index, const base::account_id& account,
                                 base::time_point when)
{
    const std::uint64_t start_count = m_hosts[index]->start_count;
    const base::time_point due = std::max(m_now, when - m_hosts[index]->clock_offset);
    auto& next = m_hosts[index]->drain_at[account];
    if (next > m_now && next <= due) {
        return;
    }
    next = due;
    at(due, [this, index, start_count, account] {
        on_host(index, start_count, [this, index, account] {
            m_hosts[index]->drain_at[account] = {};
            drain(index, account);
        });
    });
}

void share_fleet::drain(std::size_t index, const base::account_id& account)
{
    host& self = *m_hosts[index];
    auto& queue = self.waiting[account];
    while (!queue.empty()) {
        const waiting_request first = queue.front();
        const limits::admission decision =
            limits::admit_waiting(self.ledger, account, first.wait_ends, clock_of(self));
        if (decision.verdict == limits::admit_verdict::wait) {
            schedule_drain(index, account, decision.check_at);
            send_requests(index, limits::plan_loans(self.ledger, account, clock_of(self)));
            return;
        }
        queue.pop_front();
        const bool admitted = decision.verdict == limits::admit_verdict::admitted;
        if (admitted) {
            count_admission(account);
        } else {
            ++m_counts.refused;
        }
        first.verdict(admitted, m_now);
    }
}

void share_fleet::set_cut(const base::failure_domain_id& domain, bool cut)
{
    if (cut) {
        m_isolated_domains.insert(domain);
    } else {
        m_isolated_domains.erase(domain);
    }
}

void share_fleet::pause(std::size_t index, base::duration time)
{
    m_hosts[index]->paused_until = std::max(m_hosts[index]->paused_until, m_now + time);
}

void share_fleet::restart(std::size_t index)
{
    if (!m_hosts[index]->running || !m_hosts[index]->ledger.current) {
        return;
    }
    mark_in_force();
    const base::document_version version = limits::version_in_force(m_hosts[index]->ledger);
    start(index);
    install(index, version.value());
}

void share_fleet::remove(std::size_t index)
{
    mark_in_force();
    m_hosts[index]->running = false;
    at(m_now + milliseconds(2000 + m_random() % 3000),
       [this, index] { m_hosts[index]->listed = false; });
}

void share_fleet::publish(const std::vector<std::size_t>& hosts,
                          const std::vector<limits::account_limit>& accounts)
{
    limits::layout next;
    next.version = base::document_version(m_versions.size() + 1);
    next.accounts = accounts;
    for (const std::size_t index : hosts) {
        next.hosts.push_back(m_hosts[index]->identity);
    }
    m_versions.push_back(next);
    m_published_hosts = hosts;
    const std::size_t version = m_versions.size();
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        at(m_now + milliseconds(m_random() % max_install_delay_ms),
           [this, index, version] { install(index, version); });
    }
}

void share_fleet::install(std::size_t index, std::size_t version)
{
    const std::uint64_t start_count = m_hosts[index]->start_count;
    // An isolated host receives the version once it is connected again.
    if (m_isolated_domains.contains(m_hosts[index]->identity.failure_domain)) {
        at(m_now + milliseconds(500), [this, index, version] { install(index, version); });
        return;
    }
    on_host(index, start_count, [this, index, version] {
        host& self = *m_hosts[index];
        mark_in_force();
        limits::install_layout(self.ledger, m_versions[version - 1], clock_of(self));
    });
}

void share_fleet::update_view(host& of)
{
    limits::fleet_view view;
    view.listed_known = true;
    for (const auto& other : m_hosts) {
        const base::host_id& id = other->identity.id;
        if (other->listed) {
            view.listed.push_back(id);
        }
        if (other->running && other->ledger.current && connected(of, *other)) {
            of.known[id] = limits::version_in_force(other->ledger);
        } else if (!other->running && !other->listed) {
            of.known.erase(id);
        }
    }
    for (const auto& [id, version] : of.known) {
        view.in_force.push_back({id, version});
    }
    limits::update_fleet(of.ledger, view, clock_of(of));
}

void share_fleet::mark_in_force()
{
    for (const auto& each : m_hosts) {
        if (each->running && each->ledger.current) {
            m_last_in_force[limits::version_in_force(each->ledger)] = m_now;
        }
    }
}

limits::account_limit share_fleet::largest_limit(const base::account_id& account)
{
    mark_in_force();
    limits::account_limit largest{account, base::request_rate(0), base::request_count(0)};
    std::set<base::document_version> versions;
    const base::duration loan = m_settings.lease + m_settings.lease_margin;
    for (const auto& [version, last] : m_last_in_force) {
        if (m_now - last <= loan) {
            versions.insert(version);
        }
    }
    for (const base::document_version version : versions) {
        for (const limits::account_limit& limit : m_versions[version.value() - 1].accounts) {
            if (limit.account == account) {
                largest.rate = std::max(largest.rate, limit.rate);
                largest.burst = std::max(largest.burst, limit.burst);
            }
        }
    }
    return largest;
}

double share_fleet::tokens_in_transit(const base::account_id& account)
{
    std::map<std::pair<std::size_t, std::uint64_t>, double> usable;
    std::erase_if(m_tokens_sent, [&](const tokens_sent& item) {
        const host& borrower = *m_hosts[item.borrower];
        if (!borrower.running || borrower.start_count != item.start_count || item.ends <= m_now ||
            !borrower.ledger.pending.contains(item.request)) {
            return true;
        }
        // The borrower accepts only one of several replies to a request.
        if (item.account == account) {
            double& tokens = usable[{item.borrower, item.request}];
            tokens = std::max(tokens, item.tokens);
        }
        return false;
    });
    double sum = 0;
    for (const auto& [request, tokens] : usable) {
        sum += tokens;
    }
    return sum;
}

void share_fleet::check_sums(const base::account_id& account)
{
    double rate = 0;
    double capacity = tokens_in_transit(account);
    for (const auto& each : m_hosts) {
        const auto found = each->ledger.accounts.find(account);
        if (!each->running || found == each->ledger.accounts.end()) {
            continue;
        }
        // Applies the loans that have expired by now, as the host's next call does.
        const limits::account_state& state =
            *limits::state_of(each->ledger, account, clock_of(*each));
        rate += state.rate;
        capacity += state.capacity;
    }
    const limits::account_limit limit = largest_limit(account);
    if (rate > limit.rate.value() * (1 + rounding) + rounding ||
        capacity > limit.burst.value() * (1 + rounding) + rounding) {
        ++m_counts.sums_above_limit;
    }
}

void share_fleet::count_admission(const base::account_id& account)
{
    ++m_counts.admitted;
    const limits::account_limit limit = largest_limit(account);
    const auto [found, added] = m_reference_buckets.try_emplace(account);
    central_bucket& bucket = found->second;
    if (added) {
        bucket.tokens = limit.burst.value();
        bucket.refilled = m_now;
    }
    bucket.rate = limit.rate.value();
    bucket.burst = limit.burst.value();
    // If the reference bucket runs empty, some window has admitted more than
    // rate * window + burst requests.
    if (!take_central(bucket, m_now)) {
        ++m_counts.overruns;
    }
}

} // namespace snipeshore::bench_models
