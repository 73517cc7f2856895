/// @file Keeps evidence about crashing requests in the store, see `crash_evidence`.
#pragma once

#include "base/result.h"
#include "base/time.h"
#include "crash_evidence/stored_evidence.h"
#include "fleet/types/notice.h"
#include "http/loop.h"
#include "rows/row_store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace snipeshore::apps {

struct evidence_store_settings {
    std::string table;
    /// Key of this process's row. Each start of a host has a row of its own, so that nobody
    /// overwrites what an earlier process found out.
    std::string key;
    /// Number of hosts that may write at the same time, since all notice the same crashes.
    std::function<std::size_t()> host_count;
    /// Called with the evidence in the store, oldest first, when it has been read.
    std::function<void(const std::vector<fleet::notice>&)> on_loaded;
};

/// Belongs to the loop's thread. Reads the rows of all hosts once, when the store responds for the
/// first time; running hosts tell each other. Writes only what this host has found out itself.
class evidence_store {
public:
    /// `store` must outlive this object.
    evidence_store(http::loop& loop, rows::row_store& store, std::mt19937_64& random,
                   evidence_store_settings settings);
    ~evidence_store();
    evidence_store(const evidence_store&) = delete;
    evidence_store& operator=(const evidence_store&) = delete;
    evidence_store(evidence_store&&) = delete;
    evidence_store& operator=(evidence_store&&) = delete;

    void start();

    bool is_loaded() const;

    /// Keeps a notice of this host. Evidence that is not yet confirmed by a second crash is written
    /// later, since most such requests soon get their response.
    void keep(const fleet::notice& made, bool is_confirmed);

    /// See `crash_evidence::clear_request`.
    void clear(const fleet::notice& cleared, crash_evidence::keep_clearance kept);

    /// Called when the store was restored to an earlier state, which may lack the row.
    void on_new_era();

    void drop_expired(base::time_point now);

private:
    void read(const std::string& from);
    void on_page(const base::result<rows::page>& page);
    void on_row(const rows::row& one);
    void remove_outdated();
    void schedule_write();
    void write();
    void on_written(const base::status& written);
    /// Spreads the writes of all hosts over time.
    base::time_point later(base::duration delay);

    http::loop& m_loop;
    rows::row_store& m_store;
    std::mt19937_64& m_random;
    evidence_store_settings m_settings;
    crash_evidence::stored_evidence m_evidence;
    bool m_is_loaded = false;
    std::vector<fleet::notice> m_read;
    std::vector<std::string> m_outdated; ///< Keys of rows that have no effect any more.
    std::unique_ptr<rows::store_call> m_read_call;
    std::unique_ptr<rows::store_call> m_write_call;
    std::vector<std::unique_ptr<rows::store_call>> m_removals;
    base::duration m_read_backoff{0};
    http::timer_id m_read_timer = 0;
    http::timer_id m_write_timer = 0;
    base::time_point m_write_due{};
    base::time_point m_last_write{};
    base::duration m_write_backoff{0};
};

} // namespace snipeshore::apps
