#include "inner/node.h"
#include "inner/tests/owner_queue.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <optional>
#include <random>
#include <string>

using namespace snipeshore;
using namespace snipeshore::inner;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view any_port = "127.0.0.1:0";

node_settings settings_for(owner_queue& owner, std::string_view address = any_port)
{
    node_settings settings;
    settings.listen_address = address;
    settings.post = [&owner](std::function<void()> work) {
        owner.post(std::move(work));
    };
    return settings;
}

host_record make_record(const std::string& name)
{
    host_record record;
    record.host = base::host_id(name);
    record.failure_domain = base::failure_domain_id("fd1");
    record.incarnation = base::incarnation(7);
    record.counter = 3;
    record.status = host_status::leaving;
    record.agent_address = "127.0.0.9:1";
    record.lookup_address = "127.0.0.9:2";
    record.entry_address = "127.0.0.9:3";
    record.entry_inner_address = "127.0.0.9:4";
    record.entry_incarnation = base::incarnation(9);
    record.ticket_epoch = 11;
    record.entry_config_version = 12;
    record.versions = {{"config", 4}, {"keys", 5}};
    return record;
}

void check_same(const host_record& got, const host_record& wanted)
{
    CHECK(got.host == wanted.host);
    CHECK(got.failure_domain == wanted.failure_domain);
    CHECK(got.incarnation == wanted.incarnation);
    CHECK(got.counter == wanted.counter);
    CHECK(got.status == wanted.status);
    CHECK(got.agent_address == wanted.agent_address);
    CHECK(got.lookup_address == wanted.lookup_address);
    CHECK(got.entry_address == wanted.entry_address);
    CHECK(got.entry_inner_address == wanted.entry_inner_address);
    CHECK(got.entry_incarnation == wanted.entry_incarnation);
    CHECK(got.ticket_epoch == wanted.ticket_epoch);
    CHECK(got.entry_config_version == wanted.entry_config_version);
    REQUIRE(got.versions.size() == wanted.versions.size());
    for (std::size_t index = 0; index < got.versions.size(); ++index) {
        CHECK(got.versions[index].name == wanted.versions[index].name);
        CHECK(got.versions[index].version == wanted.versions[index].version);
    }
}

/// Waits for one reply and counts how often the callback ran.
template <typename Reply>
struct outcome {
    std::shared_ptr<std::optional<base::result<Reply>>> value =
        std::make_shared<std::optional<base::result<Reply>>>();
    std::shared_ptr<int> count = std::make_shared<int>(0);

    reply_callback<Reply> callback() const
    {
        return [value = value, count = count](base::result<Reply> got) {
            ++*count;
            *value = std::move(got);
        };
    }

    bool arrived() const
    {
        return value->has_value();
    }

    const Reply& reply() const
    {
        REQUIRE(arrived());
        REQUIRE(base::is_ok(**value));
        return base::value_of(**value);
    }

    base::error_kind error() const
    {
        REQUIRE(arrived());
        REQUIRE_FALSE(base::is_ok(**value));
        return base::error_of(**value).kind;
    }
};

template <typename Reply>
void await(owner_queue& owner, const outcome<Reply>& result)
{
    REQUIRE(owner.run_until([&]() { return result.arrived(); }));
}

agent_service probe_only(const std::string& name)
{
    agent_service service;
    service.probe = [name](const host_record&, const reply_sender<host_record>& reply) {
        reply(make_record(name));
    };
    return service;
}

bool probe_succeeds(owner_queue& owner, node& from, const std::string& address)
{
    outcome<host_record> result;
    from.probe(address, make_record("caller"), in(2s), result.callback());
    await(owner, result);
    return base::is_ok(**result.value);
}

int connect_raw(const std::string& address)
{
    const auto colon = address.rfind(':');
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    REQUIRE(connect(socket, reinterpret_cast<sockaddr*>(&target), sizeof(target)) == 0);
    return socket;
}

