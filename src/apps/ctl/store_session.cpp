#include "apps/ctl/store_session.h"

#include "http/client.h"
#include "http/loop.h"

#include <functional>
#include <future>
#include <optional>
#include <thread>
#include <utility>

namespace snipeshore::apps {

namespace {

constexpr std::size_t max_page_bytes = 64U << 20U;

} // namespace

struct store_session::impl {
    http::loop loop;
    std::optional<store::http_store> store;
    std::optional<http::client> client;
    std::unique_ptr<http::client_call> page_call;
    std::thread thread;

    explicit impl(store::store_settings settings)
    {
        store.emplace(loop, std::move(settings));
        client.emplace(loop, http::client_settings{});
        thread = std::thread([this] { loop.run(); });
    }

    ~impl()
    {
        loop.stop();
        thread.join();
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;
    impl(impl&&) = delete;
    impl& operator=(impl&&) = delete;

    template <typename T>
    T wait_for(const std::function<void(std::function<void(T)>)>& start)
    {
        std::promise<T> promise;
        loop.post([&] { start([&promise](T outcome) { promise.set_value(std::move(outcome)); }); });
        return promise.get_future().get();
    }
};

store_session::store_session(store::store_settings settings)
    : m_impl(std::make_unique<impl>(std::move(settings)))
{}

store_session::~store_session() = default;

base::result<store::row> store_session::read_row(const std::string& key)
{
    return m_impl->wait_for<base::result<store::row>>(
        [&](auto done) { m_impl->store->read_row(key, std::move(done)); });
}

base::result<store::row> store_session::write_row(const std::string& key,
                                                  const store::row_condition& expected,
                                                  const std::string& value)
{
    return m_impl->wait_for<base::result<store::row>>(
        [&](auto done) { m_impl->store->write_row(key, expected, value, std::move(done)); });
}

base::result<std::string> store_session::read_object(const std::string& name)
{
    return m_impl->wait_for<base::result<std::string>>(
        [&](auto done) { m_impl->store->read_object(name, std::move(done)); });
}

base::status store_session::write_object(const std::string& name, const std::string& content)
{
    return m_impl->wait_for<base::status>(
        [&](auto done) { m_impl->store->write_object(name, content, std::move(done)); });
}

base::result<std::string> store_session::get_page(const std::string& address,
                                                  const std::string& path,
                                                  std::chrono::milliseconds deadline)
{
    using page = base::result<std::pair<http::response_head, std::string>>;
    const page outcome = m_impl->wait_for<page>([&](const std::function<void(page)>& done) {
        http::client_request request;
        request.address = address;
        request.head.method = "GET";
        request.head.path = path;
        request.head.authority = address;
        request.deadline = base::boot_clock::now() + deadline;
        m_impl->page_call = m_impl->client->fetch(
            std::move(request), max_page_bytes,
            [done](page response, bool /*request_sent*/) { done(std::move(response)); });
    });
    if (!base::is_ok(outcome)) {
        return base::error_of(outcome);
    }
    const auto& [head, body] = base::value_of(outcome);
    if (head.status != 200) {
        return base::error{base::error_kind::peer_unavailable,
                           address + path + ": unexpected status " + std::to_string(head.status)};
    }
    return body;
}

} // namespace snipeshore::apps
