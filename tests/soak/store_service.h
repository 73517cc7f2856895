/// @file HTTP service of the platform's store for the soak, with fault injection.
#pragma once

#include "apps/host/tests/memory_store.h"
#include "http/server.h"

#include <memory>
#include <string>
#include <vector>

namespace snipeshore::soak {

enum class store_fault { none, busy, unresponsive, drops_responses };

class store_service {
public:
    explicit store_service(http::loop& loop);

    std::string address() const;

    apps::tests::memory_store rows;
    store_fault fault = store_fault::none;

private:
    void handle(const std::shared_ptr<http::exchange>& request);
    void handle_write(const std::shared_ptr<http::exchange>& request);

    http::server m_server;
    std::vector<std::unique_ptr<rows::store_call>> m_calls;
    std::vector<std::shared_ptr<http::exchange>> m_unanswered;
};

} // namespace snipeshore::soak
