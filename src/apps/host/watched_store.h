/// @file Calls to the store that do not wait for responses which were lost in a silence of the
/// store.
#pragma once

#include "base/types/error_kind.h"
#include "contact/types/store_contact.h"
#include "http/loop.h"
#include "rows/row_store.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace snipeshore::telemetry {
class metrics;
}

namespace snipeshore::apps {

struct watched_store_settings {
    std::string probed_table; ///< Probes read an empty range of it.
    /// Position of this host among those of its failure domain that call the store.
    std::function<std::size_t()> rank;
    /// Called when the store has fallen silent or responds again.
    std::function<void(bool is_silent)> on_change;
};

/// Belongs to the loop's thread. When the store falls silent, all open calls fail at once. Reads
/// that are started meanwhile are sent when a probe shows that the store responds again; writes
/// fail.
class watched_store final : public rows::row_store {
public:
    /// `store` must outlive this object.
    watched_store(http::loop& loop, rows::row_store& store, telemetry::metrics& metrics,
                  watched_store_settings settings);
    ~watched_store() override;
    watched_store(const watched_store&) = delete;
    watched_store& operator=(const watched_store&) = delete;
    watched_store(watched_store&&) = delete;
    watched_store& operator=(watched_store&&) = delete;

    std::unique_ptr<rows::store_call> read(const std::string& table, const std::string& from,
                                           page_callback done) override;
    std::unique_ptr<rows::store_call> read_changes(const std::string& table, std::uint64_t after,
                                                   std::chrono::milliseconds wait,
                                                   page_callback done) override;
    std::unique_ptr<rows::store_call> write(const std::string& table, const std::string& key,
                                            const std::optional<std::string>& value,
                                            status_callback done) override;

    /// Has no effect while calls are open: whether those are lost is found out by their time.
    void renew_connections() override;

    /// Another host has contact with the store again.
    void on_peer_contact();

    /// Another host has a change of this version of the table.
    void on_change_at_peer(const std::string& table, std::uint64_t version);

    bool is_silent() const;

private:
    class handle;
    struct watched_call;
    struct probe;
    using call_ptr = std::shared_ptr<watched_call>;

    std::unique_ptr<rows::store_call> add(const call_ptr& call);
    void send(const call_ptr& call);
    /// Removes the call, which has ended; null if it was dropped or lost before.
    call_ptr take(contact::call_id id);
    void on_page(contact::call_id id, const base::result<rows::page>& page);
    void on_written(contact::call_id id, const base::status& written);
    void drop(contact::call_id id);
    /// Calls back with an error; for a write, of the given kind.
    static void fail(const watched_call& call, base::error_kind of_write);
    void finish(bool has_hung);
    void update(); ///< Sets the timer to the next check.
    void check();
    void begin_silence();
    void send_probe();
    void on_probe_response(contact::call_id id, const base::result<rows::page>& page);
    void end_silence(base::time_point probe_sent);

    http::loop& m_loop;
    rows::row_store& m_store;
    telemetry::metrics& m_metrics;
    watched_store_settings m_settings;
    contact::store_contact m_contact;
    std::map<contact::call_id, call_ptr> m_calls;
    std::map<contact::call_id, probe> m_probes;
    contact::call_id m_last_id = 0;
    std::size_t m_probe_count = 0; ///< Probes of the current silence.
    http::timer_id m_timer = 0;
    base::time_point m_timer_due{};
};

} // namespace snipeshore::apps
