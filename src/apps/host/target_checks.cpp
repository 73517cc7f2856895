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

void target_checks::start(const base::target_id& target, const std::string& address,
                          std::function<void(retries::liveness)> done)
{
    if (m_calls.contains(target) || m_calls.size() >= max_checks) {
        return;
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
    callbacks.on_end = [this, target, done = std::move(done)](const http::call_end& end) {
        // The call must not be destroyed within its own callback.
        m_loop.schedule(base::boot_clock::now(), [this, target] { m_calls.erase(target); });
        done(judge(end.outcome));
    };
    m_calls[target] = m_client.send(std::move(request), std::move(callbacks));
}

} // namespace snipeshore::apps
