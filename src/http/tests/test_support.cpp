#include "http/tests/test_support.h"

#include "http/internal/loop_impl.h"
#include "http/internal/socket_address.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace snipeshore::http::tests {

namespace {

constexpr int poll_interval_ms = 5;
constexpr std::size_t max_recorded_body_bytes = 1U << 20U;

/// State of a request in `forward`.
struct forward_state {
    std::shared_ptr<exchange> from;
    std::unique_ptr<client_call> call;
    std::string queued;
    bool is_writing = false;
    bool is_complete = false;
};

void write_queued(forward_state& state)
{
    state.is_writing = true;
    state.from->write(std::exchange(state.queued, std::string()));
}

void on_chunk_sent(forward_state& state)
{
    state.is_writing = false;
    if (!state.queued.empty()) {
        write_queued(state);
        return;
    }
    if (state.is_complete) {
        state.from->finish();
        return;
    }
    if (state.call) {
        state.call->resume();
    }
}

void on_chunk_received(forward_state& state, std::string_view chunk)
{
    state.queued += chunk;
    if (!state.is_writing) {
        write_queued(state);
    }
    state.call->pause();
}

void on_call_end(forward_state& state, const call_end& end)
{
    if (!base::is_ok(end.outcome)) {
        state.from->abort();
        return;
    }
    state.is_complete = true;
    if (!state.is_writing) {
        state.from->finish();
    }
}

} // namespace

bool run_until(loop& event_loop, const std::function<bool()>& holds,
               std::chrono::milliseconds limit)
{
    const auto end = base::boot_clock::now() + limit;
    while (!holds()) {
        if (base::boot_clock::now() > end) {
            return false;
        }
        event_loop.internals().run_once(poll_interval_ms);
    }
    return true;
}

server_settings loopback()
{
    server_settings settings;
    settings.address = "127.0.0.1:0";
    return settings;
}

base::time_point from_now(std::chrono::milliseconds delay)
{
    return base::boot_clock::now() + delay;
}

std::int64_t resident_kib()
{
    std::ifstream file("/proc/self/statm");
    std::int64_t total = 0;
    std::int64_t resident = 0;
    file >> total >> resident;
    return resident * sysconf(_SC_PAGESIZE) / 1024;
}

raw_server::raw_server(std::function<void(int)> serve) : m_serve(std::move(serve))
{
    auto address = parse_address("127.0.0.1:0");
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (bind(m_listener, address->get(), address->length) != 0 || listen(m_listener, 16) != 0) {
        throw std::runtime_error("cannot listen on loopback");
    }
    getsockname(m_listener, address->get(), &address->length);
    m_address = format_address(address->get());
    m_thread = std::thread([this] { run(); });
}

raw_server::~raw_server()
{
    m_stopped = true;
    m_thread.join();
    close(m_listener);
}

std::string raw_server::address() const
{
    return m_address;
}

int raw_server::accepted() const
{
    return m_accepted;
}

int raw_server::closed() const
{
    return m_closed;
}

void raw_server::run()
{
    while (!m_stopped) {
        pollfd waiting{m_listener, POLLIN, 0};
        if (poll(&waiting, 1, poll_interval_ms) <= 0) {
            continue;
        }
        const int descriptor = accept(m_listener, nullptr, nullptr);
        ++m_accepted;
        m_serve(descriptor);
        close(descriptor);
        ++m_closed;
    }
}

parallel_raw_server::parallel_raw_server(std::function<void(int)> serve) : m_serve(std::move(serve))
{
    m_listener = std::make_unique<raw_server>([this](int accepted) {
        const int descriptor = fcntl(accepted, F_DUPFD_CLOEXEC, 0);
        {
            const std::lock_guard lock(m_mutex);
            m_open.insert(descriptor);
        }
        m_threads.emplace_back([this, descriptor] {
            m_serve(descriptor);
            const std::lock_guard lock(m_mutex);
            m_open.erase(descriptor);
            close(descriptor);
        });
    });
}

parallel_raw_server::~parallel_raw_server()
{
    m_listener.reset();
    {
        const std::lock_guard lock(m_mutex);
        for (const int descriptor : m_open) {
            shutdown(descriptor, SHUT_RDWR);
        }
    }
    for (std::thread& thread : m_threads) {
        thread.join();
    }
}

std::string parallel_raw_server::address() const
{
    return m_listener->address();
}

