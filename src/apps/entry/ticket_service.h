/// @file Claims tickets for requests of this host: its own ones here, others at their owner.
#pragma once

#include "base/result.h"
#include "base/time.h"
#include "base/types/ids.h"
#include "inner/service.h"
#include "tickets/types/claim_registry.h"
#include "tickets/types/ticket.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace snipeshore::inner {
class node;
}

namespace snipeshore::apps {

struct fleet_state;

/// A claim that this host was granted.
struct ticket_claim {
    std::string encoded_ticket;
    tickets::ticket ticket;
    std::uint64_t attempt = 0;
};

/// Owns the claim register. Belongs to the loop's thread.
class ticket_service {
public:
    /// Verdicts `granted` and `done` are results. Errors: `ticket_invalid` (never claimed with this
    /// ticket by this account), `overloaded` (not claimed), `outcome_unknown`.
    using claim_callback = std::function<void(base::result<tickets::claim_result>)>;

    ticket_service(inner::node& node, const fleet_state& fleet, const base::host_id& self,
                   base::incarnation incarnation, const tickets::fleet_secret& secret);

    /// Claims for one attempt. `claim` is filled in before `done` is called.
    void claim(const std::shared_ptr<ticket_claim>& claim, const base::account_id& account,
               base::time_point deadline, const claim_callback& done);

    void complete(const ticket_claim& claim, tickets::cached_response response);

    /// Only for a claim whose request was not sent to any target.
    void release(const ticket_claim& claim);

    inner::claim_reply handle_claim(const inner::claim_request& request);
    void handle_complete(const inner::complete_request& request);
    void handle_release(const inner::release_request& request);

    /// Current epoch, for the host's record.
    std::uint64_t epoch();

    const tickets::claim_registry& claims() const;

private:
    inner::claim_reply claim_locally(const tickets::ticket& ticket, const base::account_id& account,
                                     const tickets::attempt& attempt);
    void claim_at_owner(const std::shared_ptr<ticket_claim>& claim, const base::account_id& account,
                        base::time_point deadline, unsigned calls_left, const claim_callback& done);
    tickets::attempt own_attempt(const ticket_claim& claim) const;

    inner::node& m_node;
    const fleet_state& m_fleet;
    base::host_id m_self;
    base::incarnation m_incarnation;
    tickets::fleet_secret m_secret;
    tickets::claim_registry m_claims;
    std::uint64_t m_next_attempt = 1;
};

} // namespace snipeshore::apps
