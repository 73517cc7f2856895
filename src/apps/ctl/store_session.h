/// @file Blocking calls to the platform's store and to admin addresses.
#pragma once

#include "base/result.h"
#include "store/http_store.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace snipeshore::apps {

/// Runs a loop on a separate thread. Must be used by one thread at a time.
class store_session {
public:
    explicit store_session(store::store_settings settings);
    ~store_session();
    store_session(const store_session&) = delete;
    store_session& operator=(const store_session&) = delete;
    store_session(store_session&&) = delete;
    store_session& operator=(store_session&&) = delete;

    base::result<store::row> read_row(const std::string& key);
    base::result<store::row> write_row(const std::string& key, const store::row_condition& expected,
                                       const std::string& value);
    base::result<std::string> read_object(const std::string& name);
    base::status write_object(const std::string& name, const std::string& content);

    /// Sends a GET request to an admin address and returns the body of the response.
    base::result<std::string> get_page(const std::string& address, const std::string& path,
                                       std::chrono::milliseconds deadline);

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace snipeshore::apps
