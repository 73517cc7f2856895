#include "inner/internal/tls.h"
#include "inner/node.h"
#include "inner/tests/owner_queue.h"
#include "inner/tests/tls_files.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>

using namespace snipeshore;
using namespace snipeshore::inner;
using namespace std::chrono_literals;

namespace {

node_settings with_tls(owner_queue& owner, const tls_file_names& files, const std::string& address)
{
    node_settings settings;
    settings.listen_address = address;
    settings.certificate_file = files.certificate;
    settings.key_file = files.key;
    settings.authority_file = files.authority;
    settings.post = [&owner](std::function<void()> work) {
        owner.post(std::move(work));
    };
    return settings;
}

agent_service probe_service()
{
    agent_service service;
    service.probe = [](const host_record&, const reply_sender<host_record>& reply) {
        reply(host_record{});
    };
    return service;
}

bool probe_succeeds(owner_queue& owner, node_settings caller, const std::string& address)
{
    node client(std::move(caller));
    REQUIRE(base::is_ok(client.start({}, {})));
    std::optional<bool> ok;
    client.probe(address, {}, in(2s),
                 [&](const base::result<host_record>& got) { ok = base::is_ok(got); });
    REQUIRE(owner.run_until([&]() { return ok.has_value(); }));
    return *ok;
}

} // namespace

// Guards against a process outside the fleet that calls, or answers for, one of the fleet.
TEST_CASE("mutual TLS")
{
    owner_queue owner;
    const tls_files fleet(tls_peer_name);
    const tls_files stranger(tls_peer_name);
    const tls_files misnamed("www.example");
    node server(with_tls(owner, fleet.names(), "127.0.0.1:0"));
    REQUIRE(base::is_ok(server.start(probe_service(), {})));
    const std::string address = server.bound_address();

    SUBCASE("a member of the fleet is served")
    {
        CHECK(probe_succeeds(owner, with_tls(owner, fleet.names(), ""), address));
    }
    SUBCASE("a caller of another authority is refused, though it trusts the server")
    {
        auto files = stranger.names();
        files.authority = fleet.names().authority;
        CHECK_FALSE(probe_succeeds(owner, with_tls(owner, files, ""), address));
    }
    SUBCASE("a server of another authority is refused")
    {
        auto files = fleet.names();
        files.authority = stranger.names().authority;
        CHECK_FALSE(probe_succeeds(owner, with_tls(owner, files, ""), address));
    }
    SUBCASE("a server whose certificate is not for the inner protocol is refused")
    {
        node other(with_tls(owner, misnamed.names(), "127.0.0.1:0"));
        REQUIRE(base::is_ok(other.start(probe_service(), {})));
        CHECK_FALSE(
            probe_succeeds(owner, with_tls(owner, misnamed.names(), ""), other.bound_address()));
    }
    SUBCASE("plain text to a TLS port is refused")
    {
        CHECK_FALSE(probe_succeeds(owner, with_tls(owner, {}, ""), address));
    }
    SUBCASE("TLS to a plain-text port is refused")
    {
        node plain(with_tls(owner, {}, "127.0.0.1:0"));
        REQUIRE(base::is_ok(plain.start(probe_service(), {})));
        CHECK_FALSE(
            probe_succeeds(owner, with_tls(owner, fleet.names(), ""), plain.bound_address()));
    }
    SUBCASE("the server serves on after failed handshakes")
    {
        CHECK_FALSE(probe_succeeds(owner, with_tls(owner, {}, ""), address));
        CHECK(probe_succeeds(owner, with_tls(owner, fleet.names(), ""), address));
    }
    SUBCASE("an incomplete or unreadable set of files is a bad setting")
    {
        auto files = fleet.names();
        files.key.clear();
        node incomplete(with_tls(owner, files, ""));
        CHECK_FALSE(base::is_ok(incomplete.start({}, {})));
        files.key = files.certificate;
        node unreadable(with_tls(owner, files, ""));
        CHECK_FALSE(base::is_ok(unreadable.start({}, {})));
    }
}
