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

/// Responses of health and load endpoints are small; larger ones are treated as errors.
constexpr std::size_t max_response_bytes = 16384;

using fetch_result = base::result<std::pair<http::response_head, std::string>>;

/// A target, the timer of its next poll, and the poll in progress.
struct poll_state {
    polled_target target;
    http::timer_id timer = 0;
    std::unique_ptr<http::client_call> health_call;
    std::unique_ptr<http::client_call> load_call;
    poll_report report;
};

bool has_same_endpoints(const polled_target& a, const polled_target& b)
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
    impl(http::loop& loop, http::client& client, poller_settings wanted, report_callback callback)
        : event_loop(loop), http_client(client), settings(wanted), on_report(std::move(callback))
    {}

    http::loop& event_loop;
    http::client& http_client;
    poller_settings settings;
    report_callback on_report;
    std::unordered_map<base::target_id, poll_state> targets;

    void set_targets(const std::vector<polled_target>& wanted);
    void remove_obsolete(const std::vector<polled_target>& wanted);
    void schedule(poll_state& poll, std::chrono::milliseconds delay);
    base::duration poll_timeout() const;
    void start_poll(const base::target_id& id);
    void on_health_response(const base::target_id& id, const fetch_result& outcome);
    void on_load_response(const base::target_id& id, const fetch_result& outcome);
    void end_poll(const base::target_id& id);
    void stop();
};

void poller::impl::set_targets(const std::vector<polled_target>& wanted)
{
    remove_obsolete(wanted);
    for (const polled_target& wanted_target : wanted) {
        const auto [entry, is_new] = targets.try_emplace(wanted_target.target);
        if (!is_new) {
            continue;
        }
        entry->second.target = wanted_target;
        const auto offset = base::stable_hash(wanted_target.target.value()) %
                            static_cast<std::uint64_t>(settings.interval.count());
        schedule(entry->second, std::chrono::milliseconds(offset));
    }
}

void poller::impl::remove_obsolete(const std::vector<polled_target>& wanted)
{
    std::unordered_map<base::target_id, const polled_target*> by_id;
    for (const polled_target& wanted_target : wanted) {
        by_id.emplace(wanted_target.target, &wanted_target);
    }
    std::erase_if(targets, [&](const auto& entry) {
        const auto found = by_id.find(entry.first);
        if (found != by_id.end() && has_same_endpoints(*found->second, entry.second.target)) {
            return false;
        }
        event_loop.cancel(entry.second.timer);
        return true;
    });
}

void poller::impl::schedule(poll_state& poll, std::chrono::milliseconds delay)
{
    poll.timer = event_loop.schedule(base::boot_clock::now() + delay,
                                     [weak = weak_from_this(), id = poll.target.target] {
                                         if (const auto self = weak.lock()) {
                                             self->start_poll(id);
                                         }
                                     });
}

base::duration poller::impl::poll_timeout() const
{
    // A poll that takes longer than the interval would be replaced by the next one without a
    // report.
    return std::min(settings.timeout, settings.interval);
}

void poller::impl::start_poll(const base::target_id& id)
{
    const auto found = targets.find(id);
    if (found == targets.end()) {
        return;
    }
    poll_state& poll = found->second;
    schedule(poll, settings.interval);
    const auto now = base::boot_clock::now();
    poll.report = {};
    poll.report.target = id;
    poll.report.sent_at = now;
    poll.health_call = http_client.fetch(
        make_request(poll.target, poll.target.health_path, now + poll_timeout()),
        max_response_bytes, [this, id](const fetch_result& outcome, bool /*request_sent*/) {
            on_health_response(id, outcome);
        });
}

void poller::impl::on_health_response(const base::target_id& id, const fetch_result& outcome)
{
    poll_state& poll = targets.at(id);
    const auto now = base::boot_clock::now();
    poll.report.health_latency = now - poll.report.sent_at;
    if (!base::is_ok(outcome)) {
        poll.report.detail = base::error_of(outcome).detail;
        end_poll(id);
        return;
    }
    const auto& [head, body] = base::value_of(outcome);
    poll.report.health = read_health(head, body);
    poll.load_call = http_client.fetch(
        make_request(poll.target, poll.target.load_path, poll.report.sent_at + poll_timeout()),
        max_response_bytes, [this, id](const fetch_result& result, bool /*request_sent*/) {
            on_load_response(id, result);
        });
}

void poller::impl::on_load_response(const base::target_id& id, const fetch_result& outcome)
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
    const auto self = shared_from_this();
    const poll_report report = targets.at(id).report;
    const auto callback = on_report;
    if (callback) {
        callback(report);
    }
}

void poller::impl::stop()
{
    on_report = nullptr;
    for (const auto& [id, poll] : targets) {
        event_loop.cancel(poll.timer);
    }
    targets.clear();
}

poller::poller(http::loop& loop, http::client& client, poller_settings settings,
               report_callback on_report)
    : m_impl(std::make_shared<impl>(loop, client, settings, std::move(on_report)))
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
