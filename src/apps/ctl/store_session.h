/// @file Calls to the platform's store and to admin addresses that wait for their replies.
#pragma once

#include "base/result.h"
#include "store/http_store.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace snipeshore::apps {

/// Owns a loop on a thread of its own. For one caller at a time.
class store_session {
public:
    explicit store_session(store::store_settings settings);
    ~store_session();
    store_session(const store_session&) = delete;
    store_session& operator=(const store_session&) = delete;
    store_session(store_session&&) = delete;
    store_session& operator=(store_session&&) = delete;

    base::result<store::row> read_row(const std::string& key);
    base::result<store::row> write_row(const std::string& key, std::uint64_t expected_version,
                                       const std::string& value);
    base::result<std::string> read_object(const std::string& name);
    base::status write_object(const std::string& name, const std::string& content);

    /// GET of a page of an admin address, as its body.
    base::result<std::string> get_page(const std::string& address, const std::string& path,
                                       std::chrono::milliseconds deadline);

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace snipeshore::apps
