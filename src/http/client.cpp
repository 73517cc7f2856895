#include "http/client.h"

#include "base/time.h"
#include "http/internal/call_state.h"
#include "http/internal/client_impl.h"
#include "http/internal/loop_impl.h"
#include "http/internal/socket_address.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace snipeshore::http {

namespace {

/// Disables h2o's own timeout, which uses the wall clock and so may be wrong after a clock change.
/// Deadlines are timers of the loop instead.
constexpr std::uint64_t h2o_timeout_never_ms = 10ULL * 365 * 24 * 3600 * 1000;

/// Fraction of the idle timeout announced by a peer for which a connection is reused. The margin
/// avoids sending a request while the peer closes the connection.
constexpr double usable_idle_fraction = 0.7;

/// Limits what the kernel buffers for one connection, and thereby the size of one read. With
/// 256 KiB, 20 downloads through a proxy used twice the memory and were not faster on loopback.
constexpr std::size_t max_receive_buffer_bytes = 128U << 10U;

/// Enough for the head of a response and some chunks.
constexpr std::size_t min_receive_buffer_bytes = 8U << 10U;

/// Cancels the call when it is destroyed.
class call_handle final : public client_call {
public:
    explicit call_handle(std::shared_ptr<call_state> state) : m_state(std::move(state)) {}

    ~call_handle() override
    {
        m_state->cancel();
    }

    call_handle(const call_handle&) = delete;
    call_handle& operator=(const call_handle&) = delete;
    call_handle(call_handle&&) = delete;
    call_handle& operator=(call_handle&&) = delete;

    void pause() override
    {
        m_state->pause();
    }

    void resume() override
    {
        m_state->resume();
    }

    bool request_sent() const override
    {
        return m_state->request_sent();
    }

private:
    std::shared_ptr<call_state> m_state;
};

using fetch_result = base::result<std::pair<response_head, std::string>>;

/// Collects the response to a `fetch`.
struct fetch_state {
    std::size_t max_body = 0;
    std::function<void(fetch_result, bool)> on_end;
    response_head head;
    std::string body;
    std::unique_ptr<client_call> call;
};

void end_fetch(const std::shared_ptr<fetch_state>& state, fetch_result outcome, bool request_sent)
{
    const auto callback = std::exchange(state->on_end, nullptr);
    const auto call = std::move(state->call);
    if (callback) {
        callback(std::move(outcome), request_sent);
    }
}

void add_to_fetch(const std::shared_ptr<fetch_state>& state, std::string_view chunk)
{
    if (state->body.size() + chunk.size() <= state->max_body) {
        state->body += chunk;
        return;
    }
    end_fetch(
        state,
        base::error{base::error_kind::answer_invalid,
                    "response body is larger than " + std::to_string(state->max_body) + " bytes"},
        true);
}

call_callbacks make_fetch_callbacks(const std::shared_ptr<fetch_state>& state)
{
    call_callbacks callbacks;
    callbacks.on_head = [state](const response_head& head) {
        state->head = head;
    };
    callbacks.on_body = [state](std::string_view chunk) {
        add_to_fetch(state, chunk);
    };
    callbacks.on_end = [state](const call_end& end) {
        if (base::is_ok(end.outcome)) {
            end_fetch(state, std::pair(std::move(state->head), std::move(state->body)),
                      end.request_sent);
            return;
        }
        end_fetch(state, base::error_of(end.outcome), end.request_sent);
    };
    return callbacks;
}

/// Cancels the fetch when it is destroyed.
class fetch_handle final : public client_call {
public:
    explicit fetch_handle(std::shared_ptr<fetch_state> state) : m_state(std::move(state)) {}

    ~fetch_handle() override
    {
        m_state->on_end = nullptr;
        const auto call = std::move(m_state->call);
    }

    fetch_handle(const fetch_handle&) = delete;
    fetch_handle& operator=(const fetch_handle&) = delete;
    fetch_handle(fetch_handle&&) = delete;
    fetch_handle& operator=(fetch_handle&&) = delete;

    void pause() override
    {
        if (m_state->call) {
            m_state->call->pause();
        }
    }

    void resume() override
    {
        if (m_state->call) {
            m_state->call->resume();
        }
    }

    bool request_sent() const override
    {
        return m_state->call && m_state->call->request_sent();
    }

private:
    std::shared_ptr<fetch_state> m_state;
};

} // namespace

client::impl::impl(loop& owner_loop, client_settings wanted) : owner(owner_loop), settings(wanted)
{
    h2o_timeout_init(owner.internals().evloop, &m_io_timeout, h2o_timeout_never_ms);
    context.loop = owner.internals().evloop;
    context.io_timeout = &m_io_timeout;
}

client::impl::~impl()
{
    for (const auto& [address, one] : m_peers) {
        h2o_socketpool_dispose(&one->pool);
    }
    h2o_timeout_dispose(owner.internals().evloop, &m_io_timeout);
}

