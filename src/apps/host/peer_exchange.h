/// @file Messages with the other hosts: who is alive, parts of accounts' limits, rows of the store.
#pragma once

#include "base/time.h"
#include "fleet/types/exchange.h"
#include "http/client.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

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

/// Belongs to the loop's thread. Sends a message to every known host each second and answers those
/// of others on the control address.
class peer_exchange {
public:
    /// `tables`: those that hosts pass on to each other.
    peer_exchange(host_context& context, fleet::member& self,
                  std::map<std::string, rows::table_follower*> tables);
    ~peer_exchange();
    peer_exchange(const peer_exchange&) = delete;
    peer_exchange& operator=(const peer_exchange&) = delete;
    peer_exchange(peer_exchange&&) = delete;
    peer_exchange& operator=(peer_exchange&&) = delete;

    base::status start();

    /// Tells all hosts the own state at once.
    void announce();

private:
    void tick();
    void contact(const std::string& address);
    void on_reply(const std::string& address, std::string_view text);
    void handle(http::exchange& request);
    void answer_exchange(http::exchange& request);
    void answer_rows(http::exchange& request) const;
    fleet::exchange_message make_message(bool wants);
    void hear(const fleet::exchange_message& message);
    void compare_versions(const fleet::exchange_message& message);
    void fetch_rows(const std::string& address, const std::string& table);

    host_context& m_context;
    fleet::member& m_self;
    std::map<std::string, rows::table_follower*> m_tables;
    std::unique_ptr<http::server> m_server;
    std::map<std::string, std::unique_ptr<http::client_call>> m_calls;  ///< By control address.
    std::map<std::string, std::unique_ptr<http::client_call>> m_fetches; ///< By table.
};

} // namespace snipeshore::apps
