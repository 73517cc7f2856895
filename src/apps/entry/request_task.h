/// @file Processes one request of a caller, from its arrival to the end of its response.
#pragma once

#include "apps/entry/routing.h"
#include "balancing/types/outcome.h"
#include "base/result.h"
#include "base/time.h"
#include "base/types/ids.h"
#include "http/client.h"
#include "http/types/message.h"
#include "limits/types/share_ledger.h"
#include "tickets/types/claim_registry.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace snipeshore::config {
struct document;
}

namespace snipeshore::http {
class exchange;
}

namespace snipeshore::apps {

class response_stream;
struct entry_services;
struct ticket_claim;
struct service_pool;

/// When the time of a request ends whose first bytes came at `arrived`.
base::time_point body_deadline(const entry_services& services, const http::request_head& head,
                               base::time_point arrived);

/// Records and makes the response to a request whose body was not complete at its deadline.
std::pair<http::response_head, std::string> refuse_unfinished(entry_services& services,
                                                              const http::request_head& head);

/// Resolves the route and the key, claims the ticket, applies the account's limits, sends the
/// request to a target and passes its response on. Must only be used on the thread of the event
/// loop.
class request_task : public std::enable_shared_from_this<request_task> {
public:
    /// Starts a task, which is kept alive by `services.tasks` until it has finished.
    static void start(entry_services& services, std::shared_ptr<http::exchange> exchange);

    request_task(entry_services& services, std::shared_ptr<http::exchange> exchange);
    ~request_task();
    request_task(const request_task&) = delete;
    request_task& operator=(const request_task&) = delete;
    request_task(request_task&&) = delete;
    request_task& operator=(request_task&&) = delete;

private:
    void run();
    base::status resolve();
    base::status resolve_route();
    base::status resolve_account();
    base::status resolve_deadline();

    void claim_ticket();
    void on_claim(const base::result<tickets::claim_result>& outcome);
    void replay(const tickets::cached_response& response);

    void admit();
    void on_admission(const limits::admission& verdict);

    /// A copy of the request that was sent to a target. While a hedge is in progress there are two.
    struct attempt {
        unsigned number = 0;
        std::uint32_t target = 0;
        base::time_point started;
        std::string id;                               ///< Echoed by targets in their responses.
        bool expects_echo = false;                    ///< The target echoed ids before the attempt.
        std::optional<base::time_point> last_byte_at; ///< Empty until the response begins.
        std::unique_ptr<http::client_call> call;
    };

    void send_to_target();
    base::result<std::uint32_t> choose_target();
    void start_call(std::uint32_t target);
    http::call_callbacks make_callbacks(unsigned number);
    void on_head(unsigned number, const http::response_head& head);
    void on_body(unsigned number, std::string_view chunk);
    void on_end(unsigned number, const http::call_end& end);
    void on_complete(unsigned number);
    void on_connection_broken(unsigned number, const base::error& cause);
    /// Aborts a response of which the caller has received a part.
    void abort_streaming(const attempt& current, const base::error& cause);
    attempt* find_attempt(unsigned number);
    void end_attempt(unsigned number, balancing::outcome result);
    void end_other_attempts(unsigned winner);
    void end_all_attempts();
    void consider_hedge();
    void decide_after_failure(const base::error& cause);
    /// Whether the response belongs to the attempt, as far as its id shows it.
    bool is_own_response(const attempt& current, const http::response_head& head);
    bool retry_after_shed(unsigned number, const http::response_head& shed);

    void on_caller_disconnected();
    void refuse(const base::error& cause);
    void record_end(int status, std::string_view kind);
    void finish_task();

    bool is_non_idempotent() const;
    bool is_known_not_run(base::error_kind kind) const;

    entry_services& m_services;
    std::shared_ptr<http::exchange> m_exchange;
    std::shared_ptr<const config::document> m_config;
    matched_route m_match;
    std::string m_request_id;
    std::string m_traceparent;
    base::account_id m_account; ///< Empty if the route allows anonymous requests.
    base::time_point m_arrived;
    base::time_point m_deadline;
    std::uint64_t m_fingerprint = 0;

    std::shared_ptr<ticket_claim> m_claim; ///< Null unless the route is non-idempotent.
    bool m_is_claim_held = false;
    std::uint64_t m_wait_id = 0;
    std::chrono::seconds m_retry_after{0};

    service_pool* m_pool = nullptr;
    std::vector<std::uint32_t> m_tried_targets;
    std::vector<attempt> m_open_attempts;
    unsigned m_attempt_count = 0; ///< Attempts started so far; also the number of the latest.
    unsigned m_winner = 0;        ///< Attempt whose response is passed on; 0 if none yet.
    bool m_is_hedged = false;
    bool m_is_shed = false;  ///< The response passed on reports load shedding.
    bool m_has_sent = false; ///< A byte of the request was sent to a target.

    std::shared_ptr<response_stream> m_stream; ///< Set once a response head was passed on.
    tickets::cached_response m_cached_response;
    bool m_is_response_too_large_to_cache = false;
    int m_status = 0;
    bool m_is_caller_disconnected = false;
    bool m_has_finished = false;
};

} // namespace snipeshore::apps
