#include "crash_evidence/crash_watch.h"
#include "fleet/bulletin.h"

#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace snipeshore;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t culprit = 7;
const base::time_point start = base::time_point{} + 1h;
constexpr std::chrono::milliseconds message_time{50};

struct model_host {
    crash_evidence::crash_watch crashes;
    fleet::bulletin notices;
};

/// Hosts that get copies of a request which ends each target that runs it, and tell each other.
class model_fleet {
public:
    model_fleet(std::size_t hosts, std::uint64_t seed, double lost_fraction)
        : m_hosts(hosts), m_random(seed), m_lost_fraction(lost_fraction)
    {}

    /// A copy comes to a host every `interval`.
    void run(std::chrono::milliseconds duration, std::chrono::milliseconds interval)
    {
        const base::time_point end = m_now + duration;
        for (base::time_point copy_at = m_now; copy_at < end; copy_at += interval) {
            run_events(copy_at);
            attempt(m_random() % m_hosts.size(), true);
            if (m_random() % 10 == 0) {
                exchange_all();
            }
        }
        run_events(end);
    }

    /// The host has called all others, as each does when it is ready, before it gets copies again.
    void restart(std::size_t host)
    {
        m_hosts[host] = {};
        for (std::size_t other = 0; other < m_hosts.size(); ++other) {
            tell(other, host);
        }
        run_events(m_now + message_time);
    }

    /// Crashes by requests sent later than `delay` after the third crash.
    std::size_t crashes_after_third(std::chrono::milliseconds delay) const
    {
        if (m_crashed_at.size() < 3) {
            return 0;
        }
        const base::time_point third = std::next(m_crashed_at.begin(), 2)->first;
        std::size_t count = 0;
        for (const auto& [at, sent_at] : m_crashed_at) {
            count += sent_at > third + delay ? 1 : 0;
        }
        return count;
    }

    std::size_t crashes() const
    {
        return m_crashed_at.size();
    }

private:
    void schedule(std::chrono::milliseconds delay, std::function<void()> work)
    {
        m_events.emplace(m_now + delay, std::move(work));
    }

    void run_events(base::time_point until)
    {
        while (!m_events.empty() && m_events.begin()->first <= until) {
            const auto node = m_events.extract(m_events.begin());
            m_now = node.key();
            node.mapped()();
        }
        m_now = until;
    }

    void attempt(std::size_t host, bool is_first)
    {
        crash_evidence::crash_watch& watch = m_hosts[host].crashes;
        bool is_trial = false;
        if (is_first) {
            const auto decision = crash_evidence::check_quarantine(
                watch, culprit, [host] { return host == 0; }, m_now);
            is_trial = decision.is_trial;
            if (!decision.may_run) {
                return;
            }
        }
        const base::target_id target("t" + std::to_string(++m_targets));
        schedule(40ms, [this, host, target, sent_at = m_now, may_retry = is_first && !is_trial] {
            crash_evidence::crash_watch& at_host = m_hosts[host].crashes;
            m_crashed_at.emplace(m_now, sent_at);
            const bool is_suspect = crash_evidence::has_crashed_before(at_host, culprit, sent_at);
            crash_evidence::on_connection_broken(at_host, {target, culprit, sent_at, m_now});
            schedule(20ms, [this, host, target] {
                publish(host,
                        crash_evidence::on_target_ended(m_hosts[host].crashes, target, m_now));
            });
            if (may_retry && !is_suspect) {
                attempt(host, false);
            }
        });
    }

    void publish(std::size_t host, const std::vector<fleet::notice>& made)
    {
        bool is_news = false;
        for (const fleet::notice& one : made) {
            is_news = fleet::post(m_hosts[host].notices, one) || is_news;
        }
        if (is_news) {
            tell_all(host);
        }
    }

    void tell_all(std::size_t host)
    {
        for (std::size_t other = 0; other < m_hosts.size(); ++other) {
            tell(host, other);
        }
    }

    void tell(std::size_t host, std::size_t other)
    {
        const bool is_lost = static_cast<double>(m_random() % 1000) < m_lost_fraction * 1000;
        if (other == host || is_lost) {
            return;
        }
        const auto told = fleet::notices_to_tell(m_hosts[host].notices, m_now);
        schedule(message_time, [this, other, told] {
            for (const fleet::told_notice& one : told) {
                const fleet::notice heard = fleet::heard(one, m_now);
                if (!fleet::post(m_hosts[other].notices, heard)) {
                    continue;
                }
                for (const fleet::notice& made :
                     crash_evidence::apply_notice(m_hosts[other].crashes, heard, m_now)) {
                    fleet::post(m_hosts[other].notices, made);
                }
            }
        });
    }

    void exchange_all()
    {
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
            tell_all(host);
        }
    }

    std::vector<model_host> m_hosts;
    std::mt19937_64 m_random;
    double m_lost_fraction;
    base::time_point m_now = start;
    std::multimap<base::time_point, std::function<void()>> m_events;
    /// Times of the crashes, and at which their requests were sent.
    std::multimap<base::time_point, base::time_point> m_crashed_at;
    int m_targets = 0;
};

} // namespace

// Guards against a request that ends 34 targets in 12 s: each host counted for itself, and all
// tried again after the quarantine.
TEST_CASE("a fleet sends a request that crashed three targets three times more at most")
{
    constexpr std::chrono::milliseconds contact{3000};
    constexpr std::uint64_t seeds = 10;
    constexpr std::uint64_t seeds_of_large_fleet = 3;
    SUBCASE("whatever host its copies come to")
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            INFO(seed);
            model_fleet fleet(12, seed, 0);
            fleet.run(100s, 100ms);
            CHECK(fleet.crashes() >= 3);
            CHECK(fleet.crashes_after_third(contact) <= 3);
        }
    }
    SUBCASE("if each third message is lost and hosts start again")
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            INFO(seed);
            model_fleet fleet(12, seed, 0.33);
            for (std::size_t i = 0; i < 10; ++i) {
                fleet.run(10s, 100ms);
                fleet.restart((seed + i) % 12);
            }
            CHECK(fleet.crashes_after_third(contact) <= 3);
        }
    }
    SUBCASE("in a fleet of 80 hosts")
    {
        for (std::uint64_t seed = 1; seed <= seeds_of_large_fleet; ++seed) {
            INFO(seed);
            model_fleet fleet(80, seed, 0.1);
            fleet.run(60s, 50ms);
            CHECK(fleet.crashes_after_third(contact) <= 3);
        }
    }
}
