/// @file Claims tickets for requests on this host: tickets of this host locally, others at the host
/// that owns them.
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

/// Ticket and attempt of a claim that this host requested.
struct ticket_claim {
    std::string encoded_ticket;
    tickets::ticket ticket;
    std::uint64_t attempt = 0;
};

/// Owns the claim registry. Must only be used on the thread of the event loop.
class ticket_service {
public:
    /// The result has the verdict `granted` or `done`. Errors: `ticket_invalid` (the ticket is not
    /// valid for this account, so it was never claimed by it), `overloaded` (not claimed),
    /// `outcome_unknown`.
    using claim_callback = std::function<void(base::result<tickets::claim_result>)>;

    ticket_service(inner::node& node, const fleet_state& fleet, const base::host_id& self,
                   base::incarnation incarnation, const tickets::fleet_secret& secret);

    /// Claims the ticket `claim->encoded_ticket` for a new attempt. The other members of `claim`
    /// are set before `done` is called with a result.
    void claim(const std::shared_ptr<ticket_claim>& claim, const base::account_id& account,
               base::time_point deadline, const claim_callback& done);

    void complete(const ticket_claim& claim, tickets::cached_response response);

    /// Releases a claim. Must only be called if the request was not sent to any target.
    void release(const ticket_claim& claim);

    inner::claim_reply handle_claim(const inner::claim_request& request);
    void handle_complete(const inner::complete_request& request);
    void handle_release(const inner::release_request& request);

    /// Returns the current epoch of tickets, which is published in the host record.
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
