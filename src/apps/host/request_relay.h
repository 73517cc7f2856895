/// @file Relays requests through other hosts while this host reaches no target.
#pragma once

#include "base/types/ids.h"
#include "fleet/types/member.h"

#include <cstddef>
#include <map>
#include <memory>
#include <unordered_set>
#include <vector>

namespace snipeshore::http {
class exchange;
}

namespace snipeshore::routing {
struct account;
struct route;
} // namespace snipeshore::routing

namespace snipeshore::apps {

class relay_task;
struct host_context;

/// Belongs to the loop's thread. A request is relayed once: the host that it arrives at sends it to
/// a target or refuses it.
class request_relay {
public:
    request_relay(host_context& context, const fleet::member& self);
    ~request_relay();
    request_relay(const request_relay&) = delete;
    request_relay& operator=(const request_relay&) = delete;
    request_relay(request_relay&&) = delete;
    request_relay& operator=(request_relay&&) = delete;

    /// Relays a new request if this host is cut from the targets. Returns false if the request is
    /// to be handled by this host, also because it would refuse the request.
    bool take(const std::shared_ptr<http::exchange>& exchange);

    /// Takes over a request that no target has received from this host. Returns false if no host
    /// can relay it.
    bool take_over(const std::shared_ptr<http::exchange>& exchange, const routing::route& route,
                   const routing::account* account);

    /// Handles a request that another host relays: passes it on or refuses it, so that the other
    /// host tries a further one.
    void receive(const std::shared_ptr<http::exchange>& request);

    bool is_idle() const;
    void end_by_stop();

    // For the tasks.
    std::size_t open_calls(const base::host_id& host) const;
    void on_call_started(const base::host_id& host);
    void on_call_ended(const base::host_id& host);
    void remove(const std::shared_ptr<relay_task>& task);

private:
    /// Hosts that reach targets in regions where the request may run.
    std::vector<fleet::member> find_hosts(const routing::route& route,
                                          const routing::account* account) const;

    host_context& m_context;
    const fleet::member& m_self;
    std::unordered_set<std::shared_ptr<relay_task>> m_tasks;
    std::map<base::host_id, std::size_t> m_open_calls;
};

} // namespace snipeshore::apps
