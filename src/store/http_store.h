/// @file The platform's store over HTTP.
#pragma once

#include "store/document_store.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

namespace snipeshore::http {
class loop;
} // namespace snipeshore::http

namespace snipeshore::store {

struct store_settings {
    std::string address;   ///< "ip:port"
    std::string client_id; ///< Sent as `Snipeshore-Client`.
    std::chrono::milliseconds deadline{3000};
    std::size_t max_pending = 64; ///< Calls over this bound end with `store_unavailable`.
    std::size_t max_object_bytes = 256U << 20U;
};

/// Belongs to the loop's thread. Destroying it drops the callbacks of pending calls.
///
/// A call that was not sent ends with `store_unavailable`. A write that was sent and got no valid
/// reply, or a reply that leaves open whether it took effect, ends with `store_unknown`.
class http_store final : public document_store {
public:
    http_store(http::loop& owner, store_settings settings);
    ~http_store() override;
    http_store(const http_store&) = delete;
    http_store& operator=(const http_store&) = delete;
    http_store(http_store&&) = delete;
    http_store& operator=(http_store&&) = delete;

    void read_row(const std::string& key, row_callback done) override;
    void write_row(const std::string& key, std::uint64_t expected_version, const std::string& value,
                   row_callback done) override;
    void read_object(const std::string& name, text_callback done) override;
    void write_object(const std::string& name, const std::string& content,
                      status_callback done) override;
    void list_hosts(hosts_callback done) override;

    std::size_t pending_calls() const;

private:
    struct impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace snipeshore::store
