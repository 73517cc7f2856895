/// @file Server side: accepts connections and hands calls to the owner's thread.
#pragma once

#include "base/result.h"
#include "inner/internal/connection.h"
#include "inner/internal/link_filter.h"
#include "inner/internal/task_failures.h"
#include "inner/service.h"

#include <inner.capnp.h>
#include <kj/async-io.h>
#include <kj/compat/tls.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace snipeshore::inner {

class work_queue;

/// Belongs to the event loop's thread.
class rpc_server {
public:
    struct context {
        kj::Timer& timer;
        kj::TlsContext* tls = nullptr;
        const link_filter* filter = nullptr;
        connection_limits limits;
        std::size_t max_calls = 0;
        std::size_t max_connections = 0;
        std::shared_ptr<work_queue> queue;               ///< Brings replies to this thread.
        std::function<void(std::function<void()>)> post; ///< Runs work on the owner's thread.
    };

    rpc_server(context settings, agent_service agent, entry_service entry);
    ~rpc_server();
    rpc_server(const rpc_server&) = delete;
    rpc_server& operator=(const rpc_server&) = delete;
    rpc_server(rpc_server&&) = delete;
    rpc_server& operator=(rpc_server&&) = delete;

    void listen(kj::Own<kj::ConnectionReceiver> receiver);

    /// Runs `invoke` on the owner's thread. The promise is broken with the error that it replies.
    template <typename Reply>
    kj::Promise<Reply> serve(std::function<void(reply_sender<Reply>)> invoke);

    bool blocks(const std::string& address) const
    {
        return m_context.filter->blocks(address);
    }

    const agent_service& agent() const
    {
        return m_agent;
    }

    const entry_service& entry() const
    {
        return m_entry;
    }

private:
    struct pending_call;
    template <typename Reply>
    struct typed_call;
    template <typename Reply>
    struct reply_slot;

    template <typename Reply>
    void finish(std::uint64_t call, base::result<Reply> outcome);
    kj::Promise<void> accept_next();
    kj::Promise<void> serve_connection(kj::Own<kj::AsyncIoStream> stream);

    context m_context;
    agent_service m_agent;
    entry_service m_entry;
    std::uint64_t m_next_call = 1;
    std::unordered_map<std::uint64_t, std::unique_ptr<pending_call>> m_calls;
    std::size_t m_connections = 0;
    kj::Own<kj::ConnectionReceiver> m_receiver;
    task_failures m_task_failures;
    kj::TaskSet m_tasks;
};

} // namespace snipeshore::inner
