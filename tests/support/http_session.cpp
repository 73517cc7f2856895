#include "tests/support/http_session.h"

#include <algorithm>
#include <utility>

namespace snipeshore::test {

namespace {

using namespace std::chrono_literals;

constexpr auto check_interval = 2ms;

} // namespace

struct http_session::pending_call {
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
    for (const auto& [number, pending] : m_calls) {
        pending->call.reset();
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
        result.outcome = base::error{base::error_kind::deadline_exceeded,
                                     "the call did not end within 1 s after its deadline"};
    }
    return result;
}

std::uint64_t http_session::start(const http_request& request, done_callback done)
{
    const std::uint64_t number = m_next_number++;
    const auto pending = std::make_shared<pending_call>();
    pending->done = std::move(done);
    m_calls.emplace(number, pending);
    http::client_request message;
    message.address = request.address;
    message.head.method = request.method;
    message.head.path = request.path;
    message.head.authority = request.authority.empty() ? request.address : request.authority;
    message.head.headers = request.headers;
    message.body = request.body;
    message.deadline = base::boot_clock::now() + request.timeout;
    http::call_callbacks callbacks;
    callbacks.on_head = [pending](const http::response_head& head) {
        pending->reply.status = head.status;
        pending->reply.headers = head.headers;
    };
    callbacks.on_body = [pending](std::string_view chunk) {
        pending->reply.body.append(chunk);
    };
    callbacks.on_end = [this, pending, number](const http::call_end& end) {
        pending->reply.outcome = end.outcome;
        pending->reply.request_sent = end.request_sent;
        const auto finished = pending;
        m_loop.post([this, finished, number] {
            m_calls.erase(number);
            finished->done(finished->reply);
            m_loop.stop();
        });
    };
    pending->call = m_client.send(std::move(message), std::move(callbacks));
    return number;
}

void http_session::cancel(std::uint64_t number)
{
    const auto found = m_calls.find(number);
    if (found == m_calls.end()) {
        return;
    }
    // The call's callbacks keep the entry alive, so the call has to be ended explicitly.
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
        // The end of each call also stops the loop, so that the condition is checked at once.
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
