/// @file Client side: one connection per peer address.
#pragma once

#include "base/result.h"
#include "base/time.h"
#include "inner/internal/connection.h"
#include "inner/internal/errors.h"
#include "inner/internal/link_filter.h"
#include "inner/internal/task_failures.h"

#include <inner.capnp.h>
#include <kj/async-io.h>
#include <kj/compat/tls.h>
#include <kj/timer.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace snipeshore::inner {

/// Belongs to the event loop's thread. A connection is opened by the first call to an address, and
/// dropped after a failure, after `idle_limit` without calls, or when a call's deadline passes and
/// nothing came from the peer for `silence_limit`; the next call opens a new one.
class peer_table {
public:
    struct context {
        kj::Network& network;
        kj::Timer& timer;
        kj::TlsContext* tls = nullptr;
        const link_filter* filter = nullptr;
        connection_limits limits;
        bool allow_plaintext = false;
    };

    explicit peer_table(context settings);

    template <typename Reply>
    using start_call = std::function<kj::Promise<Reply>(rpc::Node::Client&)>;

    /// Calls `done` exactly once, unless the table is destroyed before.
    template <typename Reply>
    void call(const std::string& address, base::time_point deadline, const start_call<Reply>& start,
              std::function<void(base::result<Reply>)> done)
    {
        auto peer = open(address);
        if (!base::is_ok(peer)) {
            done(base::error_of(peer));
            return;
        }
        call_peer<Reply>({address, base::value_of(peer)}, deadline, start, std::move(done));
    }

    std::size_t open_connections() const
    {
        return m_peers.size();
    }

private:
    struct peer {
        std::uint64_t generation = 0;
        bool opened = false; ///< Whether `client` is set; a cut link opens nothing.
        std::size_t calls = 0;
        kj::TimePoint last_call = kj::origin<kj::TimePoint>();
        kj::TimePoint last_heard = kj::origin<kj::TimePoint>();
        rpc::Node::Client client = nullptr;
        kj::Own<connection> link;
        kj::Promise<void> disconnect = nullptr;
    };

    /// Names one connection; a later one to the same address has another generation.
    struct peer_key {
        std::string address;
        std::uint64_t generation = 0;
    };

    template <typename Reply>
    void call_peer(const peer_key& key, base::time_point deadline, const start_call<Reply>& start,
                   std::function<void(base::result<Reply>)> done)
    {
        using outcome = base::result<Reply>;
        begin_call(key);
        auto timeout = expire_at(deadline).then([key]() -> outcome { return late(key.address); });
        // A cut link loses the call, so only the deadline ends it.
        auto reply = m_context.filter->blocks(key.address)
                         ? kj::Promise<outcome>(kj::NEVER_DONE)
                         : kj::evalNow([&]() {
                               return start(m_peers.at(key.address).client);
                           }).then([this, key, deadline](Reply&& got) -> kj::Promise<outcome> {
                               if (m_context.filter->blocks(key.address)) {
                                   return kj::NEVER_DONE;
                               }
                               heard(key);
                               // After a pause of the process a reply and its deadline are both
                               // due.
                               if (base::boot_clock::now() >= deadline) {
                                   return outcome(late(key.address));
                               }
                               return outcome(std::move(got));
                           });
        m_tasks.add(reply.exclusiveJoin(kj::mv(timeout))
                        .then(
                            [this, key, done](outcome&& result) {
                                end_call(key, !base::is_ok(result));
                                done(std::move(result));
                            },
                            [this, key, done](kj::Exception&& exception) {
                                end_call_failed(key, exception);
                                done(to_error(exception));
                            }));
    }

    static base::error late(const std::string& address);
    base::result<std::uint64_t> open(const std::string& address);
    base::status check(const std::string& address) const;
    kj::Promise<void> expire_at(base::time_point deadline);
    kj::Promise<kj::Own<connection>> connect(const std::string& address);
    rpc::Node::Client client_of(const peer_key& key);
    void begin_call(const peer_key& key);
    void end_call(const peer_key& key, bool deadline_passed);
    void end_call_failed(const peer_key& key, const kj::Exception& exception);
    void heard(const peer_key& key);
    void drop_later(peer_key key);
    void drop(const peer_key& key);
    peer* find(const peer_key& key);
    kj::Promise<void> close_idle();

    context m_context;
    std::uint64_t m_next_generation = 1;
    std::map<std::string, peer> m_peers;
    task_failures m_task_failures;
    kj::TaskSet m_tasks; // Destroyed before the peers that its calls use.
};

} // namespace snipeshore::inner
