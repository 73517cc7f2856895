/// @file Responds to the hosts that ask this host for rows of the store's tables.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace snipeshore::http {
class exchange;
class loop;
} // namespace snipeshore::http

namespace snipeshore::rows {
class table_follower;
}

namespace snipeshore::apps {

/// Belongs to the loop's thread. A call that asks for changes after the newest version waits for
/// them.
class row_publisher {
public:
    row_publisher(http::loop& loop, const std::map<std::string, rows::table_follower*>& tables);

    void handle(const std::shared_ptr<http::exchange>& request);

    /// Responds to the hosts that wait for changes of the table.
    void on_rows_changed(const std::string& table);

    /// Refuses the calls of the hosts that wait for changes.
    void on_store_lost();

private:
    struct waiting_call {
        std::shared_ptr<http::exchange> request;
        std::uint64_t after = 0;
    };

    /// The update that was sent last. Most neighbours ask for the same one.
    struct encoded_update {
        std::uint64_t after = 0;
        std::uint64_t version = 0;
        std::uint64_t era = 0;
        bool has_changes = false;
        std::string text;
        std::string deflated; ///< Empty if nobody asked for it yet.
    };

    /// Responds if there are changes, or if the call is not to wait.
    bool respond(http::exchange& request, const std::string& table, std::uint64_t after,
                 bool may_wait);
    void send(http::exchange& request, encoded_update& update,
              base::time_point store_reachable_since) const;
    void respond_to_waiting(const std::string& table, const http::exchange* expired);

    http::loop& m_loop;
    const std::map<std::string, rows::table_follower*>& m_tables;
    std::map<std::string, std::vector<waiting_call>> m_waiting; ///< By table.
    std::map<std::string, encoded_update> m_last_updates;       ///< By table.
};

} // namespace snipeshore::apps
