#include "contact/store_contact.h"
#include "fleet/members.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace snipeshore;
using namespace std::chrono_literals;

namespace {

constexpr base::time_point start{1000s};
constexpr std::chrono::milliseconds step{10};
constexpr std::chrono::milliseconds poll_pause{700};
constexpr std::chrono::milliseconds change_wait{4000};
constexpr std::chrono::milliseconds message_time{50};   ///< Delay and way of a message to a host.
constexpr std::chrono::milliseconds refused_pause{300}; ///< Until a refused host asks again.
constexpr std::size_t max_messages = 128;

/// From the stated target: a second to all hosts, 2,000 reads per second of all hosts together.
constexpr std::chrono::milliseconds in_force_bound{1000};
constexpr std::size_t max_reads_per_s = 2000;

struct model_call {
    base::time_point response = base::time_point::max();
    bool waits = false;
};

struct model_host {
    std::size_t domain = 0;
    std::size_t rank = 0; ///< Among the hosts of its failure domain.
    contact::store_contact contact;
    contact::call_id last_id = 0;
    std::map<contact::call_id, model_call> calls;
    std::vector<std::pair<base::time_point, base::time_point>> probes; ///< Sent, answered.
    base::time_point next_poll{};
    base::time_point heard_at =
        base::time_point::max();      ///< A message tells that the store is back.
    base::time_point next_question{}; ///< Of a host that asks those that call the store.
    base::time_point in_force_at = base::time_point::max();
};

struct silence {
    base::time_point begin;
    base::time_point end;
    base::time_point change; ///< The operator's change is confirmed.
    base::duration latency{20ms};
};

class fleet_model {
public:
    fleet_model(std::size_t hosts, std::size_t domains, silence of_store, unsigned seed)
        : m_store(of_store), m_random(seed)
    {
        for (std::size_t i = 0; i < hosts; ++i) {
            model_host host;
            host.domain = i % domains;
            host.rank = i / domains;
            host.next_poll = start + random_time(poll_pause);
            host.next_question = start + random_time(refused_pause);
            m_hosts.push_back(host);
        }
        for (model_host& host : m_hosts) {
            if (host.rank == 0) {
                send(host, start, change_wait);
            }
        }
    }

    /// Runs until the change is in force on all hosts; returns how long that took after the change.
    base::duration run()
    {
        base::time_point now = start;
        while (!is_in_force_everywhere() && now < m_store.end + 20s) {
            for (model_host& host : m_hosts) {
                if (host.rank < fleet::max_store_callers) {
                    advance(host, now);
                } else {
                    ask_callers(host, now);
                }
            }
            now += step;
        }
        return now - m_store.change;
    }

    /// The most calls to the store of all hosts in one second.
    std::size_t most_calls() const
    {
        std::size_t most = 0;
        for (const auto& [second, count] : m_calls) {
            most = std::max(most, count);
        }
        return most;
    }

private:
    base::duration random_time(base::duration most)
    {
        return base::duration(
            static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(most.count())));
    }

    bool is_in_force_everywhere() const
    {
        return std::all_of(m_hosts.begin(), m_hosts.end(), [](const model_host& host) {
            return host.in_force_at < base::time_point::max();
        });
    }

    base::time_point response_time(const model_host& host, base::time_point sent,
                                   base::duration wait)
    {
        ++m_calls[std::chrono::floor<std::chrono::seconds>(sent.time_since_epoch()).count()];
        // A call that waits ends with the change, unless the host has it already.
        const bool ends_sooner = sent + wait > m_store.change && host.in_force_at > sent;
        const base::time_point due = ends_sooner ? std::max(sent, m_store.change) : sent + wait;
        const bool is_lost = sent < m_store.end && due + m_store.latency >= m_store.begin;
        return is_lost ? base::time_point::max() : due + m_store.latency;
    }

    void send(model_host& host, base::time_point now, base::duration wait)
    {
        contact::on_call_sent(host.contact, ++host.last_id, wait, now);
        host.calls[host.last_id] = {response_time(host, now, wait), wait.count() > 0};
    }

