/// @file Interface to the platform's table, object store and host list.
#pragma once

#include "base/result.h"
#include "store/types/row.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace snipeshore::store {

/// Asynchronous; callbacks are called on the owner's thread. Errors: `store_unavailable` (the call
/// had no effect), `store_unknown` (a write may have taken effect), `version_conflict`,
/// `not_found`.
///
/// The store's era rises by one each time the store is restored from an older copy. A store that
/// does not report its era is always in era 0.
class document_store {
public:
    document_store() = default;
    virtual ~document_store() = default;
    document_store(const document_store&) = delete;
    document_store& operator=(const document_store&) = delete;
    document_store(document_store&&) = delete;
    document_store& operator=(document_store&&) = delete;

    using row_callback = std::function<void(base::result<row>)>;
    using text_callback = std::function<void(base::result<std::string>)>;
    using status_callback = std::function<void(base::status)>;
    using hosts_callback = std::function<void(base::result<std::vector<listed_host>>)>;

    virtual void read_row(const std::string& key, row_callback done) = 0;

    /// Writes only if the row's version and the store's era are as expected. Returns the new row.
    virtual void write_row(const std::string& key, const row_condition& expected,
                           const std::string& value, row_callback done) = 0;

    virtual void read_object(const std::string& name, text_callback done) = 0;

    /// Objects are immutable: writing other content to an existing name fails with
    /// `version_conflict`, and writing the same content again succeeds.
    virtual void write_object(const std::string& name, const std::string& content,
                              status_callback done) = 0;

    virtual void list_hosts(hosts_callback done) = 0;
};

} // namespace snipeshore::store
