#include "http/server.h"

#include "base/time.h"
#include "http/internal/connection_state.h"
#include "http/internal/pipelined_exchange.h"
#include "http/internal/server_exchange.h"
#include "http/internal/server_impl.h"
#include "http/internal/socket_address.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace snipeshore::http {

namespace {

/// Limit of connections accepted per round, so that open connections are not delayed.
constexpr int accepts_per_round = 16;
constexpr int listen_backlog = 1024;

/// Limits what the kernel keeps of a response beyond what the caller's window lets it send.
/// Otherwise its buffer grows to megabytes for each caller that reads slowly.
constexpr int max_unsent_bytes = 128 << 10;

base::status bad_setting(std::string detail)
{
    return base::error{base::error_kind::bad_setting, std::move(detail)};
}

/// Lets the kernel detect callers that become unreachable without closing their connection.
void enable_keep_alive(int descriptor)
{
    const int on = 1;
    const int idle_s = 60;
    const int interval_s = 10;
    setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof(interval_s));
}

void limit_unsent_bytes(int descriptor)
{
    setsockopt(descriptor, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &max_unsent_bytes,
               sizeof(max_unsent_bytes));
}

void on_connection_closed(void* data)
{
    const auto* connection = static_cast<server_connection*>(data);
    connection->owner->connection_closed(connection->id);
}

} // namespace

/// `h2o_handler_t` with a pointer to its server.
struct server::impl::h2o_handler {
    h2o_handler_t super;
    server::impl* owner;
};

/// `h2o_logger_t` with a pointer to its server.
struct server::impl::h2o_logger {
    h2o_logger_t super;
    server::impl* owner;
};

server::impl::impl(loop& owner_loop, request_handler request_callback)
    : owner(owner_loop), handler(std::move(request_callback))
{}

server::impl::~impl()
{
    m_watch.reset();
    // The timers of open connections are linked into the context, so it is not freed while there
    // are any.
    if (m_is_configured && connections.empty()) {
        h2o_timeout_unlink(&m_context.http2._graceful_shutdown_timeout);
        h2o_context_dispose(&m_context);
        h2o_config_dispose(&m_config);
    }
    if (m_tls != nullptr) {
        SSL_CTX_free(m_tls);
    }
}

base::status server::impl::listen(const server_settings& wanted)
{
    if (m_is_configured) {
        return bad_setting("server is already listening");
    }
    settings = wanted;
    if (auto tls = open_tls(); !base::is_ok(tls)) {
        return tls;
    }
    if (auto opened = open_listener(); !base::is_ok(opened)) {
        return opened;
    }
    configure();
    m_lingering.emplace(
        owner, lingering_limits{settings.linger_timeout, settings.max_request_bytes}, [this] {
            accept_if_possible();
            check_idle();
        });
    m_watch = std::make_unique<caller_watch>(
        owner.internals().evloop,
        [this](std::uint64_t id, caller_event event) { on_caller_event(id, event); });
    set_accepting(true);
    return std::monostate{};
}

base::status server::impl::open_tls()
{
    if (settings.certificate_file.empty()) {
        return std::monostate{};
    }
    m_tls = SSL_CTX_new(TLS_server_method());
    SSL_CTX_set_min_proto_version(m_tls, TLS1_2_VERSION);
    SSL_CTX_set_options(m_tls, SSL_OP_NO_RENEGOTIATION | SSL_OP_CIPHER_SERVER_PREFERENCE);
    if (SSL_CTX_use_certificate_chain_file(m_tls, settings.certificate_file.c_str()) != 1) {
        return bad_setting("cannot read certificate file " + settings.certificate_file);
    }
    if (SSL_CTX_use_PrivateKey_file(m_tls, settings.key_file.c_str(), SSL_FILETYPE_PEM) != 1 ||
        SSL_CTX_check_private_key(m_tls) != 1) {
        return bad_setting("key file is unreadable or does not match the certificate: " +
                           settings.key_file);
    }
    h2o_ssl_register_alpn_protocols(m_tls, h2o_alpn_protocols);
    return std::monostate{};
}

