/// @file naive_host: a host that violates the soak's invariants, to verify that the soak detects
/// violations. It sends a request to random targets up to three times until one responds with 200,
/// whatever the failures were, responds with 503 after that, enforces no rate limits and forwards
/// all headers.

#include "http/client.h"
#include "http/exchange.h"
#include "http/loop.h"
#include "http/server.h"
#include "platform/formats.h"
#include "platform/settings_file.h"
#include "platform/store_client.h"

#include <sodium.h>

#include <map>
#include <random>

namespace {

using namespace snipeshore;

constexpr int max_attempts = 3;
constexpr std::chrono::milliseconds attempt_timeout{500};
constexpr std::chrono::milliseconds read_interval{1000};

class naive_host {
public:
    naive_host(http::loop& loop, const platform_adapter::file_settings& settings)
        : m_loop(loop), m_store(loop, settings.store_address), m_client(loop, {}),
          m_entry(loop, [this](const std::shared_ptr<http::exchange>& request) {
              send(request, max_attempts);
          })
    {
        http::server_settings server;
        server.address = settings.host.entry_address;
        m_entry.listen(server);
        read_targets();
    }

private:
    void read_targets()
    {
        m_read = m_store.read("servers", "", [this](const base::result<rows::page>& page) {
            if (!base::is_ok(page)) {
                return;
            }
            for (const rows::row& row : base::value_of(page).rows) {
                const auto entry = m_formats.parse_target(row.key, row.value);
                if (base::is_ok(entry)) {
                    m_targets[row.key] = base::value_of(entry).address;
                }
            }
        });
        m_loop.schedule(base::boot_clock::now() + read_interval, [this] { read_targets(); });
    }

    void send(const std::shared_ptr<http::exchange>& request, int attempts_left)
    {
        if (attempts_left == 0 || m_targets.empty()) {
            http::response_head head;
            head.status = 503;
            request->respond(head, "");
            return;
        }
        auto target = m_targets.begin();
        std::advance(target, static_cast<std::ptrdiff_t>(m_random() % m_targets.size()));
        http::client_request forwarded;
        forwarded.address = target->second;
        forwarded.head = request->head();
        forwarded.head.headers.push_back({"x-tenant", is_small(*request) ? "small" : "large"});
        forwarded.body = std::string(request->body());
        forwarded.deadline = base::boot_clock::now() + attempt_timeout;
        m_calls[request] = m_client.fetch(
            std::move(forwarded), 1U << 20U,
            [this, request, attempts_left](
                const base::result<std::pair<http::response_head, std::string>>& fetch_result,
                bool) {
                if (!base::is_ok(fetch_result) ||
                    base::value_of(fetch_result).first.status != 200) {
                    m_loop.schedule(base::boot_clock::now(), [this, request, attempts_left] {
                        send(request, attempts_left - 1);
                    });
                    return;
                }
                request->respond(base::value_of(fetch_result).first,
                                 base::value_of(fetch_result).second);
            });
    }

    static bool is_small(const http::exchange& request)
    {
        return http::find_header(request.head().headers, "x-key") == "small-key";
    }

    http::loop& m_loop;
    platform_adapter::store_client m_store;
    apps::row_formats m_formats = platform_adapter::make_formats();
    http::client m_client;
    http::server m_entry;
    std::map<std::string, std::string> m_targets;
    std::map<std::shared_ptr<http::exchange>, std::unique_ptr<http::client_call>> m_calls;
    std::unique_ptr<rows::store_call> m_read;
    std::mt19937_64 m_random{1};
};

} // namespace

int main()
{
    const auto settings = platform_adapter::parse_settings(platform_adapter::read_settings_text());
    if (!base::is_ok(settings) || sodium_init() < 0) {
        return 1;
    }
    http::loop loop;
    const naive_host host(loop, base::value_of(settings));
    loop.run();
    return 0;
}
