/// @file Applies the account shares of this host: admission, waiting requests, loans with other
/// hosts.
#pragma once

#include "base/time.h"
#include "base/types/ids.h"
#include "inner/service.h"
#include "limits/share_ledger.h"
#include "limits/types/share_ledger.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>

namespace snipeshore::http {
class loop;
}

namespace snipeshore::inner {
class node;
}

namespace snipeshore::apps {

struct fleet_state;

/// Identifies a waiting request. 0 means that the request did not have to wait.
using wait_id = std::uint64_t;

/// Owns the share ledger. Must only be used on the thread of the event loop.
class share_manager {
public:
    using verdict_callback = std::function<void(const limits::admission&)>;

    share_manager(http::loop& loop, inner::node& node, const base::host_id& self,
                  base::incarnation incarnation);
    ~share_manager();
    share_manager(const share_manager&) = delete;
    share_manager& operator=(const share_manager&) = delete;
    share_manager(share_manager&&) = delete;
    share_manager& operator=(share_manager&&) = delete;

    /// Calls `done` with a verdict other than `wait`, either before returning or after the request
    /// has waited for a loan.
    wait_id admit(const base::account_id& account, verdict_callback done);

    /// Removes a waiting request; its callback is not called.
    void cancel(const base::account_id& account, wait_id id);

    /// Applies the limits of the configuration and the state of the members. `fleet` must outlive
    /// this object.
    void update(const fleet_state& fleet);

    inner::borrow_reply lend(const inner::borrow_request& request);
    void on_loan_returned(std::uint64_t loan);

    /// Returns all loans to their lenders, for a planned stop.
    void return_all();

    const limits::share_ledger& ledger() const;

private:
    struct waiting_request {
        wait_id id = 0;
        base::time_point wait_ends;
        verdict_callback done;
    };

    void send_loan_requests(const std::vector<limits::loan_request>& requests);
    void send_returns(const std::vector<limits::loan_return>& returns);
    void on_loan(const base::account_id& account, std::uint64_t request,
                 const base::result<inner::borrow_reply>& reply);
    void admit_waiting(const base::account_id& account);
    void schedule_admission(const base::account_id& account, base::time_point when);
    void schedule_tick();
    void tick();

    http::loop& m_loop;
    inner::node& m_node;
    base::host_id m_self;
    base::incarnation m_incarnation;
    limits::share_ledger m_ledger;
    const fleet_state* m_fleet = nullptr;
    std::unordered_map<base::account_id, std::deque<waiting_request>> m_waiting;
    wait_id m_next_wait = 1;
    std::shared_ptr<share_manager*> m_alive;
};

} // namespace snipeshore::apps