/// Sends bytes and waits until the peer closes the connection.
void send_and_await_close(const std::string& address, const std::string& bytes)
{
    const int socket = connect_raw(address);
    [[maybe_unused]] const auto sent = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    ::shutdown(socket, SHUT_WR);
    std::string buffer(4096, '\0');
    while (::recv(socket, buffer.data(), buffer.size(), 0) > 0) {
    }
    ::close(socket);
}

} // namespace

// Guards against a field that is lost or exchanged between struct and wire.
TEST_CASE("agent calls round trip")
{
    owner_queue owner;
    node server(settings_for(owner));
    node client(settings_for(owner, ""));
    agent_service agent;
    REQUIRE(base::is_ok(client.start({}, {})));

    SUBCASE("watch")
    {
        cursor seen;
        process_report reported;
        agent.watch = [&](cursor from, process_report report, const reply_sender<snapshot>& reply) {
            seen = std::move(from);
            reported = std::move(report);
            snapshot answer;
            answer.documents = {{"config", 4, 0, R"({"a":1})", {}, "d4"},
                                {"keys", 6, 4, "", {"[]", "[1]"}}};
            answer.members = {make_record("h1")};
            answer.members_revision = 21;
            answer.weights = {{"site", "service", {"fd1", "fd2"}, {65535, 1}, {0, 7}}};
            answer.steering_revision = 22;
            answer.contact_age = 23ms;
            answer.listed_known = true;
            answer.listed_hosts = {base::host_id("h9")};
            reply(answer);
        };
        REQUIRE(base::is_ok(server.start(agent, {})));
        outcome<snapshot> result;
        client.watch(server.bound_address(), {{{"config", 3}}, 19, 20},
                     {base::incarnation(5),
                      6,
                      true,
                      7,
                      {{"site", "service", 1.5}},
                      {{"s", "t", {"fd"}, {65536}, {0}}}},
                     in(5s), result.callback());
        await(owner, result);
        const snapshot& got = result.reply();
        CHECK(seen.versions.at(0).version == 3);
        CHECK(seen.members_revision == 19);
        CHECK(seen.steering_revision == 20);
        CHECK(reported.entry_incarnation.value() == 5);
        CHECK(reported.ticket_epoch == 6);
        CHECK(reported.leaving);
        CHECK(reported.config_version == 7);
        CHECK(reported.demand.at(0).service == "service");
        CHECK(reported.demand.at(0).rate == 1.5);
        CHECK(reported.weights.at(0).failure_domains.at(0) == "fd");
        CHECK(reported.weights.at(0).weights.at(0) == 65536);
        REQUIRE(got.documents.size() == 2);
        CHECK(got.documents[0].text == R"({"a":1})");
        CHECK(got.documents[0].patches.empty());
        CHECK(got.documents[0].digest == "d4");
        CHECK(got.documents[1].base_version == 4);
        CHECK(got.documents[1].patches == std::vector<std::string>{"[]", "[1]"});
        check_same(got.members.at(0), make_record("h1"));
        CHECK(got.members_revision == 21);
        CHECK(got.weights.at(0).failure_domains == std::vector<std::string>{"fd1", "fd2"});
        CHECK(got.weights.at(0).weights == std::vector<std::uint32_t>{65535, 1});
        CHECK(got.weights.at(0).refused == std::vector<std::uint32_t>{0, 7});
        CHECK(got.steering_revision == 22);
        CHECK(got.contact_age == 23ms);
        CHECK(got.listed_known);
        CHECK(got.listed_hosts.at(0).value() == "h9");
    }
    SUBCASE("exchange, push and probe")
    {
        exchange_request exchanged;
        push_request pushed;
        agent = probe_only("server");
        agent.exchange = [&](exchange_request request, const reply_sender<exchange_reply>& reply) {
            exchanged = std::move(request);
            reply(exchange_reply{
                {{"keys", 8}}, {{"keys", 8, 0, "{}", {}}}, {make_record("h2")}, 31ms});
        };
        agent.push = [&](push_request request, const reply_sender<empty_reply>& reply) {
            pushed = std::move(request);
            reply(empty_reply{});
        };
        REQUIRE(base::is_ok(server.start(agent, {})));
        outcome<exchange_reply> exchange;
        client.exchange(server.bound_address(),
                        {make_record("caller"), {{"keys", 7}}, {{"fd1", 99}}}, in(5s),
                        exchange.callback());
        await(owner, exchange);
        check_same(exchanged.sender, make_record("caller"));
        CHECK(exchange.reply().contact_age == 31ms);
        CHECK(exchanged.versions.at(0).version == 7);
        CHECK(exchanged.hashes.at(0).hash == 99);
        CHECK(exchange.reply().versions.at(0).version == 8);
        CHECK(exchange.reply().documents.at(0).text == "{}");
        check_same(exchange.reply().records.at(0), make_record("h2"));

        outcome<empty_reply> push;
        client.push(server.bound_address(), {{{"keys", 9, 8, "", {"[]"}}}, {make_record("h3")}},
                    in(5s), push.callback());
        await(owner, push);
        CHECK(pushed.documents.at(0).patches.size() == 1);
        check_same(pushed.records.at(0), make_record("h3"));

        outcome<host_record> probe;
        client.probe(server.bound_address(), make_record("caller"), in(5s), probe.callback());
        await(owner, probe);
        check_same(probe.reply(), make_record("server"));
    }
    SUBCASE("a call that the process does not serve")
    {
        REQUIRE(base::is_ok(server.start(agent, {})));
        outcome<borrow_reply> result;
        client.borrow(server.bound_address(), {}, in(5s), result.callback());
        await(owner, result);
        CHECK(result.error() == base::error_kind::not_found);
    }
}

