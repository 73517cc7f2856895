#include "inner/internal/rpc_server.h"

#include "base/ip_port.h"
#include "inner/internal/errors.h"
#include "inner/internal/wire.h"
#include "inner/internal/work_queue.h"

#include <sys/socket.h>

#include <atomic>
#include <utility>

namespace snipeshore::inner {

namespace {

// Gives the kernel time to free descriptors when accept fails because there are none left.
constexpr auto accept_retry_delay = 100 * kj::MILLISECONDS;

std::string peer_of(kj::AsyncIoStream& stream)
{
    sockaddr_storage storage{};
    kj::uint length = sizeof(storage);
    auto* const address = reinterpret_cast<sockaddr*>(&storage);
    const auto failed = kj::runCatchingExceptions([&]() { stream.getpeername(address, &length); });
    return failed == nullptr ? base::to_string(*address) : std::string();
}

template <typename Reply, typename Handler, typename... Args>
std::function<void(reply_sender<Reply>)> bind_call(const Handler& handler, Args... args)
{
    return [handler, ... args = std::move(args)](reply_sender<Reply> reply) {
        if (!handler) {
            reply(base::error{base::error_kind::not_found, "not served by this process"});
            return;
        }
        handler(args..., std::move(reply));
    };
}

/// Capability of one connection.
class node_capability final : public rpc::Node::Server {
public:
    node_capability(rpc_server& server, std::string peer)
        : m_server(server), m_peer(std::move(peer))
    {}
    virtual ~node_capability() noexcept(false) = default;
    node_capability(const node_capability&) = delete;
    node_capability& operator=(const node_capability&) = delete;
    node_capability(node_capability&&) = delete;
    node_capability& operator=(node_capability&&) = delete;

    kj::Promise<void> watch(WatchContext context) override
    {
        const auto params = context.getParams();
        return run<snapshot>(bind_call<snapshot>(m_server.agent().watch,
                                                 wire::read(params.getCursor()),
                                                 wire::read(params.getReport())))
            .then([context](snapshot&& reply) mutable {
                wire::write(context.getResults().initSnapshot(), reply);
            });
    }

    kj::Promise<void> exchange(ExchangeContext context) override
    {
        auto request = wire::read(context.getParams());
        const std::string from = request.sender.agent_address;
        return run<exchange_reply>(
                   bind_call<exchange_reply>(m_server.agent().exchange, std::move(request)), from)
            .then([context](exchange_reply&& reply) mutable {
                wire::write(context.getResults(), reply);
            });
    }

    kj::Promise<void> push(PushContext context) override
    {
        return run<empty_reply>(
                   bind_call<empty_reply>(m_server.agent().push, wire::read(context.getParams())))
            .ignoreResult();
    }

    kj::Promise<void> probe(ProbeContext context) override
    {
        auto sender = wire::read(context.getParams().getSender());
        const std::string from = sender.agent_address;
        return run<host_record>(bind_call<host_record>(m_server.agent().probe, std::move(sender)),
                                from)
            .then([context](host_record&& reply) mutable {
                wire::write(context.getResults().initRecord(), reply);
            });
    }

    kj::Promise<void> borrow(BorrowContext context) override
    {
        return run<borrow_reply>(bind_call<borrow_reply>(m_server.entry().borrow,
                                                         wire::read(context.getParams())))
            .then([context](borrow_reply&& reply) mutable {
                wire::write(context.getResults(), reply);
            });
    }

    kj::Promise<void> giveBack(GiveBackContext context) override
    {
        return run<empty_reply>(bind_call<empty_reply>(m_server.entry().give_back,
                                                       context.getParams().getLoan()))
            .ignoreResult();
    }

    kj::Promise<void> claim(ClaimContext context) override
    {
        return run<claim_reply>(
                   bind_call<claim_reply>(m_server.entry().claim, wire::read(context.getParams())))
            .then([context](claim_reply&& reply) mutable {
                wire::write(context.getResults(), reply);
            });
    }

    kj::Promise<void> complete(CompleteContext context) override
    {
        return run<empty_reply>(bind_call<empty_reply>(m_server.entry().complete,
                                                       wire::read(context.getParams())))
            .ignoreResult();
    }

    kj::Promise<void> release(ReleaseContext context) override
    {
        return run<empty_reply>(bind_call<empty_reply>(m_server.entry().release,
                                                       wire::read(context.getParams())))
            .ignoreResult();
    }

    kj::Promise<void> reportCrash(ReportCrashContext context) override
    {
        return run<empty_reply>(bind_call<empty_reply>(m_server.entry().report_crash,
                                                       wire::read(context.getParams())))
            .ignoreResult();
    }

    kj::Promise<void> reportSuccess(ReportSuccessContext context) override
    {
        return run<empty_reply>(
                   bind_call<empty_reply>(m_server.entry().report_success,
                                          wire::read(context.getParams().getFingerprints())))
            .ignoreResult();
    }

private:
    template <typename Reply>
    kj::Promise<Reply> run(std::function<void(reply_sender<Reply>)> invoke,
                           const std::string& sender_address = {})
    {
        if (m_server.blocks(m_peer) || m_server.blocks(sender_address)) {
            return kj::NEVER_DONE;
        }
        return m_server.serve<Reply>(std::move(invoke));
    }

