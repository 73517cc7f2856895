/// @file Caller of the soak that keeps a connection to one host open and checks how it ends.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <deque>
#include <random>
#include <string>

namespace snipeshore::soak {

class invariant_checker;

/// Sends batches of pipelined requests on one connection until the host closes it, and connects
/// again. Some callers ask for large responses, read them slowly and send further batches
/// meanwhile. A request that the host has read but not answered violates the answer invariant. A
/// connection that closes without having been read explains its last request, and a response with
/// `Connection: close` explains all requests after it that no target has run.
class open_caller {
public:
    open_caller(std::string name, std::string address, invariant_checker& checker,
                std::uint64_t seed);
    ~open_caller();
    open_caller(const open_caller&) = delete;
    open_caller& operator=(const open_caller&) = delete;
    open_caller(open_caller&&) = delete;
    open_caller& operator=(open_caller&&) = delete;

    /// Sends and receives what is possible without blocking; `key` is the account's current key.
    void poll(const std::string& key);

    /// Closes the connection without a check of its requests.
    void disconnect();

    std::uint64_t responses = 0; ///< Responses received; the owner may reset the count.

private:
    struct sent_request {
        std::string id;
        bool is_non_idempotent = false;
        base::time_point sent;
    };

    void connect();
    /// Whether to send a batch now.
    bool is_due(base::time_point now);
    void send_batch(const std::string& key);
    void flush();
    void receive();
    bool take_response();
    void on_response(int status, const std::string& body, bool closes);
    void on_connection_end(bool is_reset);
    void check_unanswered(bool is_reset);

    std::string m_name;
    std::string m_address;
    invariant_checker& m_checker;
    std::mt19937_64 m_random;
    bool m_is_slow; ///< Reads large responses slowly and sends on.
    int m_descriptor = -1;
    std::string m_output;
    std::string m_delayed_body; ///< Body of the last request, written separately from its head.
    std::string m_input;
    std::deque<sent_request> m_sent;
    base::time_point m_next_step{};
    std::uint64_t m_requests = 0;
};

} // namespace snipeshore::soak
