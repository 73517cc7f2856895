#include "apps/entry/share_manager.h"

#include "apps/common/fleet_state.h"
#include "apps/entry/peer_directory.h"
#include "http/loop.h"
#include "inner/node.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace snipeshore::apps {

namespace {

using namespace std::chrono_literals;

constexpr auto tick_interval = 100ms;
constexpr auto give_back_timeout = 500ms;

limits::layout to_layout(const config::document& document, std::uint64_t version)
{
    limits::layout layout;
    layout.version = base::document_version(version);
    for (const config::host& host : document.hosts) {
        layout.hosts.push_back({host.id, host.failure_domain});
    }
    for (const config::account& account : document.accounts) {
        layout.accounts.push_back({account.id, account.rate, account.burst});
    }
    return layout;
}

limits::fleet_view to_fleet_view(const fleet_state& fleet)
{
    limits::fleet_view view;
    for (const inner::host_record& record : fleet.members) {
        // A dead host that is still in the platform's host list may only be frozen, so its last
        // known version is included.
        const bool is_listed = std::find(fleet.listed_hosts.begin(), fleet.listed_hosts.end(),
                                         record.host) != fleet.listed_hosts.end();
        if (record.status != inner::host_status::dead || is_listed) {
            view.in_force.push_back(
                {record.host, base::document_version(record.entry_config_version)});
        }
    }
    view.listed_known = fleet.listed_known;
    view.listed = fleet.listed_hosts;
    return view;
}

limits::loan_grant to_loan_grant(const inner::borrow_reply& reply)
{
    return {reply.loan, reply.rate, reply.burst, reply.tokens, reply.lease};
}

} // namespace

share_manager::share_manager(http::loop& loop, inner::node& node, const base::host_id& self,
                             base::incarnation incarnation)
    : m_loop(loop), m_node(node), m_self(self), m_incarnation(incarnation),
      m_ledger(limits::make_ledger({}, self, incarnation, base::boot_clock::now())),
      m_alive(std::make_shared<share_manager*>(this))
{
    schedule_tick();
}

share_manager::~share_manager() = default;

wait_id share_manager::admit(const base::account_id& account, verdict_callback done)
{
    const limits::admission verdict = limits::admit(m_ledger, account, base::boot_clock::now());
    if (verdict.verdict != limits::admit_verdict::wait) {
        done(verdict);
        return 0;
    }
    const wait_id id = m_next_wait++;
    m_waiting[account].push_back({id, verdict.wait_ends, std::move(done)});
    schedule_admission(account, verdict.check_at);
    send_loan_requests(limits::plan_loans(m_ledger, account, base::boot_clock::now()));
    return id;
}

void share_manager::schedule_admission(const base::account_id& account, base::time_point when)
{
    m_loop.schedule(when, [weak = std::weak_ptr(m_alive), account] {
        if (const auto self = weak.lock()) {
            (*self)->admit_waiting(account);
        }
    });
}

void share_manager::cancel(const base::account_id& account, wait_id id)
{
    const auto queue = m_waiting.find(account);
    if (queue == m_waiting.end()) {
        return;
    }
    const auto removed = std::erase_if(
        queue->second, [&](const waiting_request& request) { return request.id == id; });
    if (removed > 0) {
        limits::stop_waiting(m_ledger, account);
    }
}

void share_manager::admit_waiting(const base::account_id& account)
{
    auto queue = m_waiting.find(account);
    while (queue != m_waiting.end() && !queue->second.empty()) {
        const limits::admission verdict = limits::admit_waiting(
            m_ledger, account, queue->second.front().wait_ends, base::boot_clock::now());
        if (verdict.verdict == limits::admit_verdict::wait) {
            schedule_admission(account, verdict.check_at);
            return;
        }
        const verdict_callback done = std::move(queue->second.front().done);
        queue->second.pop_front();
        // The callback may change `m_waiting`, so the queue is looked up again.
        done(verdict);
        queue = m_waiting.find(account);
    }
    m_waiting.erase(account);
}

