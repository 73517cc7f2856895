#include "apps/host/tests/fleet_fixture.h"

#include "http/exchange.h"
#include "platform/formats.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace snipeshore::apps::tests {

namespace {

/// Connections that fill the queue of a listener with a backlog of 0.
constexpr int filling_connections = 4;

std::string host_name(std::size_t host)
{
    return "h" + std::to_string(host + 1);
}

std::string domain_name(std::size_t domain)
{
    return "z" + std::to_string(domain + 1);
}

sockaddr_in parse_address(const std::string& text)
{
    const std::size_t colon = text.find(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    return address;
}

/// The store as one host sees it. Names the host's links as the addresses of the targets.
class linked_store final : public rows::row_store {
public:
    linked_store(rows::row_store& store, const std::vector<std::unique_ptr<target_link>>& links)
        : m_store(store), m_links(links)
    {}

    std::unique_ptr<rows::store_call> read(const std::string& table, const std::string& from,
                                           page_callback done) override
    {
        return start(
            [&](page_callback on_page) { return m_store.read(table, from, std::move(on_page)); },
            std::move(done));
    }

    std::unique_ptr<rows::store_call> read_changes(const std::string& table, std::uint64_t after,
                                                   std::chrono::milliseconds wait,
                                                   page_callback done) override
    {
        return start(
            [&](page_callback on_page) {
                return m_store.read_changes(table, after, wait, std::move(on_page));
            },
            std::move(done));
    }

    std::unique_ptr<rows::store_call> write(const std::string& table, const std::string& key,
                                            const std::optional<std::string>& value,
                                            status_callback done) override
    {
        ++calls;
        return m_is_cut ? nullptr : m_store.write(table, key, value, std::move(done));
    }

    void cut(bool is_cut)
    {
        m_is_cut = is_cut;
        ++m_cuts;
    }

    int calls = 0;

private:
    template <typename Start>
    std::unique_ptr<rows::store_call> start(Start start_call, page_callback done)
    {
        ++calls;
        return m_is_cut ? nullptr : start_call(with_links(std::move(done)));
    }

    page_callback with_links(page_callback done)
    {
        return [this, cuts = m_cuts, done = std::move(done)](base::result<rows::page> page) {
            if (cuts != m_cuts) {
                return;
            }
            if (base::is_ok(page)) {
                for (rows::row& row : base::value_of(page).rows) {
                    insert_address(row.value);
                }
            }
            done(page);
        };
    }

    void insert_address(std::string& value) const
    {
        for (std::size_t i = 0; i < m_links.size(); ++i) {
            const std::string name = "link-" + std::to_string(i) + "\"";
            const std::size_t at = value.find(name);
            if (at != std::string::npos) {
                value.replace(at, name.size(), m_links[i]->address() + "\"");
            }
        }
    }

    rows::row_store& m_store;
    const std::vector<std::unique_ptr<target_link>>& m_links;
    bool m_is_cut = false;
    int m_cuts = 0; ///< Calls that were sent before the last change are lost.
};

} // namespace

target_link::target_link(http::loop& loop) : m_loop(loop), m_address(free_address())
{
    restore();
}

target_link::~target_link()
{
    close_blocker();
}

void target_link::close_blocker()
{
    for (const int descriptor : std::exchange(m_blocker, {})) {
        close(descriptor);
    }
}

void target_link::restore()
{
    close_blocker();
    m_unanswered.clear();
    m_is_silent = false;
    m_server =
        std::make_unique<http::server>(m_loop, [this](std::shared_ptr<http::exchange> request) {
            if (m_is_silent || m_is_holding) {
                m_unanswered.push_back(std::move(request));
                return;
            }
            answer(request);
        });
    http::server_settings settings;
    settings.address = m_address;
    settings.max_request_bytes = 8U << 20U;
    REQUIRE(base::is_ok(m_server->listen(settings)));
}

void target_link::answer(const std::shared_ptr<http::exchange>& request)
{
    const auto id = http::find_header(request->head().headers, "x-attempt-id");
    ++runs[std::string(id.value_or(""))];
    last_head = request->head();
    last_body = request->body();
    respond_success_with(request, extra_header);
}

void target_link::hold()
{
    m_is_holding = true;
}

void target_link::answer_held()
{
    m_is_holding = false;
    for (const auto& request : std::exchange(m_unanswered, {})) {
        answer(request);
    }
}

std::size_t target_link::held_from_callers() const
{
    return static_cast<std::size_t>(
        std::count_if(m_unanswered.begin(), m_unanswered.end(),
                      [](const auto& request) { return request->is_caller_connected(); }));
}

void target_link::refuse()
{
    m_server.reset();
}

void target_link::hang()
{
    m_is_silent = true;
    m_server->drain([] {});
    const sockaddr_in address = parse_address(m_address);
    const int on = 1;
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    REQUIRE(bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    REQUIRE(listen(listener, 0) == 0);
    m_blocker.push_back(listener);
    for (int i = 0; i < filling_connections; ++i) {
        const int filling = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        (void)connect(filling, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        m_blocker.push_back(filling);
    }
}

const std::string& target_link::address() const
{
    return m_address;
}

struct fleet_fixture::host {
    host_settings settings;
    std::vector<std::unique_ptr<target_link>> links;
    std::unique_ptr<linked_store> store;
    std::unique_ptr<host_app> app;
};

fleet_fixture::fleet_fixture(std::size_t hosts, std::size_t targets, std::size_t domains)
    : m_client(loop, {})
{
    domains = domains == 0 ? hosts : domains;
    store.set("op", "config", plain_config);
    for (std::size_t i = 0; i < targets; ++i) {
        const std::string row =
            R"({"service":"svc","state":"ready","sequence":1,"slots":4,"zone":")" +
            domain_name(i % domains) + R"(","address":"link-)" + std::to_string(i) + "\"}";
        store.set("servers", "t" + std::to_string(i + 1), row);
    }
    for (std::size_t i = 0; i < hosts; ++i) {
        auto made = std::make_unique<host>();
        for (std::size_t j = 0; j < targets; ++j) {
            made->links.push_back(std::make_unique<target_link>(loop));
        }
        host_settings& settings = made->settings;
        settings.host = base::host_id(host_name(i));
        settings.failure_domain = base::failure_domain_id(domain_name(i % domains));
        for (std::size_t j = 0; j < domains; ++j) {
            settings.regions.emplace(domain_name(j), base::region_id("north"));
        }
        settings.entry_address = free_address();
        settings.ready_address = free_address();
        settings.lookup_address = free_address();
        settings.control_address = free_address();
        settings.names = platform_adapter::make_names();
        made->store = std::make_unique<linked_store>(store, made->links);
        made->app = std::make_unique<host_app>(loop, settings, platform_adapter::make_formats(),
                                               *made->store);
        REQUIRE(base::is_ok(made->app->start()));
        m_hosts.push_back(std::move(made));
    }
    for (std::size_t i = 0; i < hosts; ++i) {
        REQUIRE(run_until([&] { return app(i).known_targets() == targets && app(i).is_ready(); }));
        for (std::size_t j = 0; j < hosts; ++j) {
            REQUIRE(run_until([&] { return names(i, j); }));
        }
    }
}

fleet_fixture::~fleet_fixture() = default;

const host_settings& fleet_fixture::settings(std::size_t host) const
{
    return m_hosts[host]->settings;
}

host_app& fleet_fixture::app(std::size_t host)
{
    return *m_hosts[host]->app;
}

target_link& fleet_fixture::link(std::size_t host, std::size_t target)
{
    return *m_hosts[host]->links[target];
}

void fleet_fixture::cut_from_store(std::size_t host, bool is_cut)
{
    m_hosts[host]->store->cut(is_cut);
}

int fleet_fixture::store_calls(std::size_t host) const
{
    return m_hosts[host]->store->calls;
}

const std::vector<std::unique_ptr<target_link>>& fleet_fixture::links(std::size_t host) const
{
    return m_hosts[host]->links;
}

std::unique_ptr<http::client_call> fleet_fixture::start(http::client_request request,
                                                        std::optional<reply>& into)
{
    request.head.headers.push_back({"x-key", "key"});
    request.deadline = base::boot_clock::now() + std::chrono::seconds(10);
    return m_client.fetch(
        std::move(request), 8U << 20U,
        [&into](const base::result<std::pair<http::response_head, std::string>>& result, bool) {
            into = reply{};
            if (base::is_ok(result)) {
                const auto& [response, text] = base::value_of(result);
                into = reply{response.status, response.headers, text};
            }
        });
}

std::unique_ptr<http::client_call> fleet_fixture::begin(std::size_t host, const std::string& path,
                                                        const std::string& id,
                                                        std::optional<reply>& into)
{
    http::client_request request;
    request.address = settings(host).entry_address;
    request.head = {"GET", path, "a.example", {{"x-attempt-id", id}}};
    return start(std::move(request), into);
}

reply fleet_fixture::send(std::size_t host, const std::string& path, const std::string& method,
                          const std::string& body, const http::header_list& headers)
{
    http::client_request request;
    request.address = settings(host).entry_address;
    request.head = {method, path, "a.example", headers};
    if (!http::find_header(headers, "x-attempt-id").has_value()) {
        request.head.headers.push_back({"x-attempt-id", "id-" + std::to_string(++m_last_id)});
    }
    request.body = body;
    std::optional<reply> got;
    const auto call = start(std::move(request), got);
    REQUIRE(run_until([&] { return got.has_value(); }));
    return *got;
}

int fleet_fixture::count_served(std::size_t host, int requests)
{
    int served = 0;
    for (int i = 0; i < requests; ++i) {
        served += send(host, "/safe/one").status == 200 ? 1 : 0;
    }
    return served;
}

bool fleet_fixture::names(std::size_t asked, std::size_t host)
{
    std::optional<std::string> got;
    http::client_request request;
    request.address = settings(asked).lookup_address;
    request.head = {"GET",
                    "/v1/resolve?name=a.example&region=north&zone=" +
                        settings(host).failure_domain.value(),
                    request.address,
                    {}};
    request.deadline = base::boot_clock::now() + std::chrono::seconds(10);
    const auto call = m_client.fetch(
        std::move(request), 1U << 20U,
        [&got](const base::result<std::pair<http::response_head, std::string>>& result, bool) {
            got = base::is_ok(result) ? base::value_of(result).second : "";
        });
    REQUIRE(run_until([&] { return got.has_value(); }));
    return got->find(settings(host).entry_address) != std::string::npos;
}

int fleet_fixture::runs_of(const std::string& id) const
{
    int count = 0;
    for (const auto& host : m_hosts) {
        for (const auto& link : host->links) {
            const auto found = link->runs.find(id);
            count += found == link->runs.end() ? 0 : found->second;
        }
    }
    return count;
}

int fleet_fixture::runs_through(std::size_t host) const
{
    int count = 0;
    for (const auto& link : m_hosts[host]->links) {
        for (const auto& [id, runs] : link->runs) {
            count += runs;
        }
    }
    return count;
}

bool fleet_fixture::run_until(const std::function<bool()>& condition)
{
    return http::tests::run_until(loop, condition);
}

void fleet_fixture::run_for(std::chrono::milliseconds time)
{
    const base::time_point end = base::boot_clock::now() + time;
    run_until([end] { return base::boot_clock::now() >= end; });
}

} // namespace snipeshore::apps::tests
