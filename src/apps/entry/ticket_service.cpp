#include "apps/entry/ticket_service.h"

#include "apps/common/fleet_state.h"
#include "apps/entry/peer_directory.h"
#include "inner/node.h"
#include "tickets/claim_registry.h"
#include "tickets/ticket_encoding.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace snipeshore::apps {

namespace {

using namespace std::chrono_literals;
using base::error;
using base::error_kind;

constexpr auto claim_timeout = 1s;
constexpr auto report_timeout = 2s;
/// The call is repeated once if its reply is lost; the owner grants the same attempt again.
constexpr unsigned max_claim_calls = 2;

inner::ticket_response to_message(const tickets::cached_response& response)
{
    return {response.status, response.headers, response.body};
}

tickets::cached_response to_cached_response(const inner::ticket_response& message)
{
    return {message.status, message.headers, message.body};
}

base::result<tickets::claim_result> to_claim_result(const inner::claim_reply& reply)
{
    switch (reply.verdict) {
    case inner::claim_verdict::granted:
        return tickets::claim_result{tickets::claim_verdict::granted, nullptr};
    case inner::claim_verdict::done:
        return tickets::claim_result{
            tickets::claim_verdict::done,
            std::make_shared<const tickets::cached_response>(to_cached_response(reply.response))};
    case inner::claim_verdict::invalid:
        return error{error_kind::ticket_invalid, "the ticket is not valid for this account"};
    case inner::claim_verdict::running:
        return error{error_kind::outcome_unknown, "a request with this ticket has no outcome yet"};
    case inner::claim_verdict::unknown:
        break;
    }
    return error{error_kind::outcome_unknown,
                 "the owner of the ticket does not know whether a request with this ticket ran"};
}

template <typename Request>
tickets::attempt attempt_of(const Request& request)
{
    return {base::host_id(request.claimer), request.claimer_incarnation, request.attempt};
}

} // namespace

ticket_service::ticket_service(inner::node& node, const fleet_state& fleet,
                               const base::host_id& self, base::incarnation incarnation,
                               const tickets::fleet_secret& secret)
    : m_node(node), m_fleet(fleet), m_self(self), m_incarnation(incarnation), m_secret(secret),
      m_claims(tickets::make_claim_registry({}, self, incarnation, base::boot_clock::now()))
{}

void ticket_service::claim(const std::shared_ptr<ticket_claim>& claim,
                           const base::account_id& account, base::time_point deadline,
                           const claim_callback& done)
{
    base::result<tickets::ticket> parsed =
        tickets::parse_and_verify(claim->encoded_ticket, m_secret);
    if (!base::is_ok(parsed)) {
        done(base::error_of(parsed));
        return;
    }
    claim->ticket = base::value_of(parsed);
    claim->attempt = m_next_attempt++;
    if (claim->ticket.owner != m_self) {
        claim_at_owner(claim, account, deadline, max_claim_calls, done);
        return;
    }
    done(to_claim_result(claim_locally(claim->ticket, account, own_attempt(*claim))));
}

void ticket_service::claim_at_owner(const std::shared_ptr<ticket_claim>& claim,
                                    const base::account_id& account, base::time_point deadline,
                                    unsigned calls_left, const claim_callback& done)
{
    const inner::host_record* owner = find_member(m_fleet, claim->ticket.owner);
    const bool is_owner_running = owner != nullptr && owner->status != inner::host_status::dead &&
                                  owner->entry_incarnation == claim->ticket.owner_incarnation;
    if (!is_owner_running) {
        done(error{
            error_kind::outcome_unknown,
            "the ticket's owner " + claim->ticket.owner.value() +
                " is dead or unknown, or was restarted; it is not known whether a request with "
                "this ticket ran"});
        return;
    }
    const base::time_point now = base::boot_clock::now();
    inner::claim_request request{claim->encoded_ticket, account.value(), m_self.value(),
                                 m_incarnation, claim->attempt};
    m_node.claim(
        owner->entry_inner_address, std::move(request), std::min(deadline, now + claim_timeout),
        [this, claim, account, deadline, calls_left,
         done](const base::result<inner::claim_reply>& reply) {
            if (base::is_ok(reply)) {
                done(to_claim_result(base::value_of(reply)));
                return;
            }
            if (base::error_of(reply).kind == error_kind::overloaded) {
                done(base::error_of(reply));
                return;
            }
            if (calls_left > 1 && base::boot_clock::now() < deadline) {
                claim_at_owner(claim, account, deadline, calls_left - 1, done);
                return;
            }
            done(error{error_kind::outcome_unknown,
                       "the ticket's owner " + claim->ticket.owner.value() + " did not reply"});
        });
}