base::status server::impl::open_listener()
{
    auto address = parse_address(settings.address);
    if (!address) {
        return bad_setting("invalid address, expected \"ip:port\": " + settings.address);
    }
    const int descriptor =
        socket(address->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(descriptor, address->get(), address->length) != 0 ||
        ::listen(descriptor, listen_backlog) != 0) {
        const int failure = errno;
        close(descriptor);
        return bad_setting("cannot listen on " + settings.address + ": " + std::strerror(failure));
    }
    socket_address bound;
    bound.length = sizeof(bound.storage);
    getsockname(descriptor, bound.get(), &bound.length);
    bound_address = format_address(bound.get());
    m_listener =
        h2o_evloop_socket_create(owner.internals().evloop, descriptor, H2O_SOCKET_FLAG_DONT_READ);
    m_listener->data = this;
    return std::monostate{};
}

void server::impl::configure()
{
    h2o_config_init(&m_config);
    m_config.server_name = h2o_iovec_init(H2O_STRLIT("snipeshore"));
    m_config.max_request_entity_size = settings.max_request_bytes;
    m_config.http1.req_timeout = static_cast<std::uint64_t>(settings.request_timeout.count());
    m_config.http2.idle_timeout = static_cast<std::uint64_t>(settings.idle_timeout.count());
    h2o_hostconf_t* host =
        h2o_config_register_host(&m_config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
    path->error_log.emit_request_errors = 0;
    auto* made = reinterpret_cast<h2o_handler*>(h2o_create_handler(path, sizeof(h2o_handler)));
    made->super.on_req = on_request_entry;
    made->owner = this;
    // h2o binds requests that it rejects itself to the fallback path.
    for (h2o_pathconf_t* one : {path, &host->fallback_path}) {
        auto* logger = reinterpret_cast<h2o_logger*>(h2o_create_logger(one, sizeof(h2o_logger)));
        logger->super.log_access = on_request_end_entry;
        logger->owner = this;
    }
    h2o_context_init(&m_context, owner.internals().evloop, &m_config);
    m_accept.ctx = &m_context;
    m_accept.hosts = m_config.hosts;
    m_accept.ssl_ctx = m_tls;
    m_is_configured = true;
}

void server::impl::set_request_timeout(std::chrono::milliseconds timeout)
{
    if (m_is_configured) {
        m_context.http1.req_timeout.timeout = static_cast<std::uint64_t>(timeout.count());
    }
}

void server::impl::set_accepting(bool accepting)
{
    if (m_listener == nullptr || accepting == (h2o_socket_is_reading(m_listener) != 0)) {
        return;
    }
    if (accepting) {
        h2o_socket_read_start(m_listener, on_connection);
    } else {
        h2o_socket_read_stop(m_listener);
    }
}

void server::impl::on_connection(h2o_socket_t* listener, const char* failure)
{
    if (failure == nullptr) {
        static_cast<impl*>(listener->data)->accept_waiting();
    }
}

void server::impl::accept_waiting()
{
    for (int i = 0; i < accepts_per_round; ++i) {
        if (connections.size() >= settings.max_connections) {
            set_accepting(false);
            return;
        }
        h2o_socket_t* socket = h2o_evloop_socket_accept(m_listener);
        if (socket == nullptr) {
            return;
        }
        accept_one(socket);
        if (connections.size() + m_lingering->size() > settings.max_connections) {
            m_lingering->close_oldest();
        }
    }
}

void server::impl::accept_one(h2o_socket_t* socket)
{
    auto connection = std::make_unique<server_connection>();
    connection->id = ++m_last_connection;
    connection->owner = this;
    connection->socket = socket;
    connection->descriptor = h2o_socket_get_fd(socket);
    connection->wall_clock_offset = wall_clock_offset();
    socket->on_close.cb = on_connection_closed;
    socket->on_close.data = connection.get();
    enable_keep_alive(connection->descriptor);
    limit_unsent_bytes(connection->descriptor);
    m_watch->add(connection->descriptor, connection->id,
                 is_pipelining_enabled() || is_limiting_bodies());
    connections.emplace(connection->id, std::move(connection));
    h2o_accept(&m_accept, socket);
}

void server::impl::accept_if_possible()
{
    if (!m_is_draining && connections.size() < settings.max_connections) {
        set_accepting(true);
    }
}

void server::impl::on_caller_event(std::uint64_t id, caller_event event)
{
    const auto found = connections.find(id);
    if (found == connections.end()) {
        return;
    }
    if (event == caller_event::disconnected) {
        on_caller_disconnected(*found->second);
    } else {
        start_pipelined_requests(*found->second);
        schedule_body_check(base::boot_clock::now() + body_check_delay);
    }
}

void server::impl::on_caller_disconnected(server_connection& connection)
{
    // Shutting the connection down raises the event again.
    if (std::exchange(connection.has_caller_disconnected, true)) {
        return;
    }
    drop_pipelined(connection);
    if (const auto running = connection.running.lock()) {
        running->on_caller_disconnected();
    }
}

int server::impl::on_request_entry(h2o_handler_t* self, h2o_req_t* request)
{
    return reinterpret_cast<h2o_handler*>(self)->owner->on_request(request);
}

void server::impl::on_request_end_entry(h2o_logger_t* self, h2o_req_t* request)
{
    reinterpret_cast<h2o_logger*>(self)->owner->on_request_end(*request);
}

int server::impl::on_request(h2o_req_t* request)
{
    const auto exchange = server_exchange::create(*this, *request);
    if (!handler) {
        exchange->abort();
        return 0;
    }
    server_connection* connection = exchange->is_http1() ? exchange->connection() : nullptr;
    if (connection == nullptr) {
        if (m_is_draining) {
            linger_on_close(*exchange->connection());
        }
        handler(exchange);
        return 0;
    }
    const std::uint64_t id = connection->id;
    if (const auto pipelined = take_pipelined(*connection, exchange->head())) {
        pipelined->attach(exchange);
    } else {
        drop_pipelined(*connection);
        handler(exchange);
    }
    if (const auto found = connections.find(id); found != connections.end()) {
        start_pipelined_requests(*found->second);
    }
    return 0;
}

void server::impl::shut_down()
{
    if (m_listener != nullptr) {
        h2o_socket_close(std::exchange(m_listener, nullptr));
    }
    m_is_draining = true;
    m_on_idle = nullptr;
    handler = nullptr;
    m_is_shut_down = true;
    if (m_lingering.has_value()) {
        m_lingering->close_all();
    }
    if (m_idle_timer != 0) {
        owner.cancel(std::exchange(m_idle_timer, 0));
    }
    if (m_body_timer != 0) {
        owner.cancel(std::exchange(m_body_timer, 0));
    }
    if (!m_is_configured) {
        return;
    }
    h2o_context_request_shutdown(&m_context);
    std::vector<std::shared_ptr<server_exchange>> running;
    for (const auto& [id, connection] : connections) {
        for (const auto& pipelined : std::exchange(connection->pipelined, {})) {
            pipelined->clear_callbacks();
        }
        shutdown(connection->descriptor, SHUT_RDWR);
    }
    for (const auto& [key, exchange] : exchanges) {
        if (auto one = exchange.lock()) {
            running.push_back(std::move(one));
        }
    }
    for (const auto& one : running) {
        one->abort_silently();
    }
}

bool server::impl::is_closed() const
{
    return connections.empty() && lingering_count() == 0;
}

bool server::impl::is_draining() const
{
    return m_is_draining;
}

server::server(loop& owner, request_handler handler)
    : m_impl(std::make_shared<impl>(owner, std::move(handler)))
{}

server::~server()
{
    m_impl->shut_down();
    m_impl->owner.internals().keep_until_closed(m_impl);
}

base::status server::listen(const server_settings& settings)
{
    return m_impl->listen(settings);
}

void server::allow_pipelining(std::function<bool(const request_head&)> filter)
{
    m_impl->may_pipeline = std::move(filter);
}

void server::limit_bodies(body_limit limit)
{
    m_impl->bodies = std::move(limit);
}

void server::set_request_timeout(std::chrono::milliseconds timeout)
{
    m_impl->set_request_timeout(timeout);
}

std::string server::bound_address() const
{
    return m_impl->bound_address;
}

std::size_t server::open_connections() const
{
    return m_impl->connections.size();
}

std::size_t server::lingering_count() const
{
    return m_impl->lingering_count();
}

std::size_t server::active_requests() const
{
    return m_impl->exchanges.size();
}

bool server::is_delivering() const
{
    return m_impl->is_delivering();
}

void server::drain(std::function<void()> on_idle)
{
    m_impl->drain(std::move(on_idle));
}

} // namespace snipeshore::http
