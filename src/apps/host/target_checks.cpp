#include "apps/host/target_checks.h"

#include "base/time.h"
#include "http/client.h"
#include "http/loop.h"

#include <chrono>
#include <utility>

namespace snipeshore::apps {

namespace {

/// Shorter than the connect timeout: a lost packet or a busy link is no evidence.
constexpr std::chrono::milliseconds check_timeout{300};

constexpr std::size_t max_checks = 64;

retries::liveness judge(const base::status& outcome)
{
    // The call is given up when the connection is there.
    const bool is_connected =
        !base::is_ok(outcome) && base::error_of(outcome).kind == base::error_kind::cancelled;
    return is_connected ? retries::liveness::running : retries::liveness_after(outcome);
}

} // namespace

target_checks::target_checks(http::loop& loop, http::client& client)
    : m_loop(loop), m_client(client)
{}

target_checks::~target_checks() = default;

bool target_checks::start(const base::target_id& target, const std::string& address,
                          std::function<void(retries::liveness)> done)
{
    const auto running = m_checks.find(target);
    if (running != m_checks.end()) {
        running->second.waiting.push_back(std::move(done));
        return true;
    }
    if (m_checks.size() >= max_checks) {
        return false;
    }
    http::client_request request;
    request.address = address;
    request.head = {"GET", "/", address, {}};
    request.deadline = base::boot_clock::now() + check_timeout;
    request.needs_new_connection = true;
    request.before_write = [](http::request_head&) {
        return false;
    };
    http::call_callbacks callbacks;
    callbacks.on_end = [this, target](const http::call_end& end) {
        on_end(target, judge(end.outcome));
    };
    check& started = m_checks[target];
    started.waiting.push_back(std::move(done));
    started.call = m_client.send(std::move(request), std::move(callbacks));
    return true;
}

void target_checks::on_end(const base::target_id& target, retries::liveness found)
{
    check& ended = m_checks[target];
    // The call must not be destroyed within its own callback.
    const std::shared_ptr<http::client_call> call = std::move(ended.call);
    m_loop.schedule(base::boot_clock::now(), [call] {});
    const auto waiting = std::move(ended.waiting);
    m_checks.erase(target);
    for (const auto& done : waiting) {
        done(found);
    }
}

} // namespace snipeshore::apps
