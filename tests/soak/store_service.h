/// @file HTTP service of the platform's store for the soak, with fault injection.
#pragma once

#include "apps/host/tests/memory_store.h"
#include "http/server.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace snipeshore::soak {

enum class store_fault { none, busy, unresponsive, drops_responses, down };

class store_service {
public:
    explicit store_service(http::loop& loop);

    std::string address() const;

    /// Goes down and breaks off all calls in progress.
    void go_down();

    /// Comes back with the rows and the version of the last `rows.save()`, in the next era.
    void come_back_restored();

    apps::tests::memory_store rows;
    store_fault fault = store_fault::none;

private:
    struct read_call {
        std::unique_ptr<rows::store_call> call;
        std::weak_ptr<http::exchange> request;
    };

    void handle(const std::shared_ptr<http::exchange>& request);
    void handle_read(const std::shared_ptr<http::exchange>& request);
    void handle_write(const std::shared_ptr<http::exchange>& request);
    void respond(const std::shared_ptr<http::exchange>& request, int status,
                 const std::string& body) const;
    void respond_page(const std::shared_ptr<http::exchange>& request,
                      const base::result<rows::page>& page) const;

    http::server m_server;
    std::uint64_t m_era = 1;
    std::vector<read_call> m_calls;
    std::vector<std::shared_ptr<http::exchange>> m_unanswered;
};

} // namespace snipeshore::soak
