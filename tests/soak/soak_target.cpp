#include "tests/soak/soak_target.h"

#include "http/exchange.h"
#include "http/loop.h"

#include <stdexcept>

namespace snipeshore::soak {

namespace {

constexpr std::size_t body_bytes = 3000;
constexpr std::chrono::milliseconds work_time{5};
constexpr std::chrono::milliseconds slow_time{400};

std::string header_of(const http::exchange& request, std::string_view name)
{
    return std::string(http::find_header(request.head().headers, name).value_or(""));
}

} // namespace

std::string expected_body(const std::string& request_id)
{
    std::string body;
    while (body.size() < body_bytes) {
        body += request_id + "/";
    }
    return body;
}

soak_target::soak_target(http::loop& loop, std::string id, invariant_checker& checker,
                         std::uint64_t seed)
    : m_loop(loop), m_id(std::move(id)), m_checker(checker), m_random(seed),
      m_server(loop, [this](const std::shared_ptr<http::exchange>& request) { handle(request); })
{
    http::server_settings settings;
    settings.address = "127.0.0.1:0";
    if (!base::is_ok(m_server.listen(settings))) {
        throw std::runtime_error("soak target cannot listen on a loopback port");
    }
}

std::string soak_target::row(std::uint64_t sequence) const
{
    return R"({"service":"svc","zone":"z1","slots":8,"born":1,"state":")" +
           std::string(is_draining ? "draining" : "ready") + R"(","sequence":)" +
           std::to_string(sequence) + R"(,"address":")" + m_server.bound_address() + "\"}";
}

const std::string& soak_target::id() const
{
    return m_id;
}

void soak_target::handle(const std::shared_ptr<http::exchange>& request)
{
    const std::string meant_for = header_of(*request, "x-target-instance");
    if (!meant_for.empty() && meant_for != m_id) {
        http::response_head head;
        head.status = 421;
        head.headers.push_back({"x-attempt-id", header_of(*request, "x-attempt-id")});
        request->respond(head, "");
        return;
    }
    if (!header_of(*request, "x-key").empty()) {
        m_checker.on_violation("key: forwarded to " + m_id);
    }
    if (base::boot_clock::now() > last_allowed_request) {
        m_checker.on_violation("drain: " + m_id + " received a request after its drain");
    }
    const bool is_faulty = m_random() % 3 == 0;
    if (is_faulty && fault == target_fault::rejects) {
        http::response_head head;
        head.status = 503;
        head.headers.push_back({"x-not-executed", "1"});
        head.headers.push_back({"x-attempt-id", header_of(*request, "x-attempt-id")});
        request->respond(head, "");
        return;
    }
    run(request);
}

void soak_target::run(const std::shared_ptr<http::exchange>& request)
{
    const std::string id = header_of(*request, "x-attempt-id");
    m_checker.on_run(id, request->head().path.starts_with("/once/"),
                     header_of(*request, "x-tenant") == "small", base::boot_clock::now());
    const bool is_faulty = m_random() % 3 == 0;
    const target_fault now = is_faulty ? fault : target_fault::none;
    if (now == target_fault::unresponsive) {
        m_unanswered.insert(request);
        return;
    }
    if (now == target_fault::drops_responses) {
        request->abort();
        return;
    }
    const auto delay = now == target_fault::slow ? slow_time : work_time;
    if (now == target_fault::truncates) {
        m_checker.on_cut(id);
    }
    m_loop.schedule(base::boot_clock::now() + delay, [request, id, now] {
        http::response_head head;
        head.headers.push_back({"x-response-seal", "sealed"});
        head.headers.push_back(
            {"x-attempt-id", now == target_fault::mismatches_id ? "another" : id});
        const std::string body = expected_body(id);
        if (now == target_fault::truncates) {
            head.content_length = body.size();
            request->start_response(head);
            request->write(body.substr(0, body.size() / 2));
            request->abort();
            return;
        }
        request->respond(head, body);
    });
}

} // namespace snipeshore::soak
