#include "http/tests/test_support.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <string>
#include <utility>
#include <vector>

extern char** environ;

namespace snipeshore::standins::tests {

namespace {

using namespace http::tests;

/// The stand-in target, run as a child process.
class target_process {
public:
    explicit target_process(std::vector<std::string> flags)
    {
        flags.insert(flags.begin(), STANDIN_TARGET_PROGRAM);
        std::vector<char*> arguments;
        for (std::string& one : flags) {
            arguments.push_back(one.data());
        }
        arguments.push_back(nullptr);
        int pipe_ends[2] = {-1, -1};
        REQUIRE(pipe(pipe_ends) == 0);
        posix_spawn_file_actions_t actions{};
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
        posix_spawn_file_actions_addclose(&actions, pipe_ends[0]);
        REQUIRE(posix_spawn(&m_process, STANDIN_TARGET_PROGRAM, &actions, nullptr, arguments.data(),
                            environ) == 0);
        posix_spawn_file_actions_destroy(&actions);
        close(pipe_ends[1]);
        m_output = pipe_ends[0];
        std::string line;
        char one = 0;
        while (one != '\n' && read(m_output, &one, 1) == 1) {
            line += one;
        }
        const auto at = line.find("address=");
        REQUIRE(at != std::string::npos);
        m_address = line.substr(at + 8, line.size() - at - 9);
    }

    ~target_process()
    {
        if (m_process > 0) {
            kill(m_process, SIGKILL);
            waitpid(m_process, nullptr, 0);
        }
        close(m_output);
    }

    target_process(const target_process&) = delete;
    target_process& operator=(const target_process&) = delete;
    target_process(target_process&&) = delete;
    target_process& operator=(target_process&&) = delete;

    const std::string& address() const
    {
        return m_address;
    }

    void terminate() const
    {
        kill(m_process, SIGTERM);
    }

