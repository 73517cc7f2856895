#include "inner/node.h"

#include "inner/internal/address.h"
#include "inner/internal/link_filter.h"
#include "inner/internal/peer_table.h"
#include "inner/internal/rpc_server.h"
#include "inner/internal/tls.h"
#include "inner/internal/wire.h"
#include "inner/internal/work_queue.h"

#include <kj/async-unix.h>

#include <csignal>

#include <future>
#include <optional>
#include <thread>
#include <unordered_map>
#include <utility>

namespace snipeshore::inner {

namespace {

base::error bad_setting(const std::string& detail)
{
    return {base::error_kind::bad_setting, detail};
}

/// State of the owner's thread, shared with work that is posted to it.
struct owner_state {
    bool running = false;
    std::unordered_map<std::string, std::size_t> calls; ///< In flight, per address.
};

template <typename Params, typename Results>
typename Params::Builder& params_of(capnp::Request<Params, Results>& request)
{
    return request;
}

template <typename Results>
const typename Results::Reader& results_of(const capnp::Response<Results>& response)
{
    return response;
}

void release_call(owner_state& owner, const std::string& address)
{
    const auto counted = owner.calls.find(address);
    if (counted != owner.calls.end() && --counted->second == 0) {
        owner.calls.erase(counted);
    }
}

/// Objects of the event loop's thread, in the order of their construction.
struct loop_state {
    explicit loop_state(kj::AsyncIoContext& context) : io(context) {}

    kj::AsyncIoContext& io;
    link_filter filter;
    kj::Own<kj::TlsContext> tls;
    std::optional<peer_table> peers;
    std::optional<rpc_server> server;
};

} // namespace

struct node::impl {
    explicit impl(node_settings given) : settings(std::move(given)) {}

    void run(std::promise<base::status>& started, agent_service agent, entry_service entry);
    base::status open(loop_state& state, agent_service agent, entry_service entry);
    base::status bind(loop_state& state);
    void drain();
    kj::Promise<void> drain_on_wake(kj::UnixEventPort::FdObserver& wake);
    void join();

    template <typename Reply>
    void call(const std::string& address, base::time_point deadline, reply_callback<Reply> done,
              peer_table::start_call<Reply> start);

