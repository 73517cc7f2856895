/// @file Exchanges messages with the other hosts: liveness, token grants of accounts' limits, rows
/// of the store.
#pragma once

#include "apps/host/row_publisher.h"
#include "base/time.h"
#include "fleet/types/exchange.h"
#include "http/client.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace snipeshore::http {
class exchange;
class loop;
class server;
} // namespace snipeshore::http

namespace snipeshore::rows {
class table_follower;
}

namespace snipeshore::apps {

struct host_context;

/// Belongs to the loop's thread. Sends a message to every known host of the own failure domain each
/// second and to every remote host every `fleet::remote_interval_s` seconds, and responds to the
/// messages of others on the control address.
class peer_exchange {
public:
    /// `tables`: the tables that hosts exchange. `on_relayed` is called for each request that
    /// another host relays.
    peer_exchange(host_context& context, fleet::member& self,
                  std::map<std::string, rows::table_follower*> tables,
                  std::function<void(const std::shared_ptr<http::exchange>&)> on_relayed);
    ~peer_exchange();
    peer_exchange(const peer_exchange&) = delete;
    peer_exchange& operator=(const peer_exchange&) = delete;
    peer_exchange(peer_exchange&&) = delete;
    peer_exchange& operator=(peer_exchange&&) = delete;

    base::status start();

    /// Sends the state of this host to all other hosts at once.
    void announce();

    /// Sends messages with the notices of this host to other hosts soon, in bounded number.
    void spread();

    /// Called when rows of a table have changed; responds to the hosts that wait for them.
    void on_rows_changed(const std::string& table);

    /// Called when this host has lost its contact with the store; refuses the calls of the hosts
    /// that wait for changes, which then call the store themselves.
    void on_store_lost();

    /// Requests token grants for the account from other hosts and calls `done` when enough tokens
    /// have arrived or all hosts have responded or timed out. Returns false if no host was asked,
    /// because none is known or none had tokens left recently.
    bool borrow(const base::account_id& account, std::function<void()> done);

private:
    /// Requests of one account that wait for token grants.
    struct borrow_state {
        std::vector<std::function<void()>> waiting;
        std::vector<std::unique_ptr<http::client_call>> calls;
        std::size_t open_calls = 0;
        base::time_point pause_until{};
    };

    void tick();
    void contact_due_peers();
    void contact(const std::string& address);
    bool has_called_lately(const base::host_id& peer, unsigned interval) const;
    void send(const std::string& address, const fleet::exchange_message& message,
              std::chrono::milliseconds timeout, std::unique_ptr<http::client_call>& call,
              std::function<void()> done);
    void on_reply(const std::string& address, std::string_view text);
    void on_borrow_reply(const base::account_id& account);
    void handle(const std::shared_ptr<http::exchange>& request);
    void handle_exchange(http::exchange& request);
    fleet::exchange_message make_message(bool includes_demand);
    void process_message(const fleet::exchange_message& message);
    void compare_versions(const fleet::exchange_message& message);
    /// Requests the changes after a version from a peer; the whole table if it is 0.
    void fetch_rows(const std::string& address, const std::string& table, std::uint64_t after);

    host_context& m_context;
    fleet::member& m_self;
    std::map<std::string, rows::table_follower*> m_tables;
    std::function<void(const std::shared_ptr<http::exchange>&)> m_on_relayed;
    row_publisher m_publisher;
    std::unique_ptr<http::server> m_server;
    std::map<std::string, std::unique_ptr<http::client_call>> m_calls; ///< By control address.
    std::map<base::host_id, base::time_point> m_called_at;             ///< Last call of each peer.
    std::map<std::string, std::unique_ptr<http::client_call>> m_fetches; ///< By table.
    std::map<base::account_id, borrow_state> m_borrow_states;
    unsigned m_ticks = 0;
    bool m_is_spread_scheduled = false;
    base::time_point m_spread_at{};
};

} // namespace snipeshore::apps
