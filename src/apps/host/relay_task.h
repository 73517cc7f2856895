/// @file Sends one request of a caller through another host and its response back.
#pragma once

#include "base/time.h"
#include "base/types/error.h"
#include "base/types/ids.h"
#include "fleet/types/member.h"
#include "http/client.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace snipeshore::http {
class exchange;
}

namespace snipeshore::apps {

class request_relay;
class response_stream;
struct host_context;

/// Belongs to the loop's thread; `request_relay` keeps it alive until the response was sent or the
/// caller disconnected. The other host checks the request as one of its own: key, limits,
/// quarantine and retries count there, and only there.
class relay_task : public std::enable_shared_from_this<relay_task> {
public:
    /// `hosts`: hosts that may relay the request. `deadline`: that of the caller's request.
    relay_task(host_context& context, request_relay& relay,
               std::shared_ptr<http::exchange> exchange, base::time_point deadline,
               std::vector<fleet::member> hosts);
    ~relay_task();
    relay_task(const relay_task&) = delete;
    relay_task& operator=(const relay_task&) = delete;
    relay_task(relay_task&&) = delete;
    relay_task& operator=(relay_task&&) = delete;

    void start();

    /// Answers a request whose response has not begun, because the process ends.
    void end_by_stop();

private:
    void send_to_next_host();
    http::client_request make_request(const fleet::member& host) const;
    /// Returns false if the request is not to be sent any more.
    bool refresh_before_write(http::request_head& head) const;
    http::call_callbacks make_callbacks();
    void on_head(const http::response_head& head);
    void on_body(std::string_view chunk);
    void on_end(const http::call_end& end);
    void on_complete();
    void on_caller_disconnected();
    void refuse(const base::error& cause);
    void record_end(int status, std::string_view outcome);
    void end_call();
    void finish_task();

    host_context& m_context;
    request_relay& m_relay;
    std::shared_ptr<http::exchange> m_exchange;
    base::time_point m_arrived;
    base::time_point m_deadline;
    std::vector<fleet::member> m_hosts; ///< Those that were not tried yet.
    base::host_id m_host;               ///< Host of the current call; empty if there is none.
    std::string m_id;
    std::unique_ptr<http::client_call> m_call;
    std::shared_ptr<response_stream> m_stream; ///< Set once the response has begun.
    int m_status = 0;
    bool m_is_finished = false;
};

} // namespace snipeshore::apps
