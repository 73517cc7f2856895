/// @file Tables of rows that all hosts share, stored by the platform.
#pragma once

#include "base/result.h"
#include "rows/types/row.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace snipeshore::rows {

/// Call to the store in flight. Destroying it drops its callback and closes its connection.
class store_call {
public:
    store_call() = default;
    virtual ~store_call() = default;
    store_call(const store_call&) = delete;
    store_call& operator=(const store_call&) = delete;
    store_call(store_call&&) = delete;
    store_call& operator=(store_call&&) = delete;
};

/// Asynchronous interface; callbacks run later on the owner's thread. Errors: `store_unavailable`
/// (the call had no effect), `store_unknown` (a write may have taken effect), `stale` (the store no
/// longer has the requested history).
class row_store {
public:
    row_store() = default;
    virtual ~row_store() = default;
    row_store(const row_store&) = delete;
    row_store& operator=(const row_store&) = delete;
    row_store(row_store&&) = delete;
    row_store& operator=(row_store&&) = delete;

    using page_callback = std::function<void(base::result<page>)>;
    using status_callback = std::function<void(base::status)>;

    /// Reads the rows whose keys are not less than `from`, ordered by key.
    virtual std::unique_ptr<store_call> read(const std::string& table, const std::string& from,
                                             page_callback done) = 0;

    /// Reads the rows changed after a version, in order. Waits up to `wait` for the first change.
    virtual std::unique_ptr<store_call> read_changes(const std::string& table, std::uint64_t after,
                                                     std::chrono::milliseconds wait,
                                                     page_callback done) = 0;

    /// Writes a row, or removes it if there is no value, regardless of its current content.
    virtual std::unique_ptr<store_call> write(const std::string& table, const std::string& key,
                                              const std::optional<std::string>& value,
                                              status_callback done) = 0;

    /// Drops all connections and the calls on them. To be used when the store may not respond,
    /// since open connections may stay unresponsive for good.
    virtual void renew_connections() {}
};

} // namespace snipeshore::rows
