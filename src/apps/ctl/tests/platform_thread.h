/// @file Platform stand-in on a separate thread, for tests of blocking calls.
#pragma once

#include "apps/ctl/store_session.h"
#include "http/loop.h"
#include "tests/standins/platform/platform_server.h"

#include <doctest/doctest.h>

#include <functional>
#include <future>
#include <string>
#include <thread>

namespace snipeshore::apps {

class platform_thread {
public:
    platform_thread() : m_server(m_loop)
    {
        const base::status outcome = m_server.listen("127.0.0.1:0");
        REQUIRE(base::is_ok(outcome));
        m_address = m_server.bound_address();
        m_thread = std::thread([this] { m_loop.run(); });
    }

    ~platform_thread()
    {
        m_loop.stop();
        m_thread.join();
    }

    platform_thread(const platform_thread&) = delete;
    platform_thread& operator=(const platform_thread&) = delete;
    platform_thread(platform_thread&&) = delete;
    platform_thread& operator=(platform_thread&&) = delete;

    const std::string& address() const
    {
        return m_address;
    }

    store::store_settings store_settings() const
    {
        store::store_settings settings;
        settings.address = m_address;
        settings.client_id = "test";
        settings.deadline = std::chrono::seconds(20);
        return settings;
    }

    /// Runs `work` on the server's thread and waits until it returns.
    void with_server(const std::function<void(standins::platform_server&)>& work)
    {
        std::promise<void> done;
        m_loop.post([&] {
            work(m_server);
            done.set_value();
        });
        done.get_future().get();
    }

private:
    http::loop m_loop;
    standins::platform_server m_server;
    std::string m_address;
    std::thread m_thread;
};

} // namespace snipeshore::apps