    node_settings settings;
    std::string bound;
    std::shared_ptr<owner_state> owner = std::make_shared<owner_state>();
    std::shared_ptr<work_queue> queue = std::make_shared<work_queue>();
    loop_state* loop = nullptr; ///< Belongs to the event loop's thread.
    kj::Own<kj::PromiseFulfiller<void>> finish;
    std::thread thread;
};

base::status node::impl::bind(loop_state& state)
{
    if (settings.listen_address.empty()) {
        return std::monostate{};
    }
    auto address = base::parse_ip_port(settings.listen_address);
    if (!address) {
        return bad_setting("not an ip:port: " + settings.listen_address);
    }
    if (!is_loopback(*address) && state.tls.get() == nullptr && !settings.allow_plaintext) {
        return bad_setting("only loopback is allowed without TLS: " + settings.listen_address);
    }
    const auto failed = kj::runCatchingExceptions([&]() {
        auto parsed = state.io.provider->getNetwork()
                          .parseAddress(settings.listen_address.c_str())
                          .wait(state.io.waitScope);
        auto receiver = parsed->listen();
        address->port = static_cast<std::uint16_t>(receiver->getPort());
        state.server->listen(kj::mv(receiver));
    });
    KJ_IF_MAYBE (exception, failed) {
        return bad_setting("cannot listen on " + settings.listen_address + ": " +
                           exception->getDescription().cStr());
    }
    bound = base::to_string(*address);
    return std::monostate{};
}

base::status node::impl::open(loop_state& state, agent_service agent, entry_service entry)
{
    auto tls = make_tls(settings, state.io.provider->getTimer());
    if (!base::is_ok(tls)) {
        return base::error_of(tls);
    }
    state.tls = kj::mv(base::value_of(tls));
    const connection_limits limits{settings.max_message_bytes};
    state.peers.emplace(peer_table::context{state.io.provider->getNetwork(),
                                            state.io.provider->getTimer(), state.tls.get(),
                                            &state.filter, limits, settings.allow_plaintext});
    state.server.emplace(
        rpc_server::context{state.io.provider->getTimer(), state.tls.get(), &state.filter, limits,
                            settings.max_server_calls, settings.max_inbound_connections, queue,
                            [post = settings.post, owner = owner](std::function<void()> work) {
                                post([owner, work = std::move(work)]() {
                                    if (owner->running) {
                                        work();
                                    }
                                });
                            }},
        std::move(agent), std::move(entry));
    return bind(state);
}

void node::impl::drain()
{
    for (const auto& work : queue->take_all()) {
        // A failure of one call must not end the thread, which serves all others.
        kj::runCatchingExceptions([&]() { work(); });
    }
}

kj::Promise<void> node::impl::drain_on_wake(kj::UnixEventPort::FdObserver& wake)
{
    return wake.whenBecomesReadable().then([this, &wake]() {
        drain();
        return drain_on_wake(wake);
    });
}

void node::impl::run(std::promise<base::status>& started, agent_service agent, entry_service entry)
{
    auto io = kj::setupAsyncIo();
    loop_state state(io);
    base::status opened = open(state, std::move(agent), std::move(entry));
    const bool ok = base::is_ok(opened);
    auto exit = kj::newPromiseAndFulfiller<void>();
    finish = kj::mv(exit.fulfiller);
    loop = &state;
    started.set_value(std::move(opened));
    if (ok) {
        kj::UnixEventPort::FdObserver wake(io.unixEventPort, queue->wake_fd(),
                                           kj::UnixEventPort::FdObserver::OBSERVE_READ);
        drain();
        exit.promise.exclusiveJoin(drain_on_wake(wake)).wait(io.waitScope);
    }
    queue->close();
    loop = nullptr;
    finish = nullptr;
}

void node::impl::join()
{
    if (thread.joinable()) {
        queue->push([this]() { finish->fulfill(); });
        thread.join();
    }
}

template <typename Reply>
void node::impl::call(const std::string& address, base::time_point deadline,
                      reply_callback<Reply> done, peer_table::start_call<Reply> start)
{
    const auto fail = [&](base::error failure) {
        settings.post([owner = owner, done, failure = std::move(failure)]() {
            if (owner->running) {
                done(failure);
            }
        });
    };
    if (!owner->running) {
        return;
    }
    std::size_t& in_flight = owner->calls[address];
    if (in_flight >= settings.max_calls_per_peer) {
        fail({base::error_kind::overloaded, "too many calls to " + address});
        return;
    }
    ++in_flight;
    auto deliver = [post = settings.post, owner = owner, address,
                    done = std::move(done)](base::result<Reply> outcome) {
        post([owner, address, done, outcome = std::move(outcome)]() mutable {
            if (!owner->running) {
                return;
            }
            release_call(*owner, address);
            done(std::move(outcome));
        });
    };
    queue->push(
        [this, address, deadline, start = std::move(start), deliver = std::move(deliver)]() {
            loop->peers->call<Reply>(address, deadline, start, deliver);
        });
}

node::node(node_settings settings) : m_impl(std::make_unique<impl>(std::move(settings))) {}

node::~node()
{
    stop();
}

base::status node::start(agent_service agent, entry_service entry)
{
    if (m_impl->thread.joinable()) {
        return bad_setting("the node is already started");
    }
    std::promise<base::status> started;
    auto result = started.get_future();
    // Signals are for the program's main thread.
    sigset_t all{};
    sigset_t before{};
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before);
    m_impl->owner->running = true;
    m_impl->thread =
        std::thread([this, &started, agent = std::move(agent), entry = std::move(entry)]() mutable {
            m_impl->run(started, std::move(agent), std::move(entry));
        });
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
    auto status = result.get();
    if (!base::is_ok(status)) {
        m_impl->owner->running = false;
        m_impl->thread.join();
    }
    return status;
}

std::string node::bound_address() const
{
    return m_impl->bound;
}

void node::stop()
{
    m_impl->owner->running = false;
    m_impl->owner->calls.clear();
    m_impl->join();
}

void node::set_link_filter(std::function<bool(const std::string& address)> is_blocked)
{
    m_impl->queue->push([this, is_blocked = std::move(is_blocked)]() {
        m_impl->loop->filter.is_blocked = is_blocked;
    });
}

void node::watch(const std::string& address, cursor from, process_report report,
                 base::time_point deadline, reply_callback<snapshot> done)
{
    m_impl->call<snapshot>(
        address, deadline, std::move(done),
        [from = std::move(from), report = std::move(report)](rpc::Node::Client& peer) {
            auto request = peer.watchRequest();
            wire::write(params_of(request), from, report);
            return request.send().then(
                [](auto&& reply) { return wire::read(reply.getSnapshot()); });
        });
}