// Guards against a field that is lost or exchanged between struct and wire.
TEST_CASE("entry calls round trip")
{
    owner_queue owner;
    node server(settings_for(owner));
    node client(settings_for(owner, ""));
    REQUIRE(base::is_ok(client.start({}, {})));
    const std::string all_bytes("\0\xff\r\n", 4);
    const ticket_response response{201, {{"content-type", "text/plain"}}, all_bytes};
    entry_service entry;
    borrow_request borrowed;
    claim_request claimed;
    complete_request completed;
    release_request released;
    crash_report crashed;
    std::uint64_t given_back = 0;
    std::vector<std::uint64_t> succeeded;
    entry.borrow = [&](borrow_request request, const reply_sender<borrow_reply>& reply) {
        borrowed = std::move(request);
        reply(borrow_reply{1.5, 3.5, 2.5, 3000ms, 4});
    };
    entry.give_back = [&](std::uint64_t loan, const reply_sender<empty_reply>& reply) {
        given_back = loan;
        reply(empty_reply{});
    };
    entry.claim = [&](claim_request request, const reply_sender<claim_reply>& reply) {
        claimed = std::move(request);
        reply(claim_reply{claim_verdict::done, response});
    };
    entry.complete = [&](complete_request request, const reply_sender<empty_reply>& reply) {
        completed = std::move(request);
        reply(empty_reply{});
    };
    entry.release = [&](release_request request, const reply_sender<empty_reply>& reply) {
        released = std::move(request);
        reply(base::error{base::error_kind::stale, "old: epoch"});
    };
    entry.report_crash = [&](crash_report report, const reply_sender<empty_reply>& reply) {
        crashed = std::move(report);
        reply(empty_reply{});
    };
    entry.report_success = [&](std::vector<std::uint64_t> fingerprints,
                               const reply_sender<empty_reply>& reply) {
        succeeded = std::move(fingerprints);
        reply(empty_reply{});
    };
    REQUIRE(base::is_ok(server.start({}, entry)));
    const std::string address = server.bound_address();

    SUBCASE("loans")
    {
        outcome<borrow_reply> borrow;
        client.borrow(address, {"acct", 10, 20, "h1", base::incarnation(3), 4}, in(5s),
                      borrow.callback());
        await(owner, borrow);
        CHECK(borrowed.account == "acct");
        CHECK(borrowed.rate == 10);
        CHECK(borrowed.tokens == 20);
        CHECK(borrowed.borrower == "h1");
        CHECK(borrowed.borrower_incarnation.value() == 3);
        CHECK(borrowed.config_version == 4);
        CHECK(borrow.reply().rate == 1.5);
        CHECK(borrow.reply().burst == 3.5);
        CHECK(borrow.reply().tokens == 2.5);
        CHECK(borrow.reply().lease == 3000ms);
        CHECK(borrow.reply().loan == 4);
        outcome<empty_reply> back;
        client.give_back(address, 4, in(5s), back.callback());
        await(owner, back);
        CHECK(given_back == 4);
    }
    SUBCASE("tickets")
    {
        outcome<claim_reply> claim;
        client.claim(address, {"ticket", "acct", "h1", base::incarnation(3), 8}, in(5s),
                     claim.callback());
        await(owner, claim);
        CHECK(claimed.ticket == "ticket");
        CHECK(claimed.account == "acct");
        CHECK(claimed.claimer == "h1");
        CHECK(claimed.claimer_incarnation.value() == 3);
        CHECK(claimed.attempt == 8);
        CHECK(claim.reply().verdict == claim_verdict::done);
        CHECK(claim.reply().response.status == 201);
        CHECK(claim.reply().response.headers == response.headers);
        CHECK(claim.reply().response.body == all_bytes);
        outcome<empty_reply> complete;
        client.complete(address, {"ticket", "h1", base::incarnation(3), 8, response}, in(5s),
                        complete.callback());
        await(owner, complete);
        CHECK(completed.ticket == "ticket");
        CHECK(completed.claimer == "h1");
        CHECK(completed.claimer_incarnation.value() == 3);
        CHECK(completed.attempt == 8);
        CHECK(completed.response.body == all_bytes);
        outcome<empty_reply> release;
        client.release(address, {"ticket", "h2", base::incarnation(4), 9}, in(5s),
                       release.callback());
        await(owner, release);
        CHECK(released.claimer == "h2");
        CHECK(released.claimer_incarnation.value() == 4);
        CHECK(released.attempt == 9);
        CHECK(release.error() == base::error_kind::stale);
        CHECK(base::error_of(**release.value).detail == "old: epoch");
    }
    SUBCASE("crash reports")
    {
        outcome<empty_reply> crash;
        client.report_crash(address, {"h1", 5, "target", {1, 2}}, in(5s), crash.callback());
        await(owner, crash);
        CHECK(crashed.reporter == "h1");
        CHECK(crashed.crash == 5);
        CHECK(crashed.target == "target");
        CHECK(crashed.fingerprints == std::vector<std::uint64_t>{1, 2});
        outcome<empty_reply> success;
        client.report_success(address, {3, 4}, in(5s), success.callback());
        await(owner, success);
        CHECK(succeeded == std::vector<std::uint64_t>{3, 4});
    }
}

