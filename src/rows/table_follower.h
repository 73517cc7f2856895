/// @file Keeps a copy of one table of the store up to date.
#pragma once

#include "base/time.h"
#include "rows/row_store.h"
#include "rows/table_replica.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace snipeshore::http {
class loop;
}

namespace snipeshore::rows {

struct follow_settings {
    std::string table;
    /// Longest time that a call waits for a change; 0 polls.
    std::chrono::milliseconds wait{0};
    /// Pause after an answer, so that a table that changes all the time costs few calls.
    std::chrono::milliseconds pause{0};
    /// Pause after a failed call; doubles up to `max_backoff`.
    std::chrono::milliseconds initial_backoff{200};
    std::chrono::milliseconds max_backoff{1000};
    std::function<bool(const row& before, const row& after)> is_repeat; ///< See `table_replica`.
};

/// Belongs to the loop's thread. Reads the whole table once and its changes from then on; reads it
/// again when the history is gone.
class table_follower {
public:
    using change_callback = std::function<void(const std::vector<row>& changes)>;

    table_follower(http::loop& loop, row_store& store, follow_settings settings,
                   change_callback on_change);
    ~table_follower();
    table_follower(const table_follower&) = delete;
    table_follower& operator=(const table_follower&) = delete;
    table_follower(table_follower&&) = delete;
    table_follower& operator=(table_follower&&) = delete;

    void start();

    /// Calls again at once, on a new connection: the call in flight may have gone silent.
    void restart();

    /// Takes what a peer read.
    void apply_peer_update(const replica_update& update);

    const table_replica& replica() const;

    /// Whether the whole table was read or taken once.
    bool is_loaded() const;

    /// Whether the last call succeeded.
    bool is_store_reachable() const;

    /// Whether the own calls will soon show what a peer knows already, so that it need not be
    /// asked.
    bool is_expected_current(base::time_point now) const;

    /// When calls succeeded again after the last failure; start if there was none.
    base::time_point store_reachable_since() const;

private:
    void read_all(const std::string& from);
    void on_all(base::result<page> answer);
    void read_changes();
    void on_changes(base::result<page> answer);
    void on_failure(const base::error& failure);
    void on_success();
    void schedule_next(std::chrono::milliseconds pause);

    http::loop& m_loop;
    row_store& m_store;
    follow_settings m_settings;
    change_callback m_on_change;
    table_replica m_replica;
    std::vector<row> m_partial; ///< Of a full read that takes several pages.
    std::uint64_t m_partial_version = 0;
    bool m_is_loaded = false;
    bool m_is_store_reachable = false;
    bool m_needs_all = true;
    base::time_point m_store_reachable_since{};
    base::time_point m_last_success{};
    std::chrono::milliseconds m_retry{0};
    std::unique_ptr<store_call> m_call;
    std::uint64_t m_timer = 0;
};

} // namespace snipeshore::rows
