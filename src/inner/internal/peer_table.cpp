#include "inner/internal/peer_table.h"

#include "inner/internal/address.h"
#include "inner/internal/tls.h"

#include <algorithm>

namespace snipeshore::inner {

namespace {

constexpr auto connect_limit = 5 * kj::SECONDS;
// A watch returns after a second at the latest, so a peer that is alive is heard within this time.
constexpr auto silence_limit = 3 * kj::SECONDS;
constexpr auto idle_limit = 30 * kj::SECONDS;
constexpr auto idle_check_interval = 10 * kj::SECONDS;

} // namespace

peer_table::peer_table(context settings) : m_context(settings), m_tasks(m_task_failures)
{
    m_tasks.add(close_idle());
}

base::error peer_table::late(const std::string& address)
{
    return {base::error_kind::peer_unavailable, "no reply before the deadline: " + address};
}

base::status peer_table::check(const std::string& address) const
{
    const auto parsed = base::parse_ip_port(address);
    if (!parsed || parsed->port == 0) {
        return base::error{base::error_kind::peer_unavailable, "not an ip:port: " + address};
    }
    if (m_context.tls == nullptr && !is_loopback(*parsed) && !m_context.allow_plaintext) {
        return base::error{base::error_kind::bad_setting,
                           "only loopback is allowed without TLS: " + address};
    }
    return std::monostate{};
}

base::result<std::uint64_t> peer_table::open(const std::string& address)
{
    auto known = m_peers.find(address);
    if (known == m_peers.end()) {
        const auto checked = check(address);
        if (!base::is_ok(checked)) {
            return base::error_of(checked);
        }
        known = m_peers.try_emplace(address).first;
        known->second.generation = m_next_generation++;
        known->second.last_call = m_context.timer.now();
        known->second.last_heard = m_context.timer.now();
    }
    peer& wanted = known->second;
    if (!wanted.opened && !m_context.filter->blocks(address)) {
        wanted.opened = true;
        wanted.client = client_of({address, wanted.generation});
    }
    return wanted.generation;
}

rpc::Node::Client peer_table::client_of(const peer_key& key)
{
    return {connect(key.address)
                .then(
                    [this, key](kj::Own<connection>&& link) -> rpc::Node::Client {
                        peer* const current = find(key);
                        if (current == nullptr) {
                            throw kj::Exception(kj::Exception::Type::DISCONNECTED, __FILE__,
                                                __LINE__, kj::str("dropped while connecting"));
                        }
                        heard(key);
                        current->link = kj::mv(link);
                        current->disconnect =
                            current->link->network.onDisconnect()
                                .then([this, key]() { drop_later(key); },
                                      [this, key](kj::Exception&&) { drop_later(key); })
                                .eagerlyEvaluate(nullptr);
                        capnp::MallocMessageBuilder message;
                        auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
                        vat.setSide(capnp::rpc::twoparty::Side::SERVER);
                        return current->link->rpc.bootstrap(vat).castAs<rpc::Node>();
                    },
                    [this, key](kj::Exception&& failed) -> rpc::Node::Client {
                        drop_later(key);
                        throw kj::Exception(
                            kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__,
                            kj::str("connect ", key.address, ": ", failed.getDescription()));
                    })};
}

kj::Promise<kj::Own<connection>> peer_table::connect(const std::string& address)
{
    auto opened = kj::evalNow([&]() { return m_context.network.parseAddress(address.c_str()); })
                      .then([](kj::Own<kj::NetworkAddress>&& parsed) {
                          auto promise = parsed->connect();
                          return promise.attach(kj::mv(parsed));
                      })
                      .then([this](kj::Own<kj::AsyncIoStream>&& stream)
                                -> kj::Promise<kj::Own<kj::AsyncIoStream>> {
                          set_socket_options(*stream);
                          if (m_context.tls == nullptr) {
                              return kj::mv(stream);
                          }
                          return m_context.tls->wrapClient(kj::mv(stream), tls_peer_name);
                      });
    return m_context.timer.timeoutAfter(connect_limit, kj::mv(opened))
        .then([limits = m_context.limits](kj::Own<kj::AsyncIoStream>&& stream) {
            return kj::heap<connection>(kj::mv(stream), limits);
        });
}

kj::Promise<void> peer_table::expire_at(base::time_point deadline)
{
    const auto left = std::max(deadline - base::boot_clock::now(), base::duration::zero());
    return m_context.timer.afterDelay(left.count() * kj::NANOSECONDS);
}

void peer_table::begin_call(const peer_key& key)
{
    peer& used = m_peers.at(key.address);
    ++used.calls;
    used.last_call = m_context.timer.now();
}

void peer_table::end_call(const peer_key& key, bool deadline_passed)
{
    peer* const used = find(key);
    if (used == nullptr) {
        return;
    }
    --used->calls;
    if (deadline_passed && m_context.timer.now() - used->last_heard > silence_limit) {
        drop_later(key);
    }
}

void peer_table::end_call_failed(const peer_key& key, const kj::Exception& exception)
{
    peer* const used = find(key);
    if (used == nullptr) {
        return;
    }
    --used->calls;
    if (exception.getType() == kj::Exception::Type::DISCONNECTED) {
        drop_later(key);
        return;
    }
    heard(key);
}

void peer_table::heard(const peer_key& key)
{
    peer* const used = find(key);
    if (used != nullptr) {
        used->last_heard = m_context.timer.now();
    }
}

void peer_table::drop_later(peer_key key)
{
    // The caller may be a continuation of a promise that belongs to the connection.
    m_tasks.add(kj::evalLater([this, key = std::move(key)]() { drop(key); }));
}

void peer_table::drop(const peer_key& key)
{
    if (find(key) != nullptr) {
        m_peers.erase(key.address);
    }
}

peer_table::peer* peer_table::find(const peer_key& key)
{
    const auto known = m_peers.find(key.address);
    if (known == m_peers.end() || known->second.generation != key.generation) {
        return nullptr;
    }
    return &known->second;
}

kj::Promise<void> peer_table::close_idle()
{
    return m_context.timer.afterDelay(idle_check_interval).then([this]() {
        const auto now = m_context.timer.now();
        std::erase_if(m_peers, [now](const auto& item) {
            return item.second.calls == 0 && now - item.second.last_call > idle_limit;
        });
        return close_idle();
    });
}

} // namespace snipeshore::inner