    /// Exit code, once the process has ended.
    std::optional<int> exit_code()
    {
        int state = 0;
        if (m_process <= 0 || waitpid(m_process, &state, WNOHANG) != m_process) {
            return std::nullopt;
        }
        m_process = 0;
        return WIFEXITED(state) ? WEXITSTATUS(state) : -WTERMSIG(state);
    }

private:
    pid_t m_process = 0;
    int m_output = -1;
    std::string m_address;
};

call_record send_and_wait(http::loop& loop, http::client& client, http::client_request request)
{
    call_record seen;
    const auto call = record(client, std::move(request), seen);
    REQUIRE(run_until(loop, [&] { return seen.end.has_value(); }));
    return seen;
}

nlohmann::json fetch_json(http::loop& loop, http::client& client, http::client_request request)
{
    return nlohmann::json::parse(send_and_wait(loop, client, std::move(request)).body);
}

} // namespace

TEST_CASE("the stand-in target serves its endpoints")
{
    http::loop loop;
    http::client client(loop, {});
    target_process target({"--id=t1", "--slots=2"});
    const std::string& address = target.address();

    CHECK(fetch_json(loop, client, get(address, "/health"))["status"] == "ok");
    CHECK(fetch_json(loop, client, get(address, "/load"))["running"] == 0);
    CHECK(fetch_json(loop, client, get(address, "/anything"))["id"] == "t1");

    http::client_request echoed = get(address, "/echo");
    echoed.head.headers.push_back({"x-seen", "yes"});
    CHECK(fetch_json(loop, client, echoed)["headers"]["x-seen"] == "yes");

    const auto bytes = send_and_wait(loop, client, get(address, "/bytes?n=300000"));
    CHECK(bytes.body_bytes == 300000);
    CHECK(bytes.head->content_length == 300000);
    CHECK(send_and_wait(loop, client, get(address, "/bytes?n=300000")).body == bytes.body);
    CHECK(send_and_wait(loop, client, get(address, "/bytes?n=300000&seed=2")).body != bytes.body);

    http::client_request run = get(address, "/run");
    run.head.method = "POST";
    run.body = "order-1";
    CHECK(fetch_json(loop, client, run)["count"] == 1);
    CHECK(fetch_json(loop, client, run)["count"] == 2);
    CHECK(fetch_json(loop, client, get(address, "/runs"))["runs"]["order-1"] == 2);

    const auto overlong = send_and_wait(loop, client, get(address, "/overlong?n=2000000"));
    CHECK(overlong.body_bytes == 2000000);
    CHECK_FALSE(overlong.head->content_length);
    for (const char* path : {"/truncated", "/truncated?chunked=1"}) {
        CHECK(base::error_of(send_and_wait(loop, client, get(address, path)).end->outcome).kind ==
              base::error_kind::answer_invalid);
    }
}

TEST_CASE("the stand-in target sheds requests that exceed its slots and queue")
{
    http::loop loop;
    http::client client(loop, {});
    target_process target({"--slots=1", "--queue=1", "--report_lag_ms=0"});
    std::vector<call_record> seen(3);
    std::vector<std::unique_ptr<http::client_call>> calls;
    for (call_record& one : seen) {
        calls.push_back(record(client, get(target.address(), "/slow?ms=1000"), one));
    }
    REQUIRE(run_until(loop, [&] { return seen[0].end && seen[1].end && seen[2].end; }));
    int shed = 0;
    for (const call_record& one : seen) {
        REQUIRE(base::is_ok(one.end->outcome));
        if (one.head->status == 503) {
            ++shed;
            CHECK(http::find_header(one.head->headers, "retry-after") == "1");
        }
    }
    CHECK(shed == 1);
}

TEST_CASE("the stand-in target counts cancelled requests and frees their slot")
{
    http::loop loop;
    http::client client(loop, {});
    target_process target({"--slots=1", "--queue=0"});
    call_record seen;
    auto call = record(client, get(target.address(), "/slow?ms=60000"), seen);
    REQUIRE(run_until(loop, [&] {
        return fetch_json(loop, client, get(target.address(), "/load"))["running"] == 1;
    }));
    call.reset();
    CHECK(run_until(loop, [&] {
        return fetch_json(loop, client, get(target.address(), "/runs"))["cancelled"] == 1;
    }));
    CHECK(send_and_wait(loop, client, get(target.address(), "/")).head->status == 200);
}

TEST_CASE("the stand-in target crashes on a marked request")
{
    http::loop loop;
    http::client client(loop, {});
    target_process target({});
    http::client_request request = get(target.address(), "/x");
    SUBCASE("in the path")
    {
        request.head.path = "/a/crash/b";
    }
    SUBCASE("in a header")
    {
        request.head.headers.push_back({"x-mark", "/crash"});
    }
    const auto seen = send_and_wait(loop, client, request);
    CHECK(base::error_of(seen.end->outcome).kind == base::error_kind::target_failed);
    std::optional<int> code;
    REQUIRE(run_until(loop, [&] { return (code = target.exit_code()).has_value(); }));
    CHECK(code == 42);
}

TEST_CASE("the stand-in target finishes its requests on SIGTERM and exits with 0")
{
    http::loop loop;
    http::client client(loop, {});
    target_process target({"--drain_notice_ms=2000"});
    call_record seen;
    const auto call = record(client, get(target.address(), "/slow?ms=2500"), seen);
    REQUIRE(run_until(loop, [&] {
        return fetch_json(loop, client, get(target.address(), "/load"))["running"] == 1;
    }));
    target.terminate();
    REQUIRE(run_until(loop, [&] {
        return fetch_json(loop, client, get(target.address(), "/health"))["status"] == "draining";
    }));
    REQUIRE(run_until(loop, [&] { return seen.end.has_value(); }));
    CHECK(base::is_ok(seen.end->outcome));
    CHECK(http::find_header(seen.head->headers, "snipeshore-draining") == "1");
    std::optional<int> code;
    REQUIRE(run_until(loop, [&] { return (code = target.exit_code()).has_value(); }));
    CHECK(code == 0);
}

TEST_CASE("the stand-in target reports a wrong state when configured to")
{
    http::loop loop;
    http::client client(loop, {});
    SUBCASE("a wrong load")
    {
        target_process target({"--load_report=full", "--slots=7"});
        CHECK(fetch_json(loop, client, get(target.address(), "/load"))["running"] == 7);
    }
    SUBCASE("good health while it drains")
    {
        target_process target({"--draining", "--lies_about_health"});
        CHECK(send_and_wait(loop, client, get(target.address(), "/health")).head->status == 200);
    }
    SUBCASE("an outdated state")
    {
        target_process target({"--draining", "--report_lag_ms=600000"});
        CHECK(fetch_json(loop, client, get(target.address(), "/health"))["status"] == "ok");
    }
}

} // namespace snipeshore::standins::tests
