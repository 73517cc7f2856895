#include "fleet/host_choice.h"
#include "reachability/probe_sample.h"
#include "reachability/target_reach.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <random>
#include <string>
#include <vector>

using namespace snipeshore;
using namespace std::chrono_literals;
using reachability::probe_result;

namespace {

constexpr int domains = 22;
constexpr int services = 4;
constexpr int targets_each = 4; ///< Of each service in each failure domain.
constexpr std::chrono::milliseconds step{20};
constexpr std::chrono::milliseconds refusal_time{1};
constexpr std::chrono::milliseconds connect_timeout{300};

struct model_target {
    int domain = 0;
    int service = 0;
    bool is_down = false;
};

struct model_host {
    int domain = 0;
    bool is_cut = false; ///< Its links to all targets are lost.
    bool hangs = false;  ///< Connections over lost links time out.
    reachability::target_reach reach;
    base::time_point probes_due{};
    std::vector<std::size_t> probes;
    std::vector<base::time_point> last_responses; ///< Of each target.
    int changes = 0;
    base::time_point noticed_at{};
};

/// Hosts that send requests to random targets, each with its own view of the links.
class fleet_model {
public:
    fleet_model(int hosts, double requests_per_s) : m_requests_per_s(requests_per_s)
    {
        for (int i = 0; i < hosts; ++i) {
            this->hosts.push_back({i % domains});
        }
        for (int domain = 0; domain < domains; ++domain) {
            for (int service = 0; service < services; ++service) {
                for (int i = 0; i < targets_each; ++i) {
                    targets.push_back({domain, service});
                    m_candidates.push_back({base::target_id("t" + std::to_string(targets.size())),
                                            base::service_id("s" + std::to_string(service)),
                                            base::failure_domain_id("z" + std::to_string(domain))});
                }
            }
        }
    }

    void run(std::chrono::milliseconds time)
    {
        for (model_host& host : hosts) {
            host.last_responses.resize(targets.size());
        }
        const base::time_point end = now + time;
        for (; now < end; now += step) {
            for (model_host& host : hosts) {
                send_requests(host);
                end_round(host);
                begin_round(host);
            }
        }
    }

    std::vector<model_host> hosts;
    std::vector<model_target> targets;
    base::time_point now = base::time_point{} + 1h;
    int probes_sent = 0;

private:
    bool connects(const model_host& host, std::size_t target) const
    {
        return !host.is_cut && !targets[target].is_down;
    }

    void send_requests(model_host& host)
    {
        const double expected = m_requests_per_s * std::chrono::duration<double>(step).count();
        if (std::uniform_real_distribution<double>()(m_random) >= expected) {
            return;
        }
        const std::size_t target = m_random() % targets.size();
        if (connects(host, target)) {
            reachability::on_response(host.reach, now);
            host.last_responses[target] = now;
        } else {
            reachability::on_connect_failed(host.reach, m_candidates[target].target, now);
        }
    }

    void begin_round(model_host& host)
    {
        if (!reachability::should_probe(host.reach, now)) {
            return;
        }
        std::vector<reachability::probe_candidate> candidates = m_candidates;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            candidates[i].last_response = host.last_responses[i];
        }
        host.probes =
            reachability::choose_probes(candidates, reachability::probes_per_round, m_random());
        probes_sent += static_cast<int>(host.probes.size());
        reachability::begin_round(host.reach, host.probes.size(), now);
        host.probes_due = now + (host.is_cut && host.hangs ? connect_timeout : refusal_time);
    }

    void end_round(model_host& host)
    {
        if (host.probes.empty() || now < host.probes_due) {
            return;
        }
        for (const std::size_t target : std::exchange(host.probes, {})) {
            const probe_result failure =
                host.hangs ? probe_result::timed_out : probe_result::refused;
            const bool is_connected = connects(host, target);
            if (reachability::on_probe_result(
                    host.reach, is_connected ? probe_result::connected : failure, now)) {
                ++host.changes;
                host.noticed_at = now;
            }
        }
    }

    double m_requests_per_s;
    std::vector<reachability::probe_candidate> m_candidates;
    std::mt19937_64 m_random{20261205};
};

int count_cut(const fleet_model& fleet)
{
    return static_cast<int>(
        std::count_if(fleet.hosts.begin(), fleet.hosts.end(),
                      [](const model_host& host) { return host.reach.is_cut; }));
}

} // namespace

TEST_CASE("in a fleet of 1,000 hosts")
{
    fleet_model fleet(1000, 20);
    SUBCASE("a service that is down everywhere cuts no host")
    {
        for (model_target& target : fleet.targets) {
            target.is_down = target.service == 0;
        }
        fleet.run(10s);
        CHECK(count_cut(fleet) == 0);
    }
    SUBCASE("failure domains without power cut no host")
    {
        for (model_target& target : fleet.targets) {
            target.is_down = target.domain < 11;
        }
        fleet.run(10s);
        CHECK(count_cut(fleet) == 0);
        // A host that finds targets down probes at most each 0.7 s.
        CHECK(fleet.probes_sent <= 1000 * 4 * 15);
    }
    SUBCASE("hosts that are cut notice it within 3 s, the others notice nothing")
    {
        bool hangs = false;
        SUBCASE("by refusals") {}
        SUBCASE("by time-outs")
        {
            hangs = true;
        }
        fleet.run(5s);
        const base::time_point cut_at = fleet.now;
        for (model_host& host : fleet.hosts) {
            host.is_cut = host.domain < 5;
            host.hangs = hangs;
        }
        fleet.run(12s);
        for (const model_host& host : fleet.hosts) {
            CHECK(host.reach.is_cut == host.is_cut);
            if (host.is_cut) {
                CHECK(host.noticed_at - cut_at < 3s);
            }
        }
        for (model_host& host : fleet.hosts) {
            host.is_cut = false;
        }
        fleet.run(3s);
        CHECK(count_cut(fleet) == 0);
        for (const model_host& host : fleet.hosts) {
            CHECK(host.changes <= 2);
        }
    }
    SUBCASE("links that come and go each second change a host's state a few times only")
    {
        for (int second = 0; second < 60; ++second) {
            for (model_host& host : fleet.hosts) {
                host.is_cut = host.domain == 0 && second % 2 == 0;
            }
            fleet.run(1s);
        }
        for (const model_host& host : fleet.hosts) {
            CHECK(host.changes <= (host.domain == 0 ? 12 : 0));
        }
    }
}
