/// @file RPC endpoint of one process: server and client of the inner protocol on a thread of its
/// own.
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
    std::string listen_address;   ///< "ip:port"; empty: client only. Port 0 picks a free one.
    std::string certificate_file; ///< PEM of this process; empty: no TLS.
    std::string key_file;
    std::string authority_file;   ///< PEM of the fleet's authority; peers are checked against it.
    bool allow_plaintext = false; ///< Allows addresses other than loopback without TLS.
    std::size_t max_calls_per_peer = 64; ///< More calls to one peer are refused as `overloaded`.
    std::size_t max_server_calls = 1024; ///< More calls being answered are refused as `overloaded`.
    std::size_t max_message_bytes = 32U << 20U; ///< A longer message ends its connection.
    std::size_t max_inbound_connections = 1024;
    std::function<void(std::function<void()>)> post; ///< Runs work on the owner's thread.
};

template <typename Reply>
using reply_callback = std::function<void(base::result<Reply>)>;

/// Runs a Cap'n Proto event loop on its own thread. Calls may be made from the owner's thread;
/// replies and service calls come through `node_settings::post`. A reply after the deadline is
/// dropped: the callback gets `peer_unavailable` exactly once at the deadline. Connections are kept
/// per address and opened again after a failure. A call that fails with `peer_unavailable` or
/// `internal` may have run at the peer.
class node {
public:
    explicit node(node_settings settings);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    node(node&&) = delete;
    node& operator=(node&&) = delete;

    /// Binds and starts the thread. Either service may be empty.
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

    /// Stops the thread; no callback comes afterwards. For the owner's thread.
    void stop();

    /// Test switch: loses calls to these addresses and their replies, as a cut link would, and
    /// calls from them. A caller is known by its socket address, and in `exchange` and `probe` also
    /// by the agent address in its record. `is_blocked` is called on the node's thread.
    void set_link_filter(std::function<bool(const std::string& address)> is_blocked);

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace snipeshore::inner