// Guards against a reply that is delivered after its deadline, or a callback that runs twice.
TEST_CASE("deadlines")
{
    owner_queue owner;
    node server(settings_for(owner));
    node client(settings_for(owner, ""));
    std::optional<reply_sender<host_record>> held;
    agent_service agent;
    agent.probe = [&](const host_record& sender, reply_sender<host_record> reply) {
        if (sender.host.value() == "held") {
            held = std::move(reply);
            return;
        }
        reply(make_record("server"));
    };
    REQUIRE(base::is_ok(server.start(agent, {})));
    REQUIRE(base::is_ok(client.start({}, {})));
    outcome<host_record> late;

    SUBCASE("a late reply is dropped")
    {
        client.probe(server.bound_address(), make_record("held"), in(200ms), late.callback());
        await(owner, late);
        CHECK(late.error() == base::error_kind::peer_unavailable);
        REQUIRE(owner.run_until([&]() { return held.has_value(); }));
        (*held)(make_record("server"));
        CHECK(probe_succeeds(owner, client, server.bound_address()));
        CHECK(*late.count == 1);
    }
    SUBCASE("a deadline that has passed already")
    {
        client.probe(server.bound_address(), make_record("held"), in(-1ms), late.callback());
        await(owner, late);
        CHECK(late.error() == base::error_kind::peer_unavailable);
        CHECK(*late.count == 1);
    }
    SUBCASE("a call that the service drops without a reply")
    {
        client.probe(server.bound_address(), make_record("held"), in(20s), late.callback());
        REQUIRE(owner.run_until([&]() { return held.has_value(); }));
        held.reset();
        await(owner, late);
        CHECK(late.error() == base::error_kind::internal);
    }
    SUBCASE("no callback comes after stop")
    {
        client.probe(server.bound_address(), make_record("held"), in(20s), late.callback());
        REQUIRE(owner.run_until([&]() { return held.has_value(); }));
        client.stop();
        (*held)(make_record("server"));
        node other(settings_for(owner, ""));
        REQUIRE(base::is_ok(other.start({}, {})));
        CHECK(probe_succeeds(owner, other, server.bound_address()));
        CHECK(*late.count == 0);
    }
}

