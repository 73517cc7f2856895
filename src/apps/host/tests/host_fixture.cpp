#include "apps/host/tests/host_fixture.h"

#include "http/exchange.h"
#include "platform/formats.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace snipeshore::apps::tests {

const std::string plain_config = R"({"version":"00000005","services":[{"name":"svc",
"coldStart":"3s","coldPerS":2.5}],"tenants":[{"name":"coop","apiKeys":["key"],"ratePerS":0}],
"hosts":[{"host":"a.example","paths":[
{"name":"safe","prefix":"/safe/","kind":"safe","timeout":"2s","targetLatency":"1s","service":"svc",
"maxAttempts":2},
{"name":"once","prefix":"/once/","kind":"unsafe","timeout":"2s","targetLatency":"1s",
"service":"svc","maxAttempts":2},
{"name":"open","prefix":"/open/","kind":"safe","timeout":"2s","service":"svc","maxAttempts":2,
"allowAnonymous":true}]}]})";

std::string config_of_version(const std::string& version)
{
    std::string config = plain_config;
    return config.replace(config.find("00000005"), 8, version);
}

std::string free_address()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    // Stays bound until the process ends, so that no other process gets the port meanwhile; servers
    // can bind to it, as they allow reuse as well.
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    REQUIRE(bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) == 0);
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

test_target::test_target(http::loop& loop, handler on_request)
    : m_on_request(std::move(on_request)),
      m_server(loop, [this](const std::shared_ptr<http::exchange>& request) {
          ++requests;
          m_on_request(request);
      })
{
    http::server_settings settings;
    settings.address = "127.0.0.1:0";
    REQUIRE(base::is_ok(m_server.listen(settings)));
}

std::string test_target::address() const
{
    return m_server.bound_address();
}

void respond_success(const std::shared_ptr<http::exchange>& request)
{
    respond_success_with(request, {"x-extra", ""});
}

void respond_success_with(const std::shared_ptr<http::exchange>& request, const http::header& extra)
{
    http::response_head head;
    head.headers.push_back(extra);
    head.headers.push_back({"x-response-seal", "sealed"});
    const auto id = http::find_header(request->head().headers, "x-attempt-id");
    head.headers.push_back({"x-attempt-id", std::string(id.value_or(""))});
    for (const http::header& field : request->head().headers) {
        head.headers.push_back({"seen-" + field.name, field.value});
    }
    request->respond(head, "whole answer");
}

host_settings make_settings()
{
    host_settings settings;
    settings.host = base::host_id("h1");
    settings.failure_domain = base::failure_domain_id("z1");
    settings.regions = {{settings.failure_domain, base::region_id("north")}};
    settings.entry_address = free_address();
    settings.ready_address = free_address();
    settings.lookup_address = free_address();
    settings.control_address = free_address();
    settings.names = platform_adapter::make_names();
    return settings;
}

std::string target_row(const std::string& address, int sequence, const std::string& service)
{
    return R"({"service":")" + service + R"(","zone":"z1","slots":4,"state":"ready","sequence":)" +
           std::to_string(sequence) + R"(,"address":")" + address + "\"}";
}

host_fixture::host_fixture(const std::string& config, std::chrono::milliseconds leave_delay,
                           std::chrono::milliseconds stop_deadline,
                           const std::string& metrics_address,
                           const std::function<void(memory_store&)>& prepare)
    : store(loop), settings(make_settings()), m_client(loop, {})
{
    settings.leave_delay = leave_delay;
    settings.stop_deadline = stop_deadline;
    settings.metrics_address = metrics_address;
    if (!config.empty()) {
        store.set("op", "config", config);
    }
    if (prepare) {
        prepare(store);
    }
    app = std::make_unique<host_app>(loop, settings, platform_adapter::make_formats(), store);
    REQUIRE(base::is_ok(app->start()));
}

bool host_fixture::run_until(const std::function<bool()>& condition)
{
    return http::tests::run_until(loop, condition);
}

void host_fixture::add_target(const std::string& id, const std::string& address, int sequence,
                              const std::string& service)
{
    store.set("servers", id, target_row(address, sequence, service));
}

void host_fixture::await_targets(std::size_t count)
{
    REQUIRE(run_until([&] { return app->known_targets() == count && app->is_ready(); }));
}

void host_fixture::begin(const std::string& path, const http::header_list& headers,
                         std::optional<reply>& into)
{
    m_calls.push_back(start(settings.entry_address, {"GET", path, "a.example", headers}, "", into));
}

void host_fixture::drop_calls()
{
    m_calls.clear();
}

reply host_fixture::send(const std::string& path, const http::header_list& headers,
                         const std::string& method, const std::string& body)
{
    std::optional<reply> got;
    const auto call =
        start(settings.entry_address, {method, path, "a.example", headers}, body, got);
    REQUIRE(run_until([&] { return got.has_value(); }));
    return *got;
}

reply host_fixture::get(const std::string& address, const std::string& path)
{
    std::optional<reply> got;
    const auto call = start(address, {"GET", path, address, {}}, "", got);
    REQUIRE(run_until([&] { return got.has_value(); }));
    return *got;
}

reply host_fixture::post(const std::string& address, const std::string& path,
                         const std::string& body)
{
    std::optional<reply> got;
    const auto call = start(address, {"POST", path, address, {}}, body, got);
    REQUIRE(run_until([&] { return got.has_value(); }));
    return *got;
}

std::unique_ptr<http::client_call> host_fixture::start(const std::string& address,
                                                       http::request_head head,
                                                       const std::string& body,
                                                       std::optional<reply>& into)
{
    http::client_request request;
    request.address = address;
    request.head = std::move(head);
    request.body = body;
    request.deadline = base::boot_clock::now() + std::chrono::seconds(30);
    return m_client.fetch(
        std::move(request), 1U << 20U,
        [&into](const base::result<std::pair<http::response_head, std::string>>& got, bool) {
            into = reply{};
            if (base::is_ok(got)) {
                const auto& [response, body_text] = base::value_of(got);
                into = reply{response.status, response.headers, body_text};
            }
        });
}

} // namespace snipeshore::apps::tests
