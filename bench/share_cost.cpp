/// @file Measures the cost of account shares on one host: state per active account and time per
/// admission, for several numbers of hosts and accounts. The state must fit into the 64 MB per node
/// of section 1.6.
#include "bench/models/live_bytes.h"
#include "limits/share_ledger.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

using namespace snipeshore;
using std::chrono::milliseconds;

namespace {

constexpr double bound_mib = 64;
constexpr std::size_t target_hosts = 1000;
constexpr std::size_t target_domains = 22;
constexpr std::size_t target_accounts = 10000;
constexpr std::size_t admissions = 400000;
constexpr double full_bucket = 1e9;
constexpr std::array<std::size_t, 4> host_sizes{12, 100, 400, target_hosts};
constexpr std::array<std::size_t, 4> account_sizes{8, 100, 1000, target_accounts};

struct cost {
    double admit_ns = 0;
    double first_admit_ns = 0;  ///< Includes the computation of the home hosts.
    double active_bytes = 0;    ///< Per account without loans.
    double borrowing_bytes = 0; ///< Per account that holds a loan from each home host.
};

limits::layout layout_of(std::size_t hosts, std::size_t accounts)
{
    const std::size_t domains = hosts < 100 ? 6 : target_domains;
    limits::layout result;
    result.version = base::document_version(1);
    for (std::size_t index = 0; index < hosts; ++index) {
        result.hosts.push_back(
            {base::host_id("host-" + std::to_string(index)),
             base::failure_domain_id("domain-" + std::to_string(index % domains))});
    }
    for (std::size_t index = 0; index < accounts; ++index) {
        result.accounts.push_back({base::account_id("account-" + std::to_string(index)),
                                   base::request_rate(1e9), base::request_count(1e9)});
    }
    return result;
}

limits::fleet_view confirmed(const limits::layout& source)
{
    limits::fleet_view view;
    view.listed_known = true;
    for (const limits::entry_host& host : source.hosts) {
        view.in_force.push_back({host.id, source.version});
        view.listed.push_back(host.id);
    }
    return view;
}

template <typename Action>
double nanoseconds(const Action& action)
{
    const auto begin = std::chrono::steady_clock::now();
    action();
    const std::chrono::duration<double, std::nano> time = std::chrono::steady_clock::now() - begin;
    return time.count();
}

cost measure(std::size_t hosts, std::size_t accounts)
{
    const limits::layout source = layout_of(hosts, accounts);
    base::time_point now{std::chrono::hours(1)};
    limits::share_ledger ledger =
        limits::make_ledger({}, source.hosts.front().id, base::incarnation(1), now);
    limits::install_layout(ledger, source, now);
    limits::update_fleet(ledger, confirmed(source), now);
    now += std::chrono::minutes(1);

    cost result;
    const auto per_account = static_cast<double>(accounts);
    const std::size_t empty = bench_models::live_bytes();
    result.first_admit_ns = nanoseconds([&] {
                                for (const limits::account_limit& item : source.accounts) {
                                    limits::admit(ledger, item.account, now);
                                }
                            }) /
                            per_account;
    result.active_bytes = static_cast<double>(bench_models::live_bytes() - empty) / per_account;
    // This host is not a home host of every account, so all buckets are filled for the measurement
    // of admissions.
    for (auto& [account, state] : ledger.accounts) {
        state.waiting = 0;
        state.capacity = full_bucket;
        state.tokens = full_bucket;
    }
    std::size_t admitted = 0;
    result.admit_ns = nanoseconds([&] {
                          for (std::size_t index = 0; index < admissions; ++index) {
                              now += std::chrono::nanoseconds(100);
                              // The stride spreads the requests over the accounts in an order that
                              // the CPU cache cannot predict.
                              const auto& item = source.accounts[index * 7919 % accounts];
                              admitted += limits::admit(ledger, item.account, now).verdict ==
                                                  limits::admit_verdict::admitted
                                              ? 1
                                              : 0;
                          }
                      }) /
                      static_cast<double>(admissions);
    for (const limits::account_limit& item : source.accounts) {
        const limits::account_state& state = ledger.accounts.at(item.account);
        for (std::size_t round = 0; round < state.homes.size(); ++round) {
            ledger.accounts.at(item.account).tokens = 0;
            ledger.accounts.at(item.account).demand = 1e12;
            for (const limits::loan_request& request :
                 limits::plan_loans(ledger, item.account, now)) {
                limits::receive_loan(ledger, request.request, {1, 1, 1, 1, milliseconds(2000)},
                                     now);
            }
        }
    }
    result.borrowing_bytes = static_cast<double>(bench_models::live_bytes() - empty) / per_account;
    if (admitted != admissions) {
        std::fprintf(stderr, "share_cost: %zu of %zu admitted\n", admitted, admissions);
        std::exit(1);
    }
    return result;
}

void print(const char* name, const std::string& size, double value, const char* unit)
{
    std::printf("bench %s_%s %.1f %s - pass\n", name, size.c_str(), value, unit);
}

void print_all(const cost& item, std::size_t hosts, std::size_t accounts)
{
    const std::string size = "h" + std::to_string(hosts) + "_a" + std::to_string(accounts);
    print("share_state_bytes_per_account", size, item.active_bytes, "bytes");
    print("share_state_bytes_per_borrowing_account", size, item.borrowing_bytes, "bytes");
    print("share_admit_ns", size, item.admit_ns, "ns");
    print("share_first_admit_ns", size, item.first_admit_ns, "ns");
}

void print_slopes(const char* over, const cost& small, const cost& large, std::size_t sizes)
{
    const auto steps = static_cast<double>(sizes);
    std::printf("bench share_admit_ns_slope_%s %.5f ns - pass\n", over,
                (large.admit_ns - small.admit_ns) / steps);
    std::printf("bench share_state_bytes_per_account_slope_%s %.5f bytes - pass\n", over,
                (large.active_bytes - small.active_bytes) / steps);
}

} // namespace

int main()
{
    std::array<cost, host_sizes.size()> by_hosts{};
    for (std::size_t index = 0; index < host_sizes.size(); ++index) {
        by_hosts.at(index) = measure(host_sizes.at(index), 1000);
        print_all(by_hosts.at(index), host_sizes.at(index), 1000);
    }
    print_slopes("per_host", by_hosts.front(), by_hosts.back(),
                 host_sizes.back() - host_sizes.front());
    std::array<cost, account_sizes.size()> by_accounts{};
    for (std::size_t index = 0; index < account_sizes.size(); ++index) {
        by_accounts.at(index) = measure(target_hosts, account_sizes.at(index));
        print_all(by_accounts.at(index), target_hosts, account_sizes.at(index));
    }
    print_slopes("per_account", by_accounts.front(), by_accounts.back(),
                 account_sizes.back() - account_sizes.front());
    constexpr double mib = 1024.0 * 1024.0;
    // Assumes 10,000 active accounts on one host; a tenth of them borrow from every home host.
    const double state =
        static_cast<double>(target_accounts) *
        (0.9 * by_accounts.back().active_bytes + 0.1 * by_accounts.back().borrowing_bytes) / mib;
    const bool pass = state <= bound_mib;
    std::printf("bench share_state_mib_at_target_size %.1f MiB %.0f %s\n", state, bound_mib,
                pass ? "pass" : "fail");
    return pass ? 0 : 1;
}