int parallel_raw_server::accepted() const
{
    return m_listener->accepted();
}

int connect_to(const std::string& address, int receive_buffer_bytes)
{
    auto parsed = parse_address(address);
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer_bytes != 0) {
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                   sizeof(receive_buffer_bytes));
    }
    if (connect(descriptor, parsed->get(), parsed->length) != 0) {
        throw std::runtime_error("cannot connect to " + address);
    }
    return descriptor;
}

std::string read_until(int descriptor, const std::string& text)
{
    std::string out;
    std::array<char, 65536> chunk{};
    std::size_t searched = 0;
    while (out.find(text, searched) == std::string::npos) {
        searched = out.size() > text.size() ? out.size() - text.size() : 0;
        const ssize_t count = recv(descriptor, chunk.data(), chunk.size(), 0);
        if (count <= 0) {
            break;
        }
        out.append(chunk.data(), static_cast<std::size_t>(count));
    }
    return out;
}

std::string read_all(int descriptor, bool* was_reset)
{
    std::string out;
    std::array<char, 65536> chunk{};
    ssize_t count = 0;
    while ((count = recv(descriptor, chunk.data(), chunk.size(), 0)) > 0) {
        out.append(chunk.data(), static_cast<std::size_t>(count));
    }
    if (was_reset != nullptr) {
        *was_reset = count < 0 && errno == ECONNRESET;
    }
    return out;
}

bool has_bytes(int descriptor)
{
    char byte = 0;
    return recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void write_all(int descriptor, const std::string& text)
{
    std::size_t done = 0;
    while (done < text.size()) {
        const ssize_t count =
            send(descriptor, text.data() + done, text.size() - done, MSG_NOSIGNAL);
        if (count <= 0) {
            return;
        }
        done += static_cast<std::size_t>(count);
    }
}

void write_and_end(int descriptor, const std::string& text, connection_end how)
{
    if (how != connection_end::close_with_last_bytes) {
        write_all(descriptor, text);
    } else if (!text.empty()) {
        send(descriptor, text.data(), text.size(), MSG_NOSIGNAL | MSG_MORE);
    }
    if (how == connection_end::reset) {
        const linger reset{1, 0};
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }
}

client_request get(const std::string& address, const std::string& path)
{
    client_request request;
    request.address = address;
    request.head.method = "GET";
    request.head.path = path;
    request.head.authority = "test";
    request.deadline = from_now(std::chrono::seconds(60));
    return request;
}

std::unique_ptr<client_call> record(client& http_client, client_request request,
                                    call_record& recorded)
{
    call_callbacks callbacks;
    callbacks.on_head = [&recorded](const response_head& head) {
        recorded.head = head;
    };
    callbacks.on_body = [&recorded](std::string_view chunk) {
        recorded.body_bytes += chunk.size();
        if (recorded.body_bytes <= max_recorded_body_bytes) {
            recorded.body += chunk;
        }
    };
    callbacks.on_end = [&recorded](const call_end& end) {
        recorded.end = end;
    };
    return http_client.send(std::move(request), std::move(callbacks));
}

void forward(client& http_client, const std::string& target, const std::shared_ptr<exchange>& from)
{
    auto state = std::make_shared<forward_state>();
    state->from = from;
    client_request request = get(target, from->head().path);
    request.head.method = from->head().method;
    request.body = std::string(from->body());
    from->on_writable([state] { on_chunk_sent(*state); });
    from->on_closed([state] { state->call.reset(); });
    call_callbacks callbacks;
    callbacks.on_head = [state](const response_head& head) {
        state->from->start_response(head);
    };
    callbacks.on_body = [state](std::string_view chunk) {
        on_chunk_received(*state, chunk);
    };
    callbacks.on_end = [state](const call_end& end) {
        on_call_end(*state, end);
    };
    state->call = http_client.send(std::move(request), std::move(callbacks));
}

command_result run_command(loop& event_loop, const std::string& command)
{
    return run_in_thread(event_loop, [&] {
        command_result seen;
        FILE* pipe = popen((command + " 2>&1").c_str(), "r");
        std::array<char, 4096> chunk{};
        std::size_t count = 0;
        while ((count = fread(chunk.data(), 1, chunk.size(), pipe)) > 0) {
            seen.output.append(chunk.data(), count);
        }
        seen.code = WEXITSTATUS(pclose(pipe));
        return seen;
    });
}

} // namespace snipeshore::http::tests
