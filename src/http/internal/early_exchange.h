/// @file A request that runs before the requests in front of it on its connection are answered.
#pragma once

#include "http/exchange.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace snipeshore::http {

class loop;

/// Holds the answer until h2o reports the request itself, then passes everything on. Belongs to the
/// loop's thread.
class early_exchange final : public exchange, public std::enable_shared_from_this<early_exchange> {
public:
    early_exchange(loop& owner, request_head head, std::string peer_address);

    const request_head& head() const override;
    std::string_view body() const override;
    const std::string& peer_address() const override;
    void respond(response_head head, std::string body) override;
    void start_response(response_head head) override;
    void write(std::string piece) override;
    void finish() override;
    void abort() override;
    void on_writable(std::function<void()> callback) override;
    void on_closed(std::function<void()> callback) override;

    /// The requests in front are answered: `turn` is the exchange of this request.
    void attach(std::shared_ptr<exchange> turn);

    /// The caller has gone, or the request will not get its turn. Reports it in the next round.
    void close();

    /// Drops the callbacks.
    void disown();

private:
    void report_writable();
    void schedule_writable();
    void report_closed();
    void replay();

    /// A target's answer is read up to this size before its turn.
    static constexpr std::size_t max_held_bytes = 64U << 10U;

    loop& m_owner;
    request_head m_head;
    std::string m_peer_address;
    std::shared_ptr<exchange> m_turn;

    // What the handler has done before the turn.
    std::optional<std::pair<response_head, std::string>> m_whole;
    std::optional<response_head> m_started;
    std::string m_held;
    bool m_is_finished = false;
    bool m_is_aborted = false;

    bool m_is_closed = false;
    std::function<void()> m_on_writable;
    std::function<void()> m_on_closed;
};

} // namespace snipeshore::http