tickets::attempt ticket_service::own_attempt(const ticket_claim& claim) const
{
    return {m_self, m_incarnation, claim.attempt};
}

void ticket_service::complete(const ticket_claim& claim, tickets::cached_response response)
{
    if (claim.ticket.owner == m_self) {
        tickets::complete(m_claims, claim.ticket, own_attempt(claim), std::move(response),
                          base::boot_clock::now());
        return;
    }
    inner::complete_request request{claim.encoded_ticket, m_self.value(), m_incarnation,
                                    claim.attempt, to_message(response)};
    m_node.complete(entry_inner_address(m_fleet, claim.ticket.owner), std::move(request),
                    base::boot_clock::now() + report_timeout,
                    [](const base::result<inner::empty_reply>&) {});
}

void ticket_service::release(const ticket_claim& claim)
{
    if (claim.ticket.owner == m_self) {
        tickets::release(m_claims, claim.ticket, own_attempt(claim), base::boot_clock::now());
        return;
    }
    inner::release_request request{claim.encoded_ticket, m_self.value(), m_incarnation,
                                   claim.attempt};
    m_node.release(entry_inner_address(m_fleet, claim.ticket.owner), std::move(request),
                   base::boot_clock::now() + report_timeout,
                   [](const base::result<inner::empty_reply>&) {});
}

inner::claim_reply ticket_service::handle_claim(const inner::claim_request& request)
{
    const base::result<tickets::ticket> parsed =
        tickets::parse_and_verify(request.ticket, m_secret);
    if (!base::is_ok(parsed)) {
        return {};
    }
    return claim_locally(base::value_of(parsed), base::account_id(request.account),
                         attempt_of(request));
}

inner::claim_reply ticket_service::claim_locally(const tickets::ticket& ticket,
                                                 const base::account_id& account,
                                                 const tickets::attempt& attempt)
{
    inner::claim_reply reply;
    const base::result<tickets::claim_result> outcome =
        tickets::claim(m_claims, ticket, account, attempt, base::boot_clock::now());
    if (!base::is_ok(outcome)) {
        // The registry is full. The ticket stays unclaimed, and a later request with it may be
        // granted.
        reply.verdict = inner::claim_verdict::unknown;
        return reply;
    }
    const tickets::claim_result& result = base::value_of(outcome);
    reply.verdict = static_cast<inner::claim_verdict>(result.verdict);
    if (result.response != nullptr) {
        reply.response = to_message(*result.response);
    }
    return reply;
}

void ticket_service::handle_complete(const inner::complete_request& request)
{
    const base::result<tickets::ticket> parsed =
        tickets::parse_and_verify(request.ticket, m_secret);
    if (base::is_ok(parsed)) {
        tickets::complete(m_claims, base::value_of(parsed), attempt_of(request),
                          to_cached_response(request.response), base::boot_clock::now());
    }
}

void ticket_service::handle_release(const inner::release_request& request)
{
    const base::result<tickets::ticket> parsed =
        tickets::parse_and_verify(request.ticket, m_secret);
    if (base::is_ok(parsed)) {
        tickets::release(m_claims, base::value_of(parsed), attempt_of(request),
                         base::boot_clock::now());
    }
}

std::uint64_t ticket_service::epoch()
{
    return tickets::current_epoch(m_claims, base::boot_clock::now());
}

const tickets::claim_registry& ticket_service::claims() const
{
    return m_claims;
}

} // namespace snipeshore::apps
