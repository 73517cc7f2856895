#include "store/http_store.h"

#include "http/client.h"
#include "http/loop.h"
#include "store/internal/replies.h"

#include <unordered_map>
#include <utility>

namespace snipeshore::store {

using internal::call_kind;

namespace {

constexpr std::size_t max_row_bytes = 1U << 20U;
constexpr std::size_t max_host_list_bytes = 16U << 20U;
constexpr std::size_t max_status_body_bytes = 64U << 10U;

using reply = base::result<std::pair<http::response_head, std::string>>;

/// Called when a call ends.
using reply_callback = std::function<void(const reply& outcome, bool request_sent)>;

bool is_success(int status)
{
    return status >= 200 && status < 300;
}

/// Body of a successful reply, or the error to report for the call.
base::result<std::string> body_of(call_kind kind, const reply& outcome, bool request_sent)
{
    if (!base::is_ok(outcome)) {
        return internal::error_without_reply(kind, request_sent, base::error_of(outcome));
    }
    const auto& [head, body] = base::value_of(outcome);
    if (!is_success(head.status)) {
        return internal::error_of_status(kind, head.status);
    }
    return body;
}

/// Row of a successful reply with the store's era, or the error to report for the call.
base::result<row> row_of(call_kind kind, const std::string& key, const reply& outcome,
                         bool request_sent)
{
    const auto body = body_of(kind, outcome, request_sent);
    const bool is_missing = kind == call_kind::read && !base::is_ok(body) &&
                            base::error_of(body).kind == base::error_kind::not_found;
    if (!base::is_ok(body) && !is_missing) {
        return base::error_of(body);
    }
    const auto era = internal::read_era(kind, base::value_of(outcome).first.headers);
    if (!base::is_ok(era)) {
        return base::error_of(era);
    }
    base::result<row> read =
        is_missing ? row{key, "", 0} : internal::read_row_body(kind, key, base::value_of(body));
    if (base::is_ok(read)) {
        base::value_of(read).era = base::value_of(era);
    }
    return read;
}

/// A store that ignores the condition on its era may have applied the write to other content.
base::result<row> checked_write(base::result<row> written, const row_condition& expected)
{
    if (base::is_ok(written) && base::value_of(written).era != expected.era) {
        return base::error{base::error_kind::store_unknown,
                           "platform store, restored before the write"};
    }
    return written;
}

} // namespace

struct http_store::impl : std::enable_shared_from_this<http_store::impl> {
    impl(http::loop& owner, store_settings initial_settings)
        : loop(owner), settings(std::move(initial_settings)),
          client(owner, {.max_connections_per_address = settings.max_pending})
    {}

    http::loop& loop;
    store_settings settings;
    http::client client;
    std::uint64_t last_call = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<http::client_call>> calls;

    void call(const std::string& method, const std::string& folder, const std::string& name,
              http::header_list headers, std::string body, std::size_t max_body,
              reply_callback done);
    void reject(const std::string& detail, reply_callback done);
};

void http_store::impl::call(const std::string& method, const std::string& folder,
                            const std::string& name, http::header_list headers, std::string body,
                            std::size_t max_body, reply_callback done)
{
    if (calls.size() >= settings.max_pending) {
        reject("platform store, not sent: too many pending calls", std::move(done));
        return;
    }
    if (!name.empty() && !internal::is_valid_name(name)) {
        reject("platform store, not sent: invalid key or object name " + name, std::move(done));
        return;
    }
    http::client_request request;
    request.address = settings.address;
    request.head.method = method;
    request.head.path = name.empty() ? folder : folder + "/" + name;
    request.head.authority = settings.address;
    request.head.headers = std::move(headers);
    request.head.headers.push_back({"snipeshore-client", settings.client_id});
    request.body = std::move(body);
    request.deadline = base::boot_clock::now() + settings.deadline;

    const std::uint64_t id = ++last_call;
    auto on_end = [weak = weak_from_this(), id, done = std::move(done)](const reply& outcome,
                                                                        bool request_sent) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        self->calls.erase(id);
        done(outcome, request_sent);
    };
    calls.emplace(id, client.fetch(std::move(request), max_body, std::move(on_end)));
}

void http_store::impl::reject(const std::string& detail, reply_callback done)
{
    loop.post([weak = weak_from_this(), detail, done = std::move(done)] {
        if (!weak.expired()) {
            done(base::error{base::error_kind::store_unavailable, detail}, false);
        }
    });
}

http_store::http_store(http::loop& owner, store_settings settings)
    : m_impl(std::make_shared<impl>(owner, std::move(settings)))
{}

http_store::~http_store() = default;

void http_store::read_row(const std::string& key, row_callback done)
{
    m_impl->call("GET", "/table", key, {}, "", max_row_bytes,
                 [key, done = std::move(done)](const reply& outcome, bool request_sent) {
                     done(row_of(call_kind::read, key, outcome, request_sent));
                 });
}

void http_store::write_row(const std::string& key, const row_condition& expected,
                           const std::string& value, row_callback done)
{
    http::header condition{"if-none-match", "*"};
    if (expected.version != 0) {
        condition = {"if-match", std::to_string(expected.version)};
    }
    m_impl->call(
        "PUT", "/table", key, {condition, {"store-era", std::to_string(expected.era)}}, value,
        max_row_bytes,
        [key, expected, done = std::move(done)](const reply& outcome, bool request_sent) {
            done(checked_write(row_of(call_kind::write, key, outcome, request_sent), expected));
        });
}

void http_store::read_object(const std::string& name, text_callback done)
{
    m_impl->call("GET", "/objects", name, {}, "", m_impl->settings.max_object_bytes,
                 [done = std::move(done)](const reply& outcome, bool request_sent) {
                     done(body_of(call_kind::read, outcome, request_sent));
                 });
}

void http_store::write_object(const std::string& name, const std::string& content,
                              status_callback done)
{
    m_impl->call("PUT", "/objects", name, {}, content, max_status_body_bytes,
                 [done = std::move(done)](const reply& outcome, bool request_sent) {
                     const auto body = body_of(call_kind::write, outcome, request_sent);
                     if (base::is_ok(body)) {
                         done(std::monostate{});
                     } else {
                         done(base::error_of(body));
                     }
                 });
}

void http_store::list_hosts(hosts_callback done)
{
    m_impl->call("GET", "/hosts", "", {}, "", max_host_list_bytes,
                 [done = std::move(done)](const reply& outcome, bool request_sent) {
                     const auto body = body_of(call_kind::read, outcome, request_sent);
                     if (base::is_ok(body)) {
                         done(internal::read_hosts_body(base::value_of(body)));
                     } else {
                         done(base::error_of(body));
                     }
                 });
}

std::size_t http_store::pending_calls() const
{
    return m_impl->calls.size();
}

} // namespace snipeshore::store
