/// @file Test fixture: a complete host, an in-memory store and targets on the same loop.
#pragma once

#include "apps/host/host_app.h"
#include "apps/host/tests/memory_store.h"
#include "http/client.h"
#include "http/loop.h"
#include "http/server.h"
#include "http/tests/test_support.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace snipeshore::apps::tests {

/// Returns a loopback address on which nothing listens.
std::string free_address();

struct reply {
    int status = 0; ///< 0: the connection ended without a response.
    http::header_list headers;
    std::string body;
};

/// A target whose responses are determined by the test.
class test_target {
public:
    using handler = std::function<void(const std::shared_ptr<http::exchange>&)>;

    test_target(http::loop& loop, handler on_request);

    std::string address() const;

    int requests = 0;

private:
    handler m_on_request;
    http::server m_server;
};

/// Settings of host "h1" in failure domain "z1" of region "north", on free addresses.
host_settings make_settings();

/// Registration of a target with 4 slots.
std::string target_row(const std::string& address, int sequence = 1,
                       const std::string& service = "svc");

/// Responds as a healthy target does.
void respond_success(const std::shared_ptr<http::exchange>& request);

/// As `respond_success`, with one more header.
void respond_success_with(const std::shared_ptr<http::exchange>& request,
                          const http::header& extra);

class host_fixture {
public:
    /// Starts the host; `config` is the value of the operators' configuration row; empty: no row.
    /// `prepare` is called before the start.
    explicit host_fixture(const std::string& config,
                          std::chrono::milliseconds leave_delay = std::chrono::milliseconds(100),
                          std::chrono::milliseconds stop_deadline = std::chrono::seconds(20),
                          const std::string& metrics_address = "",
                          const std::function<void(memory_store&)>& prepare = nullptr);

    /// Registers a target with 4 slots.
    void add_target(const std::string& id, const std::string& address, int sequence = 1,
                    const std::string& service = "svc");

    /// Waits until the host is ready and knows this number of targets.
    void await_targets(std::size_t count);

    reply send(const std::string& path, const http::header_list& headers = {},
               const std::string& method = "GET", const std::string& body = "");

    /// Starts a request without waiting for its response.
    void begin(const std::string& path, const http::header_list& headers,
               std::optional<reply>& into);

    /// Closes the connections of all requests that were begun.
    void drop_calls();

    reply get(const std::string& address, const std::string& path);
    reply post(const std::string& address, const std::string& path, const std::string& body);

    bool run_until(const std::function<bool()>& condition);

    http::loop loop;
    memory_store store;
    host_settings settings;
    std::unique_ptr<host_app> app;

private:
    std::unique_ptr<http::client_call> start(const std::string& address, http::request_head head,
                                             const std::string& body, std::optional<reply>& into);

    http::client m_client;
    std::vector<std::unique_ptr<http::client_call>> m_calls;
};

/// Configuration with routes /safe/, /once/ and /open/ for service "svc" and the API key "key".
extern const std::string plain_config;

/// As `plain_config`, with another version of eight hexadecimal digits.
std::string config_of_version(const std::string& version);

} // namespace snipeshore::apps::tests
