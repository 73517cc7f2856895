#include "apps/common/response_buffers.h"
#include "apps/common/response_stream.h"
#include "http/client.h"
#include "http/exchange.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace snipeshore;
using namespace snipeshore::apps;

namespace {

/// The exchange of a caller that reads only when the test says so.
class slow_exchange final : public http::exchange {
public:
    const http::request_head& head() const override
    {
        return m_head;
    }

    std::string_view body() const override
    {
        return {};
    }

    const std::string& peer_address() const override
    {
        return m_head.authority;
    }

    base::time_point received_at() const override
    {
        return {};
    }

    bool is_caller_connected() const override
    {
        return true;
    }

    void respond(http::response_head /*head*/, std::string /*body*/) override {}
    void start_response(http::response_head /*head*/) override {}

    void write(std::string chunk) override
    {
        held_bytes = chunk.size();
    }

    void finish() override
    {
        is_finished = true;
    }

    void abort() override {}

    void on_writable(std::function<void()> callback) override
    {
        m_on_writable = std::move(callback);
    }

    void on_closed(std::function<void()> /*callback*/) override {}

    void read_all()
    {
        held_bytes = 0;
        m_on_writable();
    }

    std::size_t held_bytes = 0;
    bool is_finished = false;

private:
    http::request_head m_head;
    std::function<void()> m_on_writable;
};

class endless_call final : public http::client_call {
public:
    void pause() override
    {
        is_paused = true;
    }

    void resume() override
    {
        is_paused = false;
    }

    bool request_sent() const override
    {
        return true;
    }

    bool is_paused = false;
};

/// One response of a target that always has more bytes.
struct endless_response {
    explicit endless_response(response_buffers& buffers)
        : stream(std::make_shared<response_stream>(exchange, buffers))
    {
        stream->start({});
    }

    /// Passes on chunks until the target is paused; returns their number.
    std::size_t fill()
    {
        std::size_t chunks = 0;
        for (; !call.is_paused; ++chunks) {
            stream->write(chunk, call);
        }
        return chunks;
    }

    static inline const std::string chunk = std::string(16U << 10U, 'x');

    std::shared_ptr<slow_exchange> exchange = std::make_shared<slow_exchange>();
    endless_call call;
    std::shared_ptr<response_stream> stream;
};

} // namespace

// Guards against a process that runs out of memory because many targets send without end to
// callers that read slowly: each response was bounded, their sum was not.
TEST_CASE("buffered responses share the memory of a process")
{
    constexpr std::size_t responses = 2000;
    response_buffers buffers;
    std::vector<std::unique_ptr<endless_response>> all;
    for (std::size_t i = 0; i < responses; ++i) {
        all.push_back(std::make_unique<endless_response>(buffers));
        all.back()->fill();
    }
    // A response that has nothing buffered always gets a chunk, and another one with it.
    const std::size_t least = 2 * endless_response::chunk.size();
    CHECK(buffers.used <= buffers.capacity + responses * least);

    SUBCASE("a caller that reads again gets all of its response")
    {
        endless_response& one = *all.back();
        for (int i = 0; i < 100; ++i) {
            while (one.exchange->held_bytes != 0) {
                one.exchange->read_all();
            }
            CHECK_FALSE(one.call.is_paused);
            one.fill();
        }
    }
    SUBCASE("a response that ends gives its part back")
    {
        all.clear();
        CHECK(buffers.used == 0);
    }
    SUBCASE("a response that is complete ends while others hold the memory")
    {
        endless_response& one = *all.back();
        bool is_sent = false;
        one.stream->finish([&] { is_sent = true; });
        while (!is_sent) {
            one.exchange->read_all();
        }
        CHECK(one.exchange->is_finished);
    }
}

TEST_CASE("a few responses may use large buffers")
{
    response_buffers buffers;
    endless_response only(buffers);
    // The first chunk is in flight, the others exceed 256 KiB by one.
    CHECK(only.fill() == 1 + 17);
}
