#include "tests/standins/target/fake_target.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <utility>

namespace snipeshore::standins {

namespace {

constexpr int crash_exit_code = 42;
constexpr std::string_view crash_marker = "/crash";

constexpr std::size_t chunk_bytes = 65536;
constexpr std::uint64_t default_overlong_bytes = 1ULL << 30U;
constexpr std::uint64_t truncated_length = 1000;

/// Maximum number of peer addresses stored to detect new connections.
constexpr std::size_t max_peers = 100000;

/// Maximum number of load samples stored for delayed reports.
constexpr std::size_t max_samples = 100000;

bool is_marked_for_crash(const http::request_head& head)
{
    return head.path.find(crash_marker) != std::string::npos ||
           std::any_of(head.headers.begin(), head.headers.end(), [](const http::header& one) {
               return one.name.find(crash_marker) != std::string::npos ||
                      one.value.find(crash_marker) != std::string::npos;
           });
}

std::string_view path_of(const http::exchange& from)
{
    const std::string_view path = from.head().path;
    return path.substr(0, path.find('?'));
}

/// Last segment of the path, so that routes with a prefix reach the same endpoints.
std::string_view endpoint_of(const http::exchange& from)
{
    const std::string_view path = path_of(from);
    const std::size_t slash = path.rfind('/');
    return slash == std::string_view::npos ? path : path.substr(slash);
}

base::time_point deadline_of(const http::request_head& head)
{
    const auto text = http::find_header(head.headers, "snipeshore-deadline-ms");
    std::int64_t time_left = 0;
    if (!text ||
        std::from_chars(text->data(), text->data() + text->size(), time_left).ec != std::errc()) {
        return base::time_point::max();
    }
    return base::boot_clock::now() + std::chrono::milliseconds(time_left);
}

std::string echo_body(const http::request_head& head)
{
    nlohmann::json headers = nlohmann::json::object();
    for (const http::header& one : head.headers) {
        headers[one.name] = one.value;
    }
    const nlohmann::json body = {{"method", head.method},
                                 {"path", head.path},
                                 {"authority", head.authority},
                                 {"headers", headers}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

std::uint64_t query_number(std::string_view path, std::string_view name, std::uint64_t fallback)
{
    auto at = path.find('?');
    while (at != std::string_view::npos) {
        path.remove_prefix(at + 1);
        if (path.starts_with(name) && path.substr(name.size()).starts_with("=")) {
            const std::string_view text = path.substr(name.size() + 1);
            std::uint64_t value = 0;
            const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
            return parsed.ec == std::errc() ? value : fallback;
        }
        at = path.find('&');
    }
    return fallback;
}

std::string next_bytes(std::uint64_t& state, std::size_t count)
{
    // SplitMix64.
    std::string out(count, '\0');
    for (std::size_t at = 0; at < count; at += sizeof(std::uint64_t)) {
        state += 0x9e3779b97f4a7c15ULL;
        std::uint64_t word = state;
        word = (word ^ (word >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        word = (word ^ (word >> 27U)) * 0x94d049bb133111ebULL;
        word ^= word >> 31U;
        std::memcpy(out.data() + at, &word, std::min(sizeof(word), count - at));
    }
    return out;
}

fake_target::fake_target(http::loop& loop, target_settings settings)
    : m_loop(&loop), m_settings(std::move(settings)), m_started(base::boot_clock::now())
{
    sample();
}

void fake_target::handle(const std::shared_ptr<http::exchange>& from)
{
    if (is_marked_for_crash(from->head())) {
        std::_Exit(crash_exit_code);
    }
    if (respond_control(*from)) {
        return;
    }
    ++m_requests;
    admit(from);
}

void fake_target::start_draining()
{
    m_is_draining = true;
    sample();
}

bool fake_target::respond_control(http::exchange& from)
{
    const auto path = path_of(from);
    const load_sample reported = reported_sample();
    if (path == "/health") {
        const bool is_bad =
            m_settings.unhealthy || (reported.is_draining && !m_settings.hides_draining);
        respond_json(from, is_bad ? 503 : 200, health_body(reported));
        return true;
    }
    if (path == "/load") {
        respond_json(from, 200, load_body(reported));
        return true;
    }
    if (path == "/runs") {
        respond_json(from, 200, runs_body());
        return true;
    }
    return false;
}

std::string fake_target::health_body(const load_sample& reported) const
{
    const bool reports_drain = reported.is_draining && !m_settings.hides_draining;
    const char* status = m_settings.unhealthy ? "unhealthy" : reports_drain ? "draining" : "ok";
    return nlohmann::json{{"id", m_settings.id}, {"status", status}}.dump();
}

std::string fake_target::load_body(const load_sample& reported) const
{
    std::size_t running = reported.running;
    std::size_t queued = reported.queued;
    if (m_settings.load != load_report_mode::accurate) {
        running = m_settings.load == load_report_mode::full ? m_settings.slots : 0;
        queued = m_settings.load == load_report_mode::full ? m_settings.queue : 0;
    }
    return nlohmann::json{{"id", m_settings.id},
                          {"slots", m_settings.slots},
                          {"running", running},
                          {"queued", queued}}
        .dump();
}

std::string fake_target::runs_body() const
{
    const nlohmann::json body = {
        {"id", m_settings.id},         {"runs", m_runs}, {"requests", m_requests},
        {"cancelled", m_cancelled},    {"shed", m_shed}, {"expired", m_expired},
        {"connections", m_connections}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void fake_target::admit(const std::shared_ptr<http::exchange>& from)
{
    if (m_running >= m_settings.slots && m_queue.size() >= m_settings.queue) {
        shed(*from);
        return;
    }
    auto job = std::make_shared<target_job>();
    job->from = from;
    job->deadline = deadline_of(from->head());
    from->on_closed([this, job] { on_cancelled(job); });
    if (m_running >= m_settings.slots) {
        m_queue.push_back(job);
        sample();
        return;
    }
    start(job);
}

void fake_target::shed(http::exchange& from)
{
    ++m_shed;
    http::response_head head = make_head(m_settings.shed_status);
    head.headers.push_back({"retry-after", std::to_string(m_settings.retry_after.count())});
    from.respond(std::move(head), R"({"error":"overloaded"})");
}

void fake_target::start(const job_ptr& job)
{
    job->is_running = true;
    ++m_running;
    sample();
    // The run is counted at the start, so that a request that is cancelled later counts too.
    if (is_run(*job->from)) {
        count_run(job);
    }
    const auto time = service_time(*job->from);
    if (time.count() == 0) {
        execute(job);
        return;
    }
    job->timer = m_loop->schedule(base::boot_clock::now() + time, [this, job] {
        job->timer = 0;
        execute(job);
    });
}

void fake_target::execute(const job_ptr& job)
{
    if (job->is_done) {
        return;
    }
    if (base::boot_clock::now() > job->deadline) {
        ++m_expired;
        respond_json(*job->from, 504, R"({"error":"deadline"})");
        finish(job);
        return;
    }
    const auto path = endpoint_of(*job->from);
    const std::string& full = job->from->head().path;
    if (path == "/bytes" || path == "/overlong") {
        const bool is_bytes = path == "/bytes";
        job->random = query_number(full, "seed", 1);
        job->bytes_left = query_number(full, "n", is_bytes ? 0 : default_overlong_bytes);
        stream(job, is_bytes);
        return;
    }
    if (path == "/truncated") {
        truncate(job);
        return;
    }
    if (is_run(*job->from)) {
        respond_json(*job->from, 200, job->run_response);
    } else if (path == "/echo") {
        respond_json(*job->from, 200, echo_body(job->from->head()));
    } else {
        respond_json(*job->from, 200, nlohmann::json{{"id", m_settings.id}}.dump());
    }
    finish(job);
}

bool fake_target::is_run(const http::exchange& from)
{
    return endpoint_of(from) == "/run" && from.head().method == "POST";
}

void fake_target::count_run(const job_ptr& job)
{
    std::string key(job->from->body());
    if (key.empty()) {
        const auto id = http::find_header(job->from->head().headers, "snipeshore-request-id");
        key = id.value_or("");
    }
    const std::uint64_t count = ++m_runs[key];
    const nlohmann::json body = {{"id", m_settings.id}, {"key", key}, {"count", count}};
    job->run_response = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void fake_target::stream(const job_ptr& job, bool has_length)
{
    http::response_head head = make_head(200);
    head.headers.push_back({"content-type", "application/octet-stream"});
    if (has_length) {
        head.content_length = job->bytes_left;
    }
    job->from->on_writable([this, job] { write_next(job); });
    job->from->start_response(std::move(head));
    write_next(job);
}

void fake_target::write_next(const job_ptr& job)
{
    if (job->is_done) {
        return;
    }
    if (job->bytes_left == 0) {
        job->from->finish();
        finish(job);
        return;
    }
    const auto count =
        static_cast<std::size_t>(std::min<std::uint64_t>(job->bytes_left, chunk_bytes));
    job->bytes_left -= count;
    job->from->write(next_bytes(job->random, count));
}

void fake_target::truncate(const job_ptr& job)
{
    http::response_head head = make_head(200);
    if (query_number(job->from->head().path, "chunked", 0) == 0) {
        head.content_length = truncated_length;
    }
    job->from->on_writable([this, job] {
        job->from->abort();
        finish(job);
    });
    job->from->start_response(std::move(head));
    job->from->write("truncated ");
}

void fake_target::finish(const job_ptr& job)
{
    if (std::exchange(job->is_done, true)) {
        return;
    }
    if (job->timer != 0) {
        m_loop->cancel(std::exchange(job->timer, 0));
    }
    // The exchange's callback owns the job and the job owns the exchange; clearing the callback
    // breaks the reference cycle.
    job->from->on_closed(nullptr);
    if (job->is_running) {
        --m_running;
    } else {
        std::erase(m_queue, job);
    }
    sample();
    while (m_running < m_settings.slots && !m_queue.empty()) {
        const job_ptr next = m_queue.front();
        m_queue.pop_front();
        start(next);
    }
}

void fake_target::on_cancelled(const job_ptr& job)
{
    if (job->is_done) {
        return;
    }
    ++m_cancelled;
    std::printf("event=cancelled id=%s path=%s\n", m_settings.id.c_str(),
                job->from->head().path.c_str());
    std::fflush(stdout);
    finish(job);
}

std::chrono::milliseconds fake_target::service_time(const http::exchange& from)
{
    auto time = m_settings.service_time;
    if (endpoint_of(from) == "/slow" || is_run(from)) {
        time += std::chrono::milliseconds(query_number(from.head().path, "ms", 0));
    }
    const auto age = base::boot_clock::now() - m_started;
    if (age < m_settings.cold_time) {
        const double warm = std::chrono::duration<double>(age) /
                            std::chrono::duration<double>(m_settings.cold_time);
        const double factor = m_settings.cold_factor + (1.0 - m_settings.cold_factor) * warm;
        time = std::chrono::milliseconds(
            static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
    }
    if (is_new_connection(from.peer_address())) {
        ++m_connections;
        time += m_settings.connection_cost;
    }
    return time;
}

bool fake_target::is_new_connection(const std::string& peer)
{
    if (m_peers.size() >= max_peers) {
        m_peers.clear();
    }
    return m_peers.insert(peer).second;
}

void fake_target::sample()
{
    const auto now = base::boot_clock::now();
    m_samples.push_back({now, m_running, m_queue.size(), m_is_draining});
    // Keeps the newest sample that is at least `report_lag` old: it is the one that is reported.
    while (m_samples.size() > 1 &&
           (m_samples.at(1).at <= now - m_settings.report_lag || m_samples.size() > max_samples)) {
        m_samples.pop_front();
    }
}

fake_target::load_sample fake_target::reported_sample() const
{
    const auto latest = base::boot_clock::now() - m_settings.report_lag;
    load_sample reported = m_samples.front();
    for (const load_sample& one : m_samples) {
        if (one.at <= latest) {
            reported = one;
        }
    }
    return reported;
}

http::response_head fake_target::make_head(int status) const
{
    http::response_head head;
    head.status = status;
    head.headers.push_back({"snipeshore-target", m_settings.id});
    if (m_is_draining) {
        head.headers.push_back({"snipeshore-draining", "1"});
    }
    return head;
}

void fake_target::respond_json(http::exchange& from, int status, std::string body) const
{
    http::response_head head = make_head(status);
    head.headers.push_back({"content-type", "application/json"});
    from.respond(std::move(head), std::move(body));
}

} // namespace snipeshore::standins
