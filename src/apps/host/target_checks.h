/// @file Finds out whether a target that broke a connection has ended.
#pragma once

#include "base/types/ids.h"
#include "retries/liveness.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace snipeshore::http {
class client;
class client_call;
class loop;
} // namespace snipeshore::http

namespace snipeshore::apps {

/// Belongs to the loop's thread. A check opens a connection and closes it: a request, such as a
/// health check, would wait for a slot of a busy target.
class target_checks {
public:
    target_checks(http::loop& loop, http::client& client);
    ~target_checks();
    target_checks(const target_checks&) = delete;
    target_checks& operator=(const target_checks&) = delete;
    target_checks(target_checks&&) = delete;
    target_checks& operator=(target_checks&&) = delete;

    /// Starts a check or joins one that is running; returns false if too many are. `done` is called
    /// later.
    bool start(const base::target_id& target, const std::string& address,
               std::function<void(retries::liveness)> done);

private:
    struct check {
        std::unique_ptr<http::client_call> call;
        std::vector<std::function<void(retries::liveness)>> waiting;
    };

    void on_end(const base::target_id& target, retries::liveness found);

    http::loop& m_loop;
    http::client& m_client;
    std::map<base::target_id, check> m_checks;
};

} // namespace snipeshore::apps
