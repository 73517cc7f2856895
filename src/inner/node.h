/// @file RPC endpoint of a process: server and client of the inner protocol, the RPC protocol
/// between the processes of the fleet.
#pragma once

#include "base/result.h"
#include "base/time.h"
#include "inner/service.h"
#include "inner/types/messages.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace snipeshore::inner {

struct node_settings {
    std::string listen_address;   ///< "ip:port", with port 0 for any free port; empty: client only.
    std::string certificate_file; ///< PEM certificate of this process; empty: no TLS.
    std::string key_file;
    std::string authority_file; ///< PEM certificate of the authority that signs peer certificates.
    bool allow_plaintext = false;        ///< Allow non-loopback addresses without TLS.
    std::size_t max_calls_per_peer = 64; ///< Further calls to one peer fail with `overloaded`.
    std::size_t max_server_calls = 1024; ///< Further incoming calls fail with `overloaded`.
    std::size_t max_message_bytes = 32U << 20U; ///< A longer message closes its connection.
    std::size_t max_inbound_connections = 1024;
    std::function<void(std::function<void()>)> post; ///< Runs a function on the owner's thread.
};

template <typename Reply>
using reply_callback = std::function<void(base::result<Reply>)>;

/// Runs a Cap'n Proto event loop on its own thread. Member functions are called on the owner's
/// thread; replies and incoming calls are delivered there through `node_settings::post`. If there
/// is no reply by the deadline, the callback gets `peer_unavailable`, and a later reply is dropped;
/// the callback runs once. There is one connection per address, which is opened again after a
/// failure. A call that fails with `peer_unavailable` or `internal` may have run at the peer.
class node {
public:
    explicit node(node_settings settings);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    node(node&&) = delete;
    node& operator=(node&&) = delete;

    /// Binds the listen address and starts the thread. Either service may be empty.
    base::status start(agent_service agent, entry_service entry);

    std::string bound_address() const;

    void watch(const std::string& address, cursor from, process_report report,
               base::time_point deadline, reply_callback<snapshot> done);
    void exchange(const std::string& address, exchange_request request, base::time_point deadline,
                  reply_callback<exchange_reply> done);
    void push(const std::string& address, push_request request, base::time_point deadline,
              reply_callback<empty_reply> done);
    void probe(const std::string& address, host_record sender, base::time_point deadline,
               reply_callback<host_record> done);

    void borrow(const std::string& address, borrow_request request, base::time_point deadline,
                reply_callback<borrow_reply> done);
    void give_back(const std::string& address, std::uint64_t loan, base::time_point deadline,
                   reply_callback<empty_reply> done);
    void claim(const std::string& address, claim_request request, base::time_point deadline,
               reply_callback<claim_reply> done);
    void complete(const std::string& address, complete_request request, base::time_point deadline,
                  reply_callback<empty_reply> done);
    void release(const std::string& address, release_request request, base::time_point deadline,
                 reply_callback<empty_reply> done);
    void report_crash(const std::string& address, crash_report report, base::time_point deadline,
                      reply_callback<empty_reply> done);
    void report_success(const std::string& address, std::vector<std::uint64_t> fingerprints,
                        base::time_point deadline, reply_callback<empty_reply> done);

    /// Stops the thread. No callback runs afterwards. Must be called on the owner's thread.
    void stop();

    /// Simulates a network partition in tests: drops calls to blocked addresses, their replies, and
    /// calls from blocked addresses. A caller is identified by its socket address and, in
    /// `exchange` and `probe`, also by the agent address in its record. `is_blocked` runs on the
    /// node's thread.
    void set_link_filter(std::function<bool(const std::string& address)> is_blocked);

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace snipeshore::inner
