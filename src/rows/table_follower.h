/// @file Keeps the replica of one table of the store up to date.
#pragma once

#include "base/time.h"
#include "rows/row_store.h"
#include "rows/table_replica.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipeshore::http {
class loop;
}

namespace snipeshore::rows {

struct follow_settings {
    std::string table;
    /// Longest time that a call waits for a change; 0 means polling.
    std::chrono::milliseconds wait{0};
    /// Pause after a response; limits the number of calls if the table changes continuously.
    std::chrono::milliseconds pause{0};
    /// Pause after a failed call; doubles up to `max_backoff`.
    std::chrono::milliseconds initial_backoff{200};
    std::chrono::milliseconds max_backoff{1000};
    std::function<bool(const row& before, const row& after)> is_repeat; ///< See `table_replica`.
    /// A peer's rows that arrive without contact to the store, and this long after all earlier
    /// news, come from a store that has just returned.
    std::chrono::milliseconds outage_gap{2500};
};

/// To be used on the loop's thread only. Reads the whole table once and then its changes; reads the
/// whole table again when the store no longer has the history or was restored to an earlier state.
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

    /// Starts a new call at once on a new connection, since the call in flight may never be
    /// answered.
    void restart();

    /// Reads the whole table at once if the store is known to have begun a later era, because the
    /// call in flight may wait for a change after a version of an earlier one.
    void on_era(std::uint64_t era);

    /// Applies rows that a peer has read.
    void apply_peer_update(const replica_update& update);

    const table_replica& replica() const;

    /// Whether the whole table was read once, or an update of a peer was applied.
    bool is_loaded() const;

    /// Whether the last call succeeded.
    bool is_store_reachable() const;

    /// Whether the next polls will soon return the rows that a peer already has, so that the peer
    /// need not be asked.
    bool is_expected_current(base::time_point now) const;

    /// Time of the first successful call, or of the first rows of a peer, after the last failure or
    /// restoration of the store, here or at a host whose rows were applied; before the first call,
    /// the time of construction. Rows that are missing soon after it may be written again.
    base::time_point store_reachable_since() const;

    /// Time of the last response of the store or of a peer that answered for it; unset before the
    /// first one.
    std::optional<base::time_point> last_response() const;

    /// Time at which the call in flight was sent; unset if there is none.
    std::optional<base::time_point> call_sent_at() const;

    /// Time at which the latest restoration of the store to an earlier state was noticed.
    std::optional<base::time_point> store_restored_at() const;

private:
    void read_all(const std::string& from);
    void on_all(base::result<page> response);
    void read_changes();
    void on_changes(base::result<page> response);
    void log_older(std::uint64_t era, std::uint64_t version) const;
    void on_failure(const base::error& failure);
    void on_success();
    /// The sender of rows has regained contact with the store at that time.
    void learn_contact(const std::optional<base::time_point>& store_reachable_since);
    double call_ms() const;
    /// Applies `change` to the replica and records whether that began a new era.
    template <typename Change>
    std::vector<row> update_replica(const Change& change);
    void schedule_next(std::chrono::milliseconds pause);

    http::loop& m_loop;
    row_store& m_store;
    follow_settings m_settings;
    change_callback m_on_change;
    table_replica m_replica;
    std::vector<row> m_partial; ///< Rows of an unfinished full read over several pages.
    std::uint64_t m_partial_version = 0;
    std::uint64_t m_partial_era = 0;
    bool m_is_loaded = false;
    bool m_is_store_reachable = false;
    bool m_needs_all = true;
    base::time_point m_store_reachable_since{};
    base::time_point m_last_news; ///< Last success, or rows of a peer.
    std::optional<base::time_point> m_store_restored_at;
    base::time_point m_last_success{};
    base::time_point m_call_sent{};
    std::chrono::milliseconds m_retry{0};
    std::unique_ptr<store_call> m_call;
    std::uint64_t m_timer = 0;
};

} // namespace snipeshore::rows
