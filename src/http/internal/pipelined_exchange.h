/// @file A pipelined request that is handled before earlier requests of its connection are
/// complete.
#pragma once

#include "http/exchange.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace snipeshore::http {

class loop;

/// Buffers the response until h2o reports the request itself, then forwards everything to its
/// exchange. Must be used on the loop's thread only.
class pipelined_exchange final : public exchange,
                                 public std::enable_shared_from_this<pipelined_exchange> {
public:
    /// `descriptor`: the caller's connection, which stays open until `close` is called.
    pipelined_exchange(loop& owner, request_head head, std::string peer_address, int descriptor);

    const request_head& head() const override;
    std::string_view body() const override;
    const std::string& peer_address() const override;
    base::time_point received_at() const override;
    bool is_caller_connected() const override;
    void respond(response_head head, std::string body) override;
    void start_response(response_head head) override;
    void write(std::string chunk) override;
    void finish() override;
    void abort() override;
    void on_writable(std::function<void()> callback) override;
    void on_closed(std::function<void()> callback) override;

    /// Sends the buffered response through `underlying`, the exchange that h2o has reported for
    /// this request, and forwards further calls to it.
    void attach(std::shared_ptr<exchange> underlying);

    /// Called when the caller has disconnected or the request is dropped. Invokes the `on_closed`
    /// callback in the next round of the loop.
    void close();

    void clear_callbacks();

private:
    void report_writable();
    void schedule_writable();
    void report_closed();
    void replay();

    /// The handler is asked for more chunks only while the buffered body does not exceed this size.
    static constexpr std::size_t max_buffered_bytes = 64U << 10U;

    loop& m_owner;
    request_head m_head;
    std::string m_peer_address;
    int m_descriptor;
    base::time_point m_received_at;
    std::shared_ptr<exchange> m_underlying;

    // Calls of the handler before `attach`.
    std::optional<std::pair<response_head, std::string>> m_full_response;
    std::optional<response_head> m_response_head;
    std::string m_buffered_body;
    bool m_is_finished = false;
    bool m_is_aborted = false;

    bool m_is_closed = false;
    std::function<void()> m_on_writable;
    std::function<void()> m_on_closed;
};

} // namespace snipeshore::http
