/// @file State of a client; internal to the module.
#pragma once

#include "http/client.h"
#include "http/internal/h2o.h"

#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace snipeshore::http {

class call_state;

/// Connections to one address.
struct peer {
    std::string address;
    h2o_socketpool_t pool{};
    std::size_t active = 0; ///< Calls that use a connection or are opening one.
    std::deque<std::shared_ptr<call_state>> queue;
    bool is_dequeue_scheduled = false;
};

using shared_pool = std::shared_ptr<h2o_socketpool_t>;

/// Outlives the `client` while a callback of one of its calls is running.
struct client::impl : std::enable_shared_from_this<client::impl> {
    impl(loop& owner, client_settings settings);
    ~impl();
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;
    impl(impl&&) = delete;
    impl& operator=(impl&&) = delete;

    void admit(const std::shared_ptr<call_state>& call);

    /// Removes the call. If it was active, queued calls are started in the next round of the loop.
    void release(call_state& call);

    /// Makes an empty pool for one call, so that the call opens a connection.
    shared_pool make_pool(const peer& to) const;

    /// Limits the idle timeout of the peer's connections, so that they are closed before the time
    /// that the peer has announced.
    void limit_idle_time(const std::string& address, std::chrono::seconds announced);

    /// Size of the receive buffer of a connection whose call is started now.
    int receive_buffer_bytes() const;

    /// Cancels all calls when the `client` is destroyed.
    void shut_down();

    loop& owner;
    client_settings settings;
    h2o_http1client_ctx_t context{};
    bool is_shut_down = false;

private:
    peer* find_peer(const std::string& address);
    void remove_unused_peers();
    void schedule_dequeue(peer& which);
    void start_queued_calls(const std::string& address);

    h2o_timeout_t m_io_timeout{};
    std::unordered_map<std::string, std::unique_ptr<peer>> m_peers;
    std::unordered_set<std::shared_ptr<call_state>> m_calls;
};

} // namespace snipeshore::http
