#include "tests/support/http_session.h"

#include <algorithm>
#include <utility>

namespace snipeshore::test {

namespace {

using namespace std::chrono_literals;

constexpr auto check_interval = 2ms;

} // namespace

struct http_session::running_call {
    std::unique_ptr<http::client_call> call;
    http_response reply;
    done_callback done;
};

http_request get_with_key(const std::string& path, const std::string& key)
{
    http_request request;
    request.path = path;
    request.headers = {{"authorization", "Bearer " + key}};
    return request;
}

std::string http_response::header(std::string_view name) const
{
    return std::string(http::find_header(headers, name).value_or(""));
}

http_session::http_session() : m_client(m_loop, {.max_connections_per_address = 256}) {}

http_session::~http_session()
{
    for (const auto& [number, running] : m_calls) {
        running->call.reset();
    }
}

http_response http_session::send(const http_request& request)
{
    http_response result;
    bool has_ended = false;
    const std::uint64_t number = start(request, [&](const http_response& reply) {
        result = reply;
        has_ended = true;
    });
    const base::time_point deadline = base::boot_clock::now() + request.timeout + 1s;
    if (!run_until([&] { return has_ended; }, deadline)) {
        cancel(number);
        result.outcome = base::error{base::error_kind::deadline_exceeded, "no end of the call"};
    }
    return result;
}

std::uint64_t http_session::start(const http_request& request, done_callback done)
{
    const std::uint64_t number = m_next++;
    const auto running = std::make_shared<running_call>();
    running->done = std::move(done);
    m_calls.emplace(number, running);
    http::client_request message;
    message.address = request.address;
    message.head.method = request.method;
    message.head.path = request.path;
    message.head.authority = request.authority.empty() ? request.address : request.authority;
    message.head.headers = request.headers;
    message.body = request.body;
    message.deadline = base::boot_clock::now() + request.timeout;
    http::call_callbacks callbacks;
    callbacks.on_head = [running](const http::response_head& head) {
        running->reply.status = head.status;
        running->reply.headers = head.headers;
    };
    callbacks.on_body = [running](std::string_view piece) {
        running->reply.body.append(piece);
    };
    callbacks.on_end = [this, running, number](const http::call_end& end) {
        running->reply.outcome = end.outcome;
        running->reply.request_sent = end.request_sent;
        const auto kept = running;
        m_loop.post([this, kept, number] {
            m_calls.erase(number);
            kept->done(kept->reply);
            m_loop.stop();
        });
    };
    running->call = m_client.send(std::move(message), std::move(callbacks));
    return number;
}

void http_session::cancel(std::uint64_t number)
{
    const auto found = m_calls.find(number);
    if (found == m_calls.end()) {
        return;
    }
    // The call's callbacks hold the entry alive, so the call has to be ended itself.
    found->second->call.reset();
    m_calls.erase(found);
}

bool http_session::run_until(const std::function<bool()>& condition, base::time_point deadline)
{
    for (;;) {
        if (condition()) {
            return true;
        }
        const base::time_point now = base::boot_clock::now();
        if (now >= deadline) {
            return false;
        }
        // Every end of a call stops the loop as well, so that the condition is seen at once.
        const http::timer_id timer =
            m_loop.schedule(std::min(deadline, now + check_interval), [this] { m_loop.stop(); });
        m_loop.run();
        m_loop.cancel(timer);
    }
}

http::loop& http_session::loop()
{
    return m_loop;
}

} // namespace snipeshore::test