// Guards against a connection that stays broken after its peer came back.
TEST_CASE("a peer that is killed and comes back at its address")
{
    owner_queue owner;
    node client(settings_for(owner, ""));
    REQUIRE(base::is_ok(client.start({}, {})));
    auto server = std::make_unique<node>(settings_for(owner));
    REQUIRE(base::is_ok(server->start(probe_only("first"), {})));
    const std::string address = server->bound_address();
    CHECK(probe_succeeds(owner, client, address));

    server.reset();
    CHECK_FALSE(probe_succeeds(owner, client, address));

    server = std::make_unique<node>(settings_for(owner, address));
    REQUIRE(base::is_ok(server->start(probe_only("second"), {})));
    bool back = false;
    for (int attempt = 0; attempt < 10 && !back; ++attempt) {
        back = probe_succeeds(owner, client, address);
    }
    CHECK(back);
}

// Guards against a failure test that passes because the cut link still carries calls.
TEST_CASE("the cut switch")
{
    owner_queue owner;
    node server(settings_for(owner));
    node client(settings_for(owner, ""));
    REQUIRE(base::is_ok(server.start(probe_only("server"), {})));
    REQUIRE(base::is_ok(client.start({}, {})));
    const std::string address = server.bound_address();
    outcome<host_record> result;

    SUBCASE("loses calls to the address until it is lifted")
    {
        client.set_link_filter([address](const std::string& to) { return to == address; });
        client.probe(address, make_record("caller"), in(100ms), result.callback());
        await(owner, result);
        CHECK(result.error() == base::error_kind::peer_unavailable);
        client.set_link_filter({});
        CHECK(probe_succeeds(owner, client, address));
    }
    SUBCASE("loses calls from the sender's agent address")
    {
        const std::string sender = make_record("caller").agent_address;
        server.set_link_filter([sender](const std::string& from) { return from == sender; });
        client.probe(address, make_record("caller"), in(100ms), result.callback());
        await(owner, result);
        CHECK(result.error() == base::error_kind::peer_unavailable);
    }
}

