/// @file Reads the store's tables through one host per failure domain, so that the number of calls
/// to the store and the traffic between failure domains do not grow with the number of hosts.
#pragma once

#include "base/time.h"
#include "base/types/error.h"
#include "fleet/types/member.h"
#include "http/client.h"
#include "rows/row_store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace snipeshore::apps {

struct host_context;

/// Belongs to the loop's thread. The first read of a table and all writes go to the store; changes
/// are read from the host that reads the store for the failure domain (the reader). If this host is
/// the reader, or the reader fails, the call goes to the store; in a failure domain of many hosts,
/// to one of the few that call the store.
class relay_store final : public rows::row_store {
public:
    /// `on_era` is called later when a page is the first one of a later era of the store.
    relay_store(host_context& context, const fleet::member& self, rows::row_store& store,
                std::function<void(std::uint64_t era)> on_era);
    ~relay_store() override;
    relay_store(const relay_store&) = delete;
    relay_store& operator=(const relay_store&) = delete;
    relay_store(relay_store&&) = delete;
    relay_store& operator=(relay_store&&) = delete;

    std::unique_ptr<rows::store_call> read(const std::string& table, const std::string& from,
                                           page_callback done) override;
    std::unique_ptr<rows::store_call> read_changes(const std::string& table, std::uint64_t after,
                                                   std::chrono::milliseconds wait,
                                                   page_callback done) override;
    std::unique_ptr<rows::store_call> write(const std::string& table, const std::string& key,
                                            const std::optional<std::string>& value,
                                            status_callback done) override;

private:
    class relayed_call;
    struct changes_query;

    /// Asks a host for the changes. If it fails, asks the store, or one of the other hosts that
    /// call the store.
    void ask_host(relayed_call& call, const fleet::member& reader,
                  const std::shared_ptr<changes_query>& query);
    void on_reader_failed(relayed_call& call, const std::shared_ptr<changes_query>& query);

    /// Records the era of a page before it is delivered.
    page_callback note_era(page_callback done);
    void avoid_reader(const std::string& reader, const base::error& cause);

    host_context& m_context;
    const fleet::member& m_self;
    rows::row_store& m_store;
    std::function<void(std::uint64_t)> m_on_era;
    /// Until then the store is read directly, because the reader failed.
    base::time_point m_avoid_reader_until{};
    std::uint64_t m_era = 0; ///< Latest era seen, see `rows::page::era`.
};

} // namespace snipeshore::apps