void node::exchange(const std::string& address, exchange_request request, base::time_point deadline,
                    reply_callback<exchange_reply> done)
{
    m_impl->call<exchange_reply>(
        address, deadline, std::move(done),
        [request = std::move(request)](rpc::Node::Client& peer) {
            auto message = peer.exchangeRequest();
            wire::write(params_of(message), request);
            return message.send().then([](auto&& reply) { return wire::read(results_of(reply)); });
        });
}

void node::push(const std::string& address, push_request request, base::time_point deadline,
                reply_callback<empty_reply> done)
{
    m_impl->call<empty_reply>(address, deadline, std::move(done),
                              [request = std::move(request)](rpc::Node::Client& peer) {
                                  auto message = peer.pushRequest();
                                  wire::write(params_of(message), request);
                                  return message.send().then([](auto&&) { return empty_reply{}; });
                              });
}

void node::probe(const std::string& address, host_record sender, base::time_point deadline,
                 reply_callback<host_record> done)
{
    m_impl->call<host_record>(
        address, deadline, std::move(done), [sender = std::move(sender)](rpc::Node::Client& peer) {
            auto message = peer.probeRequest();
            wire::write(message.initSender(), sender);
            return message.send().then([](auto&& reply) { return wire::read(reply.getRecord()); });
        });
}

void node::borrow(const std::string& address, borrow_request request, base::time_point deadline,
                  reply_callback<borrow_reply> done)
{
    m_impl->call<borrow_reply>(address, deadline, std::move(done),
                               [request = std::move(request)](rpc::Node::Client& peer) {
                                   auto message = peer.borrowRequest();
                                   wire::write(params_of(message), request);
                                   return message.send().then(
                                       [](auto&& reply) { return wire::read(results_of(reply)); });
                               });
}

void node::give_back(const std::string& address, std::uint64_t loan, base::time_point deadline,
                     reply_callback<empty_reply> done)
{
    m_impl->call<empty_reply>(address, deadline, std::move(done), [loan](rpc::Node::Client& peer) {
        auto message = peer.giveBackRequest();
        message.setLoan(loan);
        return message.send().then([](auto&&) { return empty_reply{}; });
    });
}

void node::claim(const std::string& address, claim_request request, base::time_point deadline,
                 reply_callback<claim_reply> done)
{
    m_impl->call<claim_reply>(address, deadline, std::move(done),
                              [request = std::move(request)](rpc::Node::Client& peer) {
                                  auto message = peer.claimRequest();
                                  wire::write(params_of(message), request);
                                  return message.send().then(
                                      [](auto&& reply) { return wire::read(results_of(reply)); });
                              });
}

void node::complete(const std::string& address, complete_request request, base::time_point deadline,
                    reply_callback<empty_reply> done)
{
    m_impl->call<empty_reply>(address, deadline, std::move(done),
                              [request = std::move(request)](rpc::Node::Client& peer) {
                                  auto message = peer.completeRequest();
                                  wire::write(params_of(message), request);
                                  return message.send().then([](auto&&) { return empty_reply{}; });
                              });
}

void node::release(const std::string& address, release_request request, base::time_point deadline,
                   reply_callback<empty_reply> done)
{
    m_impl->call<empty_reply>(address, deadline, std::move(done),
                              [request = std::move(request)](rpc::Node::Client& peer) {
                                  auto message = peer.releaseRequest();
                                  wire::write(params_of(message), request);
                                  return message.send().then([](auto&&) { return empty_reply{}; });
                              });
}

void node::report_crash(const std::string& address, crash_report report, base::time_point deadline,
                        reply_callback<empty_reply> done)
{
    m_impl->call<empty_reply>(address, deadline, std::move(done),
                              [report = std::move(report)](rpc::Node::Client& peer) {
                                  auto message = peer.reportCrashRequest();
                                  wire::write(params_of(message), report);
                                  return message.send().then([](auto&&) { return empty_reply{}; });
                              });
}

void node::report_success(const std::string& address, std::vector<std::uint64_t> fingerprints,
                          base::time_point deadline, reply_callback<empty_reply> done)
{
    m_impl->call<empty_reply>(
        address, deadline, std::move(done),
        [fingerprints = std::move(fingerprints)](rpc::Node::Client& peer) {
            auto message = peer.reportSuccessRequest();
            wire::write(message.initFingerprints(static_cast<unsigned>(fingerprints.size())),
                        fingerprints);
            return message.send().then([](auto&&) { return empty_reply{}; });
        });
}

} // namespace snipeshore::inner