// Guards against unbounded queues at a slow peer.
TEST_CASE("bounds on calls")
{
    owner_queue owner;
    auto server_settings = settings_for(owner);
    auto client_settings = settings_for(owner, "");
    std::vector<reply_sender<host_record>> held;
    agent_service agent;
    agent.probe = [&](const host_record&, reply_sender<host_record> reply) {
        held.push_back(std::move(reply));
    };
    outcome<host_record> first;
    outcome<host_record> second;
    const auto call_twice = [&](node& client, node& server) {
        client.probe(server.bound_address(), make_record("a"), in(20s), first.callback());
        REQUIRE(owner.run_until([&]() { return held.size() == 1; }));
        client.probe(server.bound_address(), make_record("b"), in(20s), second.callback());
        await(owner, second);
        CHECK(second.error() == base::error_kind::overloaded);
        held.front()(make_record("server"));
        await(owner, first);
        CHECK(base::is_ok(**first.value));
    };

    SUBCASE("calls to one peer")
    {
        client_settings.max_calls_per_peer = 1;
        node server(server_settings);
        node client(client_settings);
        REQUIRE(base::is_ok(server.start(agent, {})));
        REQUIRE(base::is_ok(client.start({}, {})));
        call_twice(client, server);
    }
    SUBCASE("calls being answered")
    {
        server_settings.max_server_calls = 1;
        node server(server_settings);
        node client(client_settings);
        REQUIRE(base::is_ok(server.start(agent, {})));
        REQUIRE(base::is_ok(client.start({}, {})));
        call_twice(client, server);
    }
    SUBCASE("a message over the size limit fails its call only")
    {
        server_settings.max_message_bytes = 1U << 16U;
        node server(server_settings);
        node client(client_settings);
        agent.push = [](const push_request&, const reply_sender<empty_reply>& reply) {
            reply(empty_reply{});
        };
        REQUIRE(base::is_ok(server.start(agent, {})));
        REQUIRE(base::is_ok(client.start({}, {})));
        outcome<empty_reply> large;
        const document text{"config", 1, 0, std::string(1U << 20U, 'x'), {}};
        client.push(server.bound_address(), {{text}, {}}, in(10s), large.callback());
        await(owner, large);
        CHECK_FALSE(base::is_ok(**large.value));
        outcome<empty_reply> small;
        client.push(server.bound_address(), {}, in(10s), small.callback());
        await(owner, small);
        if (!base::is_ok(**small.value)) { // The first may still meet the connection that closes.
            small = {};
            client.push(server.bound_address(), {}, in(10s), small.callback());
            await(owner, small);
        }
        CHECK(base::is_ok(**small.value));
    }
}

// Guards against a process that ends, or serves nobody, after bytes that are not Cap'n Proto.
TEST_CASE("garbage to the port")
{
    owner_queue owner;
    node server(settings_for(owner));
    node client(settings_for(owner, ""));
    REQUIRE(base::is_ok(server.start(probe_only("server"), {})));
    REQUIRE(base::is_ok(client.start({}, {})));
    std::mt19937 random(20261204);

    SUBCASE("an HTTP request")
    {
        send_and_await_close(server.bound_address(), "GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    }
    SUBCASE("a segment table that announces gigabytes")
    {
        send_and_await_close(server.bound_address(),
                             std::string("\0\0\0\0\xff\xff\xff\x7f", 8) + std::string(64, '\0'));
    }
    SUBCASE("well-formed framing with random content")
    {
        for (int round = 0; round < 200; ++round) {
            std::string bytes("\0\0\0\0\x04\0\0\0", 8);
            for (int index = 0; index < 32; ++index) {
                bytes.push_back(static_cast<char>(random() % 4 == 0 ? random() % 256 : 0));
            }
            send_and_await_close(server.bound_address(), bytes);
        }
    }
    CHECK(probe_succeeds(owner, client, server.bound_address()));
}

// Guards against plain-text calls between hosts that were not asked for.
TEST_CASE("addresses without TLS")
{
    owner_queue owner;
    SUBCASE("listening beyond loopback is refused")
    {
        node server(settings_for(owner, "0.0.0.0:0"));
        const auto status = server.start({}, {});
        REQUIRE_FALSE(base::is_ok(status));
        CHECK(base::error_of(status).kind == base::error_kind::bad_setting);
    }
    SUBCASE("calling beyond loopback is refused")
    {
        node client(settings_for(owner, ""));
        REQUIRE(base::is_ok(client.start({}, {})));
        outcome<host_record> result;
        client.probe("192.0.2.1:9", make_record("caller"), in(5s), result.callback());
        await(owner, result);
        CHECK(result.error() == base::error_kind::bad_setting);
    }
    SUBCASE("a port that is taken is reported at start")
    {
        node first(settings_for(owner));
        REQUIRE(base::is_ok(first.start({}, {})));
        node second(settings_for(owner, first.bound_address()));
        const auto status = second.start({}, {});
        REQUIRE_FALSE(base::is_ok(status));
        CHECK(base::error_of(status).kind == base::error_kind::bad_setting);
    }
}