    void advance(model_host& host, base::time_point now)
    {
        receive(host, now);
        if (host.heard_at <= now) {
            host.heard_at = base::time_point::max();
            contact::on_peer_contact(host.contact, now);
        }
        const bool was_silent = host.contact.silent_since.has_value();
        if (!was_silent && contact::has_lost_call(host.contact, now)) {
            contact::begin_silence(host.contact, now);
            host.calls.clear();
        }
        if (contact::should_probe(host.contact, now)) {
            contact::on_probe_sent(host.contact, host.rank, now);
            host.probes.emplace_back(now, response_time(host, now, {}));
        }
        if (host.rank > 0 && !host.contact.silent_since.has_value() &&
            m_hosts[host.domain].in_force_at <= now) {
            host.in_force_at = std::min(host.in_force_at, now); // Pushed by the reader.
        }
        // Hosts after the first call the store themselves once their reader has lost it.
        const bool polls = host.rank == 0 || is_reader_silent(host);
        if (!host.contact.silent_since.has_value() && polls && now >= host.next_poll) {
            send(host, now, {});
            host.next_poll = now + poll_pause;
        }
    }

    void receive(model_host& host, base::time_point now)
    {
        const auto calls = host.calls;
        for (const auto& [id, call] : calls) {
            if (call.response > now) {
                continue;
            }
            host.calls.erase(id);
            contact::on_response(host.contact, id, now);
            learn(host, now);
            if (call.waits) {
                send(host, now, change_wait);
            }
        }
        const auto probes = host.probes;
        for (const auto& [sent, response] : probes) {
            if (response <= now && host.contact.silent_since.has_value()) {
                host.probes.clear();
                contact::end_silence(host.contact, sent, now);
                for (int table = 0; table < 3; ++table) {
                    send(host, now, {});
                }
                send(host, now, change_wait);
                tell_others(host, now);
            }
        }
    }

    void learn(model_host& host, base::time_point now)
    {
        if (now >= m_store.change + m_store.latency) {
            host.in_force_at = std::min(host.in_force_at, now);
        }
    }

    void tell_others(const model_host& from, base::time_point now)
    {
        if (from.rank != 0) {
            return;
        }
        std::size_t told = 0;
        const auto tell = [&](model_host& to) {
            to.heard_at = std::min(to.heard_at, now + message_time);
            ++told;
        };
        for (model_host& near : m_hosts) {
            if (near.domain == from.domain) {
                tell(near);
            }
        }
        while (told < std::min(max_messages, m_hosts.size())) {
            tell(m_hosts[m_random() % m_hosts.size()]);
        }
    }

    bool is_reader_silent(const model_host& host) const
    {
        return m_hosts[host.domain].contact.silent_since.has_value();
    }

    void ask_callers(model_host& host, base::time_point now)
    {
        if (host.in_force_at < base::time_point::max() || now < host.next_question) {
            return;
        }
        host.next_question = now + refused_pause;
        for (const model_host& caller : m_hosts) {
            if (caller.domain == host.domain && caller.rank < fleet::max_store_callers &&
                caller.in_force_at <= now) {
                host.in_force_at = now;
            }
        }
    }

    silence m_store;
    std::mt19937 m_random;
    std::vector<model_host> m_hosts;
    std::map<std::int64_t, std::size_t> m_calls; ///< To the store, by second.
};

} // namespace

// Guards against a fleet that learns of the end of a silence late, or that calls the store with all
// hosts at once.
TEST_CASE("a change confirmed after a silence is in force on all hosts within a second")
{
    struct fleet_size {
        std::size_t hosts = 0;
        std::size_t domains = 0;
    };
    for (const fleet_size fleet : {fleet_size{12, 6}, fleet_size{76, 6}, fleet_size{1000, 22}}) {
        for (const auto length : {1500ms, 3000ms, 4000ms, 5300ms, 8100ms, 20000ms}) {
            for (const auto change : {0ms, 60ms, 300ms}) {
                CAPTURE(fleet.hosts);
                CAPTURE(length.count());
                CAPTURE(change.count());
                const base::time_point begin = start + 5s;
                const base::time_point end = begin + length;
                fleet_model model(fleet.hosts, fleet.domains, {begin, end, end + change}, 7);
                CHECK(model.run() <= in_force_bound);
                CHECK(model.most_calls() <= max_reads_per_s);
            }
        }
    }
}

TEST_CASE("a silence that comes again every few seconds is no different")
{
    for (const auto moment : {0ms, 130ms, 350ms, 520ms, 690ms}) {
        CAPTURE(moment.count());
        const base::time_point begin = start + 3s + moment;
        fleet_model model(12, 6, {begin, begin + 2500ms, begin + 2510ms}, 11);
        CHECK(model.run() <= in_force_bound);
    }
}

TEST_CASE("a store that responds after 2.4 s delivers changes, and is not taken for a silent one")
{
    fleet_model model(12, 6, {start + 3s, start + 6s, start + 12s, 2400ms}, 13);
    CHECK(model.run() <= 2400ms + in_force_bound);
}