    rpc_server& m_server;
    std::string m_peer;
};

} // namespace

struct rpc_server::pending_call {
    pending_call() = default;
    virtual ~pending_call() noexcept(false) = default; // As the destructors of kj are.
    pending_call(const pending_call&) = delete;
    pending_call& operator=(const pending_call&) = delete;
    pending_call(pending_call&&) = delete;
    pending_call& operator=(pending_call&&) = delete;
};

template <typename Reply>
struct rpc_server::typed_call : pending_call {
    kj::Own<kj::PromiseFulfiller<Reply>> fulfiller;
};

/// Shared by all copies of a `reply_sender`.
template <typename Reply>
struct rpc_server::reply_slot {
    reply_slot(rpc_server* owner, std::shared_ptr<work_queue> to, std::uint64_t id)
        : server(owner), queue(std::move(to)), call(id)
    {}

    ~reply_slot()
    {
        send(base::error{base::error_kind::internal, "the call was not answered"});
    }

    reply_slot(const reply_slot&) = delete;
    reply_slot& operator=(const reply_slot&) = delete;
    reply_slot(reply_slot&&) = delete;
    reply_slot& operator=(reply_slot&&) = delete;

    void send(base::result<Reply> outcome)
    {
        if (sent.exchange(true)) {
            return;
        }
        // The server is alive whenever the queue runs this: both belong to the loop's thread.
        queue->push([server = server, call = call, outcome = std::move(outcome)]() {
            server->finish<Reply>(call, outcome);
        });
    }

    std::atomic<bool> sent = false;
    rpc_server* server;
    std::shared_ptr<work_queue> queue;
    std::uint64_t call;
};

rpc_server::rpc_server(context settings, agent_service agent, entry_service entry)
    : m_context(std::move(settings)), m_agent(std::move(agent)), m_entry(std::move(entry)),
      m_tasks(m_task_failures)
{}

rpc_server::~rpc_server() = default;

void rpc_server::listen(kj::Own<kj::ConnectionReceiver> receiver)
{
    m_receiver = kj::mv(receiver);
    m_tasks.add(accept_next());
}

template <typename Reply>
kj::Promise<Reply> rpc_server::serve(std::function<void(reply_sender<Reply>)> invoke)
{
    if (m_calls.size() >= m_context.max_calls) {
        return to_exception({base::error_kind::overloaded, "too many calls at the peer"});
    }
    auto pair = kj::newPromiseAndFulfiller<Reply>();
    auto call = std::make_unique<typed_call<Reply>>();
    call->fulfiller = kj::mv(pair.fulfiller);
    const std::uint64_t id = m_next_call++;
    m_calls.emplace(id, std::move(call));
    auto slot = std::make_shared<reply_slot<Reply>>(this, m_context.queue, id);
    m_context.post([invoke = std::move(invoke), slot = std::move(slot)]() {
        invoke([slot](base::result<Reply> outcome) { slot->send(std::move(outcome)); });
    });
    return kj::mv(pair.promise);
}

template <typename Reply>
void rpc_server::finish(std::uint64_t call, base::result<Reply> outcome)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end()) {
        return;
    }
    auto& typed = static_cast<typed_call<Reply>&>(*found->second);
    if (base::is_ok(outcome)) {
        typed.fulfiller->fulfill(std::move(base::value_of(outcome)));
    } else {
        typed.fulfiller->reject(to_exception(base::error_of(outcome)));
    }
    m_calls.erase(found);
}

kj::Promise<void> rpc_server::accept_next()
{
    return m_receiver->accept().then(
        [this](kj::Own<kj::AsyncIoStream>&& stream) {
            // A connection over the limit is closed.
            if (m_connections < m_context.max_connections) {
                m_tasks.add(serve_connection(kj::mv(stream)));
            }
            return accept_next();
        },
        [this](kj::Exception&&) {
            return m_context.timer.afterDelay(accept_retry_delay).then([this]() {
                return accept_next();
            });
        });
}

kj::Promise<void> rpc_server::serve_connection(kj::Own<kj::AsyncIoStream> stream)
{
    ++m_connections;
    std::string peer = peer_of(*stream);
    auto ready = kj::evalNow([&]() -> kj::Promise<kj::Own<kj::AsyncIoStream>> {
        set_socket_options(*stream);
        if (m_context.tls == nullptr) {
            return kj::mv(stream);
        }
        return m_context.tls->wrapServer(kj::mv(stream));
    });
    return ready
        .then([this, peer = std::move(peer)](kj::Own<kj::AsyncIoStream>&& opened) mutable {
            rpc::Node::Client capability = kj::heap<node_capability>(*this, std::move(peer));
            auto link = kj::heap<connection>(kj::mv(opened), m_context.limits, kj::mv(capability));
            auto ended = link->network.onDisconnect();
            return ended.attach(kj::mv(link));
        })
        .attach(kj::defer([this]() { --m_connections; }));
}

} // namespace snipeshore::inner
