#include "targets/poller.h"

#include "base/hash.h"
#include "base/time.h"
#include "http/client.h"
#include "http/loop.h"
#include "targets/response_signals.h"

#include <algorithm>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace snipeshore::targets {

namespace {

/// Answers of health and load endpoints are small; larger ones are refused.
constexpr std::size_t max_answer_bytes = 16384;

using fetch_result = base::result<std::pair<http::response_head, std::string>>;

/// Target with its poll in flight.
struct polled {
    polled_target target;
    http::timer_id timer = 0;
    std::unique_ptr<http::client_call> health_call;
    std::unique_ptr<http::client_call> load_call;
    poll_report report;
};

bool is_same(const polled_target& a, const polled_target& b)
{
    return a.address == b.address && a.authority == b.authority && a.health_path == b.health_path &&
           a.load_path == b.load_path;
}

http::client_request make_request(const polled_target& to, const std::string& path,
                                  base::time_point deadline)
{
    http::client_request request;
    request.address = to.address;
    request.head.method = "GET";
    request.head.path = path;
    request.head.authority = to.authority.empty() ? to.address : to.authority;
    request.deadline = deadline;
    return request;
}

} // namespace

struct poller::impl : std::enable_shared_from_this<poller::impl> {
    impl(http::loop& on, http::client& client, poller_settings wanted, report_callback callback)
        : owner(on), with(client), settings(wanted), on_report(std::move(callback))
    {}

    http::loop& owner;
    http::client& with;
    poller_settings settings;
    report_callback on_report;
    std::unordered_map<base::target_id, polled> targets;

    void set_targets(const std::vector<polled_target>& wanted);
    void remove_unwanted(const std::vector<polled_target>& wanted);
    void schedule(polled& one, std::chrono::milliseconds delay);
    base::duration longest_poll() const;
    void start_poll(const base::target_id& id);
    void health_answered(const base::target_id& id, const fetch_result& outcome);
    void load_answered(const base::target_id& id, const fetch_result& outcome);
    void end_poll(const base::target_id& id);
    void stop();
};

void poller::impl::set_targets(const std::vector<polled_target>& wanted)
{
    remove_unwanted(wanted);
    for (const polled_target& one : wanted) {
        const auto [at, is_new] = targets.try_emplace(one.target);
        if (!is_new) {
            continue;
        }
        at->second.target = one;
        const auto phase = base::stable_hash(one.target.value()) %
                           static_cast<std::uint64_t>(settings.interval.count());
        schedule(at->second, std::chrono::milliseconds(phase));
    }
}

void poller::impl::remove_unwanted(const std::vector<polled_target>& wanted)
{
    std::unordered_map<base::target_id, const polled_target*> by_id;
    for (const polled_target& one : wanted) {
        by_id.emplace(one.target, &one);
    }
    std::erase_if(targets, [&](const auto& entry) {
        const auto found = by_id.find(entry.first);
        if (found != by_id.end() && is_same(*found->second, entry.second.target)) {
            return false;
        }
        owner.cancel(entry.second.timer);
        return true;
    });
}

void poller::impl::schedule(polled& one, std::chrono::milliseconds delay)
{
    one.timer = owner.schedule(base::boot_clock::now() + delay,
                               [weak = weak_from_this(), id = one.target.target] {
                                   if (const auto self = weak.lock()) {
                                       self->start_poll(id);
                                   }
                               });
}

base::duration poller::impl::longest_poll() const
{
    // A poll that outlasts the interval would be replaced by the next without a report.
    return std::min(settings.timeout, settings.interval);
}

void poller::impl::start_poll(const base::target_id& id)
{
    const auto found = targets.find(id);
    if (found == targets.end()) {
        return;
    }
    polled& one = found->second;
    schedule(one, settings.interval);
    const auto now = base::boot_clock::now();
    one.report = {};
    one.report.target = id;
    one.report.sent_at = now;
    one.health_call = with.fetch(
        make_request(one.target, one.target.health_path, now + longest_poll()), max_answer_bytes,
        [this, id](const fetch_result& outcome, bool /*request_sent*/) {
            health_answered(id, outcome);
        });
}

void poller::impl::health_answered(const base::target_id& id, const fetch_result& outcome)
{
    polled& one = targets.at(id);
    const auto now = base::boot_clock::now();
    one.report.health_latency = now - one.report.sent_at;
    if (!base::is_ok(outcome)) {
        one.report.detail = base::error_of(outcome).detail;
        end_poll(id);
        return;
    }
    const auto& [head, body] = base::value_of(outcome);
    one.report.health = read_health(head, body);
    one.load_call = with.fetch(
        make_request(one.target, one.target.load_path, one.report.sent_at + longest_poll()),
        max_answer_bytes, [this, id](const fetch_result& result, bool /*request_sent*/) {
            load_answered(id, result);
        });
}

void poller::impl::load_answered(const base::target_id& id, const fetch_result& outcome)
{
    if (base::is_ok(outcome)) {
        const auto& [head, body] = base::value_of(outcome);
        targets.at(id).report.load = read_load(head, body);
    }
    end_poll(id);
}

void poller::impl::end_poll(const base::target_id& id)
{
    // The callback may replace the targets or destroy the poller.
    const auto keep = shared_from_this();
    const poll_report report = targets.at(id).report;
    const auto callback = on_report;
    if (callback) {
        callback(report);
    }
}

void poller::impl::stop()
{
    on_report = nullptr;
    for (const auto& [id, one] : targets) {
        owner.cancel(one.timer);
    }
    targets.clear();
}

poller::poller(http::loop& on, http::client& with, poller_settings settings,
               report_callback on_report)
    : m_impl(std::make_shared<impl>(on, with, settings, std::move(on_report)))
{}

poller::~poller()
{
    m_impl->stop();
}

void poller::set_targets(const std::vector<polled_target>& wanted)
{
    m_impl->set_targets(wanted);
}

} // namespace snipeshore::targets
