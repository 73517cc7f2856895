/// @file Reads the published documents and the host list from the platform.
#pragma once

#include "base/time.h"
#include "documents/types/publication.h"
#include "membership/peers.h"
#include "store/document_store.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace snipeshore::apps {

class document_set;

struct poller_settings {
    std::chrono::milliseconds row_interval{1000};
    /// At this interval, 1,000 hosts together read the list 100 times per second, which is a
    /// twentieth of the platform's reads.
    std::chrono::milliseconds list_interval{10000};
    std::chrono::milliseconds list_retry_interval{1000};
};

struct poller_callbacks {
    std::function<void()> on_installed; ///< A document changed.
    /// The store responded to a call sent at this time.
    std::function<void(base::time_point)> on_contact;
    std::function<void()> on_list_read;
};

/// Has at most one read per document and one read of the host list pending. Not thread-safe: used
/// on the owner's thread only.
class store_poller {
public:
    store_poller(store::document_store& store, document_set& documents, poller_settings settings,
                 poller_callbacks callbacks);
    ~store_poller();
    store_poller(const store_poller&) = delete;
    store_poller& operator=(const store_poller&) = delete;
    store_poller(store_poller&&) = delete;
    store_poller& operator=(store_poller&&) = delete;

    /// Starts the reads that are due. Reads the document rows only if this host is `elected`.
    /// Writes a document to the store again if the store was restored to a copy without it.
    void tick(base::time_point now, bool elected);

    /// Hosts that the platform listed in the last two readings of its host list; empty until it has
    /// been read. One reading does not show that a host has left: a restored store may have lost an
    /// entry until it is written again.
    const std::vector<membership::seed>& seeds() const
    {
        return m_seeds;
    }

    bool listed_known() const
    {
        return m_listed_known;
    }

    /// State of the store compared with this host, from the last row of the document that was read.
    /// `older` and `diverged` are alarms.
    documents::store_state state_of(const std::string& name) const;

private:
    struct fetch;

    void read_row(const std::string& name, base::time_point now);
    void on_row(const std::string& name, const base::result<store::row>& row);
    void rewrite(const std::string& name, const documents::publish_plan& plan);
    void on_rewritten(const std::string& name, const base::status& outcome);
    void start_fetch(const std::string& name, documents::publication record);
    void fetch_patch(const std::shared_ptr<fetch>& job);
    void fetch_text(const std::shared_ptr<fetch>& job);
    void finish(const std::string& name, bool installed);
    void set_state(const std::string& name, documents::store_state state);
    void read_list(base::time_point now);
    void on_list(const base::result<std::vector<store::listed_host>>& hosts);
    template <typename Callback>
    auto while_alive(Callback callback);

    store::document_store& m_store;
    document_set& m_documents;
    poller_settings m_settings;
    poller_callbacks m_callbacks;
    base::time_point m_next_rows{};
    base::time_point m_next_list{};
    base::time_point m_last_tick{};
    std::map<std::string, bool> m_row_read_pending;
    std::map<std::string, documents::store_state> m_states;
    bool m_list_read_pending = false;
    bool m_listed_known = false;
    std::vector<membership::seed> m_last_list; ///< Hosts of the last reading only.
    std::vector<membership::seed> m_seeds;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace snipeshore::apps
