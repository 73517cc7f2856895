#include "tests/soak/soak_target.h"

#include "http/exchange.h"
#include "http/loop.h"

#include <stdexcept>

namespace snipeshore::soak {

namespace {

constexpr std::size_t body_bytes = 3000;
constexpr std::size_t large_body_bytes = 100'000;
constexpr std::chrono::milliseconds work_time{5};
constexpr std::chrono::milliseconds slow_time{400};

/// The users' bound for a target that names a limit: from this time on, any window may have one and
/// a half times what the limit allows, and some more.
constexpr double named_limit = 5;
constexpr std::chrono::seconds limit_contact{3};
constexpr std::chrono::seconds limit_window{4};
constexpr double limit_overage = 1.5;
constexpr double limit_slack = 5;

std::string header_of(const http::exchange& request, std::string_view name)
{
    return std::string(http::find_header(request.head().headers, name).value_or(""));
}

} // namespace

std::string expected_body(const std::string& request_id)
{
    const bool is_large = request_id.find("-large") != std::string::npos;
    std::string body;
    while (body.size() < (is_large ? large_body_bytes : body_bytes)) {
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

void soak_target::set_fault(target_fault started)
{
    if (started != m_fault) {
        m_first_limited.reset();
        m_arrivals.clear();
    }
    m_fault = started;
}

target_fault soak_target::fault() const
{
    return m_fault;
}

void soak_target::check_limit()
{
    const base::time_point now = base::boot_clock::now();
    if (m_fault != target_fault::limited) {
        return;
    }
    if (!m_first_limited.has_value()) {
        m_first_limited = now;
    }
    if (now - *m_first_limited < limit_contact) {
        return;
    }
    m_arrivals.push_back(now);
    while (now - m_arrivals.front() > limit_window) {
        m_arrivals.pop_front();
    }
    const double seconds = std::chrono::duration<double>(limit_window).count();
    if (static_cast<double>(m_arrivals.size()) >
        limit_overage * named_limit * seconds + limit_slack) {
        m_checker.on_violation("limit: " + m_id + " received " + std::to_string(m_arrivals.size()) +
                               " requests within the window of its limit");
        m_arrivals.clear();
    }
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
    check_limit();
    const bool is_faulty = m_random() % 3 == 0;
    if (is_faulty && m_fault == target_fault::rejects) {
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
    const target_fault now = is_faulty ? m_fault : target_fault::none;
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
    m_loop.schedule(base::boot_clock::now() + delay,
                    [request, id, now, is_limited = m_fault == target_fault::limited] {
                        http::response_head head;
                        if (is_limited) {
                            head.headers.push_back({"server-limit", std::to_string(named_limit)});
                        }
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
