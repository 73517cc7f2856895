/// @file Test helpers: waiting for conditions on a loop, raw TCP peers, a small proxy.
#pragma once

#include "base/time.h"
#include "http/client.h"
#include "http/exchange.h"
#include "http/loop.h"
#include "http/server.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace snipeshore::http::tests {

/// Runs the loop until the condition holds; false if it does not hold within `limit`.
bool run_until(loop& event_loop, const std::function<bool()>& holds,
               std::chrono::milliseconds limit = std::chrono::seconds(60));

/// Runs `work` on a separate thread while the loop runs on this one.
template <typename Work>
auto run_in_thread(loop& event_loop, Work work)
{
    auto running = std::async(std::launch::async, work);
    CHECK(run_until(event_loop, [&] {
        return running.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
    }));
    return running.get();
}

/// Settings of a server on a free loopback port.
server_settings loopback();

base::time_point from_now(std::chrono::milliseconds delay);

/// False under AddressSanitizer, which keeps freed memory, so resident memory is meaningless.
#ifdef __SANITIZE_ADDRESS__
inline constexpr bool measures_memory = false;
#else
inline constexpr bool measures_memory = true;
#endif

/// Resident memory of this process in KiB.
std::int64_t resident_kib();

/// Listens on a loopback port and calls `serve` for each accepted socket, one after the other, on a
/// separate thread.
class raw_server {
public:
    explicit raw_server(std::function<void(int)> serve);
    ~raw_server();
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;
    raw_server(raw_server&&) = delete;
    raw_server& operator=(raw_server&&) = delete;

    std::string address() const;
    int accepted() const;
    int closed() const;

private:
    void run();

    int m_listener = -1;
    std::string m_address;
    std::atomic<int> m_accepted{0};
    std::atomic<int> m_closed{0};
    std::atomic<bool> m_stopped{false};
    std::function<void(int)> m_serve;
    std::thread m_thread;
};

/// As `raw_server`, but serves each connection on a thread of its own. Its destructor ends the
/// connections that are still open.
class parallel_raw_server {
public:
    explicit parallel_raw_server(std::function<void(int)> serve);
    ~parallel_raw_server();
    parallel_raw_server(const parallel_raw_server&) = delete;
    parallel_raw_server& operator=(const parallel_raw_server&) = delete;
    parallel_raw_server(parallel_raw_server&&) = delete;
    parallel_raw_server& operator=(parallel_raw_server&&) = delete;

    std::string address() const;
    int accepted() const;

private:
    std::function<void(int)> m_serve;
    std::mutex m_mutex;
    std::set<int> m_open; ///< Guarded by the mutex.
    std::vector<std::thread> m_threads;
    std::unique_ptr<raw_server> m_listener;
};

/// Connects a blocking socket and returns its descriptor. With a small receive buffer, most of a
/// response waits in the server's kernel until the caller reads.
int connect_to(const std::string& address, int receive_buffer_bytes = 0);

/// Reads until the text occurs or the peer closes; returns everything read, including bytes after
/// the text.
std::string read_until(int descriptor, const std::string& text);

/// What a caller received until its connection ended.
struct raw_response {
    std::string text;
    bool was_reset = false;
};

/// Reads until the connection ends; `was_reset` is set to whether it ended with a reset.
std::string read_all(int descriptor, bool* was_reset = nullptr);

/// Whether bytes can be read without waiting.
bool has_bytes(int descriptor);

void write_all(int descriptor, const std::string& text);

enum class connection_end : std::uint8_t {
    close,
    close_with_last_bytes, ///< The last bytes and the end of the stream are in the same segment.
    reset,
};

/// Writes the text to a connection that the caller closes next; determines how it ends then.
void write_and_end(int descriptor, const std::string& text, connection_end how);

struct command_result {
    int code = 0;
    std::string output;
};

/// Runs a shell command while the loop runs.
command_result run_command(loop& event_loop, const std::string& command);

/// Everything that the callbacks of a call reported.
struct call_record {
    std::optional<response_head> head;
    std::string body;
    std::size_t body_bytes = 0;
    std::optional<call_end> end;
};

/// Sends a request and records its callbacks; body bytes beyond 1 MiB are only counted.
std::unique_ptr<client_call> record(client& http_client, client_request request,
                                    call_record& recorded);

client_request get(const std::string& address, const std::string& path);

/// Forwards a request to `target` and streams the response back with back-pressure.
void forward(client& http_client, const std::string& target, const std::shared_ptr<exchange>& from);

} // namespace snipeshore::http::tests
