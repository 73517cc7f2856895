/// @file HTTP server of the stand-in for the platform.
///
/// | request | response |
/// |---|---|
/// | `GET /table/KEY` | 200 with `{"key","value","version"}`, or 404 |
/// | `PUT /table/KEY`, `If-Match: VERSION` or `If-None-Match: *` | 200 with the new row, or 412 |
/// | `GET /objects/NAME` | 200 with the content, or 404 |
/// | `PUT /objects/NAME` | 200, or 409 if the name has other content |
/// | `GET /hosts` | `{"hosts":[{"host_id","failure_domain","agent_address","leaving"}]}` |
/// | `PUT /hosts/ID`, `DELETE /hosts/ID` | 200; listings show the change after the lag |
/// | `POST /switch` | sets faults, see `fault_switches`; `{"restore":true}` restores the snapshot |
/// | `POST /snapshot` | saves a copy of the state |
/// | `GET /stats` | `{"reads","writes","broken_off","lost_replies"}` |
///
/// All responses have the header `Store-Era`, which rises by one with each restoration. `PUT
/// /table` with this header is answered 412 in another era.
#pragma once

#include "base/result.h"
#include "http/loop.h"
#include "http/server.h"
#include "tests/standins/platform/platform_state.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace snipeshore::http {
class exchange;
} // namespace snipeshore::http

namespace snipeshore::standins {

/// Injected faults, named as in the JSON of `POST /switch`. Control requests are not affected.
struct fault_switches {
    std::chrono::milliseconds slow_ms{0}; ///< Delay before a request takes effect.
    bool down = false;                    ///< Requests are aborted and have no effect.
    /// Number of writes that take effect although their connection is aborted before the response
    /// is complete; `true` in the JSON means all writes.
    std::uint64_t lose_replies = 0;
    /// After this many writes have taken effect, the response to the last one is lost and `down` is
    /// set; 0 disables this fault.
    std::uint64_t down_after_writes = 0;
    /// After this many writes have taken effect, the snapshot is restored; 0 disables this fault.
    std::uint64_t restore_after_writes = 0;
    bool hide_era = false;     ///< Responses have no header `Store-Era`.
    std::set<std::string> cut; ///< Clients (header `Snipeshore-Client`) handled as with `down`.
    std::chrono::milliseconds host_list_lag_ms{0};
    /// Runs once, after the response to the next read of a row. Not in the JSON.
    std::function<void()> after_row_read;
    std::function<void()> after_write; ///< Runs after the response to each write. Not in the JSON.
};

struct platform_stats {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t aborted_responses = 0;
    std::uint64_t lost_replies = 0;
};

/// To be used on the loop's thread only.
class platform_server {
public:
    explicit platform_server(http::loop& owner, fault_switches faults = {});

    base::status listen(const std::string& address);
    std::string bound_address() const;

    platform_state& state();
    fault_switches& faults();
    const platform_stats& stats() const;
    void take_snapshot();
    void restore_snapshot();

private:
    using exchange_ptr = std::shared_ptr<http::exchange>;

    void send_json(const exchange_ptr& to, int status, const std::string& body) const;
    void handle(const exchange_ptr& from);
    void handle_control(const exchange_ptr& from);
    void handle_data(const exchange_ptr& from);
    void get_row(const exchange_ptr& from, const std::string& key);
    void put_row(const exchange_ptr& from, const std::string& key);
    void get_object(const exchange_ptr& from, const std::string& name);
    void put_object(const exchange_ptr& from, const std::string& name);
    void list_hosts(const exchange_ptr& from);
    void change_host(const exchange_ptr& from, const std::string& id);
    void set_switches(const exchange_ptr& from);
    bool consume_lost_response();
    void respond_to_write(const exchange_ptr& from, int status, const std::string& body);
    void abort_response(const exchange_ptr& from);

    http::loop* m_loop;
    http::server m_server;
    platform_state m_state;
    platform_state m_snapshot;
    std::uint64_t m_era = 0; ///< Number of restorations.
    fault_switches m_faults;
    platform_stats m_stats;
};

} // namespace snipeshore::standins
