/// @file HTTP client of the platform's store.
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
    std::string client_id; ///< Sent in the header `Snipeshore-Client`.
    std::chrono::milliseconds deadline{3000};
    std::size_t max_pending = 64; ///< Calls above this limit fail with `store_unavailable`.
    std::size_t max_object_bytes = 256U << 20U;
};

/// Must only be used on the loop's thread. Destroying the store discards the callbacks of pending
/// calls.
///
/// A call that was not sent fails with `store_unavailable`. A write that was sent fails with
/// `store_unknown` if no valid reply arrived or the reply does not determine whether the write took
/// effect.
class http_store final : public document_store {
public:
    http_store(http::loop& owner, store_settings settings);
    ~http_store() override;
    http_store(const http_store&) = delete;
    http_store& operator=(const http_store&) = delete;
    http_store(http_store&&) = delete;
    http_store& operator=(http_store&&) = delete;

    void read_row(const std::string& key, row_callback done) override;
    void write_row(const std::string& key, const row_condition& expected, const std::string& value,
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
