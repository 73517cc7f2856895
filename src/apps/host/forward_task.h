/// @file Handles one request of a caller: validates it, forwards it to a target and sends the
/// response.
#pragma once

#include "affinity/types/admission.h"
#include "affinity/types/placement.h"
#include "apps/host/target_pool.h"
#include "base/result.h"
#include "base/time.h"
#include "base/types/ids.h"
#include "http/client.h"
#include "retries/types/next_step.h"
#include "retries/types/response_progress.h"
#include "routing/types/route_table.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipeshore::http {
class exchange;
}

namespace snipeshore::apps {

class response_stream;
struct host_context;

/// Belongs to the loop's thread; `host_context::tasks` keeps it alive until the response was sent
/// or the caller disconnected.
class forward_task : public std::enable_shared_from_this<forward_task> {
public:
    static void start(host_context& context, std::shared_ptr<http::exchange> exchange);

    forward_task(host_context& context, std::shared_ptr<http::exchange> exchange);
    ~forward_task();
    forward_task(const forward_task&) = delete;
    forward_task& operator=(const forward_task&) = delete;
    forward_task(forward_task&&) = delete;
    forward_task& operator=(forward_task&&) = delete;

    /// Called when this host has lost its paths to all targets: a request that waits for a
    /// connection is handed over to another host.
    void on_targets_cut();

    /// Answers a request whose response has not begun, because the process ends.
    void end_by_stop();

private:
    void run();
    base::status resolve();
    void check_quota();
    void retry_quota();
    void refuse_over_quota();
    /// Gives the account's token back if the request was not sent to any target.
    void return_unused_token();
    void begin();
    prediction::request_traits traits() const;
    std::optional<affinity::placement> place(base::time_point now) const;
    void send_to_target();
    /// Lets another host handle a request that no target has received, if this host has lost its
    /// paths to all targets. Returns whether that ended the task.
    bool hand_over();
    affinity::admission decide_admission(const affinity::placement& placement) const;
    base::status check_placement(const affinity::placement& placement);
    void start_attempt(const affinity::placement& placement);
    http::request_head make_head(const pooled_target& target, base::time_point now) const;
    /// End of the time in which a target may work on the request.
    base::time_point target_deadline() const;
    std::string format_time_left(base::time_point now) const;
    /// Updates the time left in the head of an attempt that may have waited for a connection.
    /// Returns false if the request is not to be sent any more.
    bool refresh_before_write(http::request_head& head) const;
    /// Whether the current target has said that it leaves or rests while the request waited for a
    /// connection.
    bool has_target_withdrawn() const;
    /// Ends the attempt after `refresh_before_write` has returned false.
    void end_unwanted();
    base::time_point attempt_deadline(const affinity::placement& placement,
                                      base::time_point now) const;
    http::call_callbacks make_callbacks();
    void schedule_abandon(base::time_point time);
    void cancel_abandon();
    void abandon_attempt();
    /// Whether the current attempt may be abandoned for another target: the target is silent, also
    /// to other requests, and another target has room for the request.
    bool may_abandon(base::time_point now);

    void on_head(const http::response_head& head);
    void on_body(std::string_view chunk);
    void on_end(const http::call_end& end);
    void on_complete();
    /// Whether the whole response is buffered before any of it is sent to the caller.
    bool should_buffer(const http::response_head& head) const;
    /// Records that the request was sent to the target of the current attempt.
    void count_sent();
    void on_caller_disconnected();

    /// Whether the response matches this request, by its request id and seal.
    bool matches_request(const http::response_head& head) const;
    /// Whether another target responds at the address. A sealed response is that of a run, by the
    /// target that was meant.
    bool is_misdirected(const http::response_head& head) const;
    bool is_idempotent() const;

    retries::request_progress make_progress() const;
    retries::next_step plan_next(retries::attempt_result result) const;
    /// Handles a failed attempt: retries on another target or refuses the request.
    void fail_attempt(retries::attempt_result result, std::string_view cause);
    void record_target_failure(retries::attempt_result result, std::string_view cause);
    /// Records that the connection to the current target broke, and finds out whether the target
    /// has ended.
    void record_break();
    /// Records that the current attempt ends without a response although its target may go on with
    /// it, if the request was sent.
    void record_given_up();
    /// Finds out whether the current target has ended, if it is not known what became of requests
    /// there.
    void check_target();
    /// `service_time`: what the target needed; empty if it is unknown.
    void end_attempt(std::optional<base::duration> service_time);
    void record_transfer();
    /// Empty if the caller has delayed the response.
    std::optional<base::duration> service_time() const;
    /// Time after which a failed attempt was ended although its target was still sending.
    std::optional<base::duration> failed_service_time(retries::attempt_result result) const;
    void start_streaming(const http::response_head& head);
    /// Aborts a response of which the caller has received a part.
    void abort_streaming(const base::error& cause);
    retries::delay_cause find_delay_cause() const;
    /// Whether the target has sent anything to others since it last sent something to this request.
    bool has_answered_others(const pooled_target& target) const;
    void refuse(const base::error& cause);
    void record_end(int status, std::string_view outcome);
    void finish_task();

    pooled_target* current_target() const;

    host_context& m_context;
    std::shared_ptr<http::exchange> m_exchange;
    std::shared_ptr<const routing::route_table> m_routes;
    const routing::route* m_route = nullptr;
    const routing::account* m_account = nullptr;
    base::service_id m_service;
    std::string m_id;
    std::uint64_t m_object = 0;
    std::uint64_t m_fingerprint = 0; ///< Same for all repetitions of this request.
    base::time_point m_arrived;
    /// The target's whole response has to be there by then: the earlier one of the caller's and the
    /// route's.
    base::time_point m_deadline;
    base::duration m_retry_after{0};
    bool m_is_trial = false;  ///< Tries whether the request still crashes its target.
    bool m_has_token = false; ///< Whether a token of the account's share was taken.

    // The current attempt.
    std::unique_ptr<http::client_call> m_call;
    base::target_id m_target;
    base::time_point m_sent_at{};
    sent_request m_sent;
    std::size_t m_response_bytes = 0;
    std::uint32_t m_rank = 0;
    std::optional<base::time_point> m_last_byte_at;     ///< Empty until the response begins.
    std::uint64_t m_abandon_timer = 0;                  ///< 0: not set.
    std::optional<http::response_head> m_buffered_head; ///< Head of a response that is buffered.
    std::string m_buffered_body;

    // The target chosen last, even if the request was then refused instead of sent to it.
    base::target_id m_best_target;
    base::duration m_predicted_wait{0};
    base::duration m_predicted_time{0}; ///< Predicted wait plus service time.

    std::vector<base::target_id> m_tried;
    unsigned m_sent_attempts = 0;
    unsigned m_unsent_attempts = 0;
    bool m_may_have_run = false;
    bool m_is_streaming = false;
    bool m_is_finished = false;
    int m_status = 0;
    std::shared_ptr<response_stream> m_stream;
};

} // namespace snipeshore::apps