void client::impl::admit(const std::shared_ptr<call_state>& call)
{
    if (!call->is_sendable()) {
        call->fail_later({base::error_kind::bad_request,
                          "request head is not valid HTTP (method, target or header)"});
        return;
    }
    peer* to = find_peer(call->address());
    if (to == nullptr) {
        call->fail_later({base::error_kind::connect_failed,
                          "invalid address, expected \"ip:port\": " + call->address()});
        return;
    }
    if (to->active >= settings.max_connections_per_address &&
        to->queue.size() >= settings.max_queued_per_address) {
        call->fail_later(
            {base::error_kind::overloaded,
             call->address() + ": all connections are in use and the request queue is full"});
        return;
    }
    m_calls.insert(call);
    call->start_deadline_timer();
    if (to->active >= settings.max_connections_per_address || !to->queue.empty()) {
        to->queue.push_back(call);
        return;
    }
    ++to->active;
    call->is_active = true;
    call->start(*to);
}

peer* client::impl::find_peer(const std::string& address)
{
    const auto found = m_peers.find(address);
    if (found != m_peers.end()) {
        return found->second.get();
    }
    auto parsed = parse_address(address);
    if (!parsed) {
        return nullptr;
    }
    remove_unused_peers();
    auto made = std::make_unique<peer>();
    made->address = address;
    h2o_socketpool_init_by_address(&made->pool, parsed->get(), parsed->length, 0, SIZE_MAX);
    h2o_socketpool_set_timeout(&made->pool, owner.internals().evloop,
                               static_cast<std::uint64_t>(settings.idle_timeout.count()));
    return m_peers.emplace(address, std::move(made)).first->second.get();
}

shared_pool client::impl::make_pool(const peer& to) const
{
    shared_pool pool(new h2o_socketpool_t{}, [](h2o_socketpool_t* unused) {
        h2o_socketpool_dispose(unused);
        delete unused;
    });
    sockaddr_storage address = to.pool.peer.sockaddr.bytes;
    h2o_socketpool_init_by_address(pool.get(), reinterpret_cast<sockaddr*>(&address),
                                   to.pool.peer.sockaddr.len, 0, SIZE_MAX);
    h2o_socketpool_set_timeout(pool.get(), owner.internals().evloop, 0);
    return pool;
}

void client::impl::limit_idle_time(const std::string& address, std::chrono::seconds announced)
{
    const auto found = m_peers.find(address);
    if (found == m_peers.end()) {
        return;
    }
    const auto usable = static_cast<std::uint64_t>(
        std::chrono::duration<double, std::milli>(announced).count() * usable_idle_fraction);
    std::uint64_t& limit = found->second->pool.timeout;
    limit = std::min(limit, usable);
}

void client::impl::remove_unused_peers()
{
    std::erase_if(m_peers, [](const auto& entry) {
        peer& one = *entry.second;
        if (one.active != 0 || !one.queue.empty() || one.pool._shared.count != 0) {
            return false;
        }
        h2o_socketpool_dispose(&one.pool);
        return true;
    });
}

void client::impl::release(call_state& call)
{
    const auto keep = call.shared_from_this();
    m_calls.erase(keep);
    const auto found = m_peers.find(call.address());
    if (found == m_peers.end()) {
        return;
    }
    peer& from = *found->second;
    if (std::exchange(call.is_active, false)) {
        --from.active;
        schedule_dequeue(from);
        return;
    }
    std::erase(from.queue, keep);
}

void client::impl::schedule_dequeue(peer& which)
{
    if (which.queue.empty() || which.is_dequeue_scheduled || is_shut_down) {
        return;
    }
    // h2o returns the connection to the pool only after its callback has returned.
    which.is_dequeue_scheduled = true;
    owner.schedule(base::boot_clock::now(), [weak = weak_from_this(), address = which.address] {
        if (const auto self = weak.lock()) {
            self->start_queued_calls(address);
        }
    });
}

void client::impl::start_queued_calls(const std::string& address)
{
    const auto found = m_peers.find(address);
    if (found == m_peers.end() || is_shut_down) {
        return;
    }
    peer& to = *found->second;
    to.is_dequeue_scheduled = false;
    while (!to.queue.empty() && to.active < settings.max_connections_per_address) {
        const auto call = std::move(to.queue.front());
        to.queue.pop_front();
        ++to.active;
        call->is_active = true;
        call->start(to);
    }
}

int client::impl::receive_buffer_bytes() const
{
    const std::size_t share =
        settings.receive_buffer_bytes / std::max<std::size_t>(1, m_calls.size());
    return static_cast<int>(std::clamp(share, min_receive_buffer_bytes, max_receive_buffer_bytes));
}

void client::impl::shut_down()
{
    is_shut_down = true;
    const std::vector<std::shared_ptr<call_state>> calls(m_calls.begin(), m_calls.end());
    for (const auto& call : calls) {
        call->cancel();
    }
}

client::client(loop& owner, client_settings settings)
    : m_impl(std::make_shared<impl>(owner, settings))
{}

client::~client()
{
    m_impl->shut_down();
}

std::unique_ptr<client_call> client::send(client_request request, call_callbacks callbacks)
{
    auto call = std::make_shared<call_state>(m_impl, std::move(request), std::move(callbacks));
    m_impl->admit(call);
    return std::make_unique<call_handle>(std::move(call));
}

std::unique_ptr<client_call> client::fetch(
    client_request request, std::size_t max_body,
    std::function<void(base::result<std::pair<response_head, std::string>>, bool request_sent)>
        on_end)
{
    auto state = std::make_shared<fetch_state>();
    state->max_body = max_body;
    state->on_end = std::move(on_end);
    state->call = send(std::move(request), make_fetch_callbacks(state));
    return std::make_unique<fetch_handle>(std::move(state));
}

} // namespace snipeshore::http
