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

// Guards against a process outside the fleet that calls a process of the fleet or impersonates one.
TEST_CASE("mutual TLS")
{
    owner_queue owner;
    const tls_files fleet(tls_peer_name);
    const tls_files other_fleet(tls_peer_name);
    const tls_files wrong_name("www.example");
    node server(with_tls(owner, fleet.names(), "127.0.0.1:0"));
    REQUIRE(base::is_ok(server.start(probe_service(), {})));
    const std::string address = server.bound_address();

    SUBCASE("a client of the fleet is served")
    {
        CHECK(probe_succeeds(owner, with_tls(owner, fleet.names(), ""), address));
    }
    SUBCASE("a client certificate of another authority is rejected, even if the client trusts the "
            "server")
    {
        auto files = other_fleet.names();
        files.authority = fleet.names().authority;
        CHECK_FALSE(probe_succeeds(owner, with_tls(owner, files, ""), address));
    }
    SUBCASE("a server certificate of another authority is rejected")
    {
        auto files = fleet.names();
        files.authority = other_fleet.names().authority;
        CHECK_FALSE(probe_succeeds(owner, with_tls(owner, files, ""), address));
    }
    SUBCASE("a server certificate without the name of the inner protocol is rejected")
    {
        node other(with_tls(owner, wrong_name.names(), "127.0.0.1:0"));
        REQUIRE(base::is_ok(other.start(probe_service(), {})));
        CHECK_FALSE(
            probe_succeeds(owner, with_tls(owner, wrong_name.names(), ""), other.bound_address()));
    }
    SUBCASE("a plaintext connection to a TLS port is rejected")
    {
        CHECK_FALSE(probe_succeeds(owner, with_tls(owner, {}, ""), address));
    }
    SUBCASE("a TLS connection to a plaintext port is rejected")
    {
        node plain(with_tls(owner, {}, "127.0.0.1:0"));
        REQUIRE(base::is_ok(plain.start(probe_service(), {})));
        CHECK_FALSE(
            probe_succeeds(owner, with_tls(owner, fleet.names(), ""), plain.bound_address()));
    }
    SUBCASE("the server continues to serve after failed handshakes")
    {
        CHECK_FALSE(probe_succeeds(owner, with_tls(owner, {}, ""), address));
        CHECK(probe_succeeds(owner, with_tls(owner, fleet.names(), ""), address));
    }
    SUBCASE("an incomplete or invalid set of files is rejected")
    {
        auto files = fleet.names();
        files.key.clear();
        node incomplete(with_tls(owner, files, ""));
        CHECK_FALSE(base::is_ok(incomplete.start({}, {})));
        files.key = files.certificate;
        node invalid(with_tls(owner, files, ""));
        CHECK_FALSE(base::is_ok(invalid.start({}, {})));
    }
}