void share_manager::update(const fleet_state& fleet)
{
    m_fleet = &fleet;
    const base::time_point now = base::boot_clock::now();
    if (fleet.config != nullptr &&
        fleet.config_version > limits::version_in_force(m_ledger).value()) {
        limits::install_layout(m_ledger, to_layout(*fleet.config, fleet.config_version), now);
    }
    limits::update_fleet(m_ledger, to_fleet_view(fleet), now);
}

inner::borrow_reply share_manager::lend(const inner::borrow_request& request)
{
    limits::loan_request loan;
    loan.lender = m_self;
    loan.account = base::account_id(request.account);
    loan.rate = request.rate;
    loan.tokens = request.tokens;
    loan.borrower = base::host_id(request.borrower);
    loan.borrower_incarnation = request.borrower_incarnation;
    const limits::loan_grant grant = limits::lend(m_ledger, loan, base::boot_clock::now());
    return {grant.rate, grant.burst, grant.tokens, grant.lease, grant.loan};
}

void share_manager::on_loan_returned(std::uint64_t loan)
{
    limits::on_loan_returned(m_ledger, loan, base::boot_clock::now());
}

void share_manager::return_all()
{
    send_returns(limits::return_all_loans(m_ledger, base::boot_clock::now()));
}

const limits::share_ledger& share_manager::ledger() const
{
    return m_ledger;
}

void share_manager::send_loan_requests(const std::vector<limits::loan_request>& requests)
{
    const base::time_point deadline = base::boot_clock::now() + m_ledger.settings.loan_timeout;
    for (const limits::loan_request& request : requests) {
        inner::borrow_request message;
        message.account = request.account.value();
        message.rate = request.rate;
        message.tokens = request.tokens;
        message.borrower = m_self.value();
        message.borrower_incarnation = m_incarnation;
        const std::string address = entry_inner_address(*m_fleet, request.lender);
        m_node.borrow(address, std::move(message), deadline,
                      [weak = std::weak_ptr(m_alive), account = request.account,
                       number = request.request](const base::result<inner::borrow_reply>& reply) {
                          if (const auto self = weak.lock()) {
                              (*self)->on_loan(account, number, reply);
                          }
                      });
    }
}

void share_manager::send_returns(const std::vector<limits::loan_return>& returns)
{
    for (const limits::loan_return& loan : returns) {
        m_node.give_back(entry_inner_address(*m_fleet, loan.lender), loan.loan,
                         base::boot_clock::now() + give_back_timeout,
                         [](const base::result<inner::empty_reply>&) {});
    }
}

void share_manager::on_loan(const base::account_id& account, std::uint64_t request,
                            const base::result<inner::borrow_reply>& reply)
{
    const base::time_point now = base::boot_clock::now();
    if (base::is_ok(reply)) {
        limits::receive_loan(m_ledger, request, to_loan_grant(base::value_of(reply)), now);
    } else {
        limits::loan_failed(m_ledger, request, now);
    }
    send_loan_requests(limits::plan_loans(m_ledger, account, now));
    admit_waiting(account);
}

void share_manager::schedule_tick()
{
    m_loop.schedule(base::boot_clock::now() + tick_interval, [weak = std::weak_ptr(m_alive)] {
        if (const auto self = weak.lock()) {
            (*self)->tick();
        }
    });
}

void share_manager::tick()
{
    if (m_fleet != nullptr) {
        const base::time_point now = base::boot_clock::now();
        send_loan_requests(limits::plan_all_loans(m_ledger, now));
        send_returns(limits::plan_returns(m_ledger, now));
        std::vector<base::account_id> waiting;
        for (const auto& [account, queue] : m_waiting) {
            waiting.push_back(account);
        }
        for (const base::account_id& account : waiting) {
            admit_waiting(account);
        }
    }
    schedule_tick();
}

} // namespace snipeshore::apps
