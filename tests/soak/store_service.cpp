#include "tests/soak/store_service.h"

#include "http/exchange.h"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <map>
#include <stdexcept>

namespace snipeshore::soak {

namespace {

using nlohmann::json;

/// More than the concurrent calls of all hosts, so that the calls removed first are complete.
constexpr std::size_t max_calls = 2000;

std::map<std::string, std::string> parse_query(const std::string& path)
{
    std::map<std::string, std::string> fields;
    std::string_view rest = std::string_view(path).substr(std::min(path.find('?'), path.size()));
    while (!rest.empty()) {
        rest.remove_prefix(1);
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        const std::size_t equals = std::min(pair.find('='), pair.size());
        fields[std::string(pair.substr(0, equals))] =
            std::string(pair.substr(std::min(equals + 1, pair.size())));
        rest.remove_prefix(end);
    }
    return fields;
}

std::string encode_base64(const std::string& bytes)
{
    std::string text(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(text.data(), text.size(),
                      reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
                      sodium_base64_VARIANT_ORIGINAL);
    text.resize(text.size() - 1);
    return text;
}

std::string decode_base64(const std::string& text)
{
    std::string bytes(text.size(), '\0');
    std::size_t size = 0;
    sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(),
                      text.size(), nullptr, &size, nullptr, sodium_base64_VARIANT_ORIGINAL);
    bytes.resize(size);
    return bytes;
}

std::string encode_page(const rows::page& page)
{
    json encoded{{"rows", json::array()}, {"hasMore", false}, {"ver", page.version}};
    for (const rows::row& row : page.rows) {
        json one{{"key", row.key}, {"ver", row.version}};
        if (row.removed) {
            one["removed"] = true;
        } else {
            one["value"] = encode_base64(row.value);
        }
        encoded["rows"].push_back(one);
    }
    return encoded.dump();
}

} // namespace

store_service::store_service(http::loop& loop)
    : rows(loop),
      m_server(loop, [this](const std::shared_ptr<http::exchange>& request) { handle(request); })
{
    http::server_settings settings;
    settings.address = "127.0.0.1:0";
    if (!base::is_ok(m_server.listen(settings))) {
        throw std::runtime_error("store service cannot listen on a loopback port");
    }
}

std::string store_service::address() const
{
    return m_server.bound_address();
}

void store_service::go_down()
{
    fault = store_fault::down;
    for (const read_call& one : m_calls) {
        if (const auto request = one.request.lock()) {
            request->abort();
        }
    }
    m_calls.clear();
    for (const auto& request : m_unanswered) {
        request->abort();
    }
    m_unanswered.clear();
}

void store_service::come_back_restored()
{
    fault = store_fault::none;
    rows.restore();
    ++m_era;
}

void store_service::respond(const std::shared_ptr<http::exchange>& request, int status,
                            const std::string& body) const
{
    http::response_head head;
    head.status = status;
    head.headers.push_back({"store-era", std::to_string(m_era)});
    request->respond(head, body);
}

void store_service::respond_page(const std::shared_ptr<http::exchange>& request,
                                 const base::result<rows::page>& page) const
{
    if (base::is_ok(page)) {
        respond(request, 200, encode_page(base::value_of(page)));
        return;
    }
    respond(request, base::error_of(page).kind == base::error_kind::stale ? 410 : 503, "");
}

void store_service::handle(const std::shared_ptr<http::exchange>& request)
{
    switch (fault) {
    case store_fault::busy:
        respond(request, 503, "");
        return;
    case store_fault::unresponsive:
        m_unanswered.push_back(request);
        return;
    case store_fault::down:
        request->abort();
        return;
    default:
        break;
    }
    if (request->head().path.starts_with("/v1/rows-tx")) {
        handle_write(request);
    } else {
        handle_read(request);
    }
}

void store_service::handle_read(const std::shared_ptr<http::exchange>& request)
{
    const std::string& path = request->head().path;
    auto fields = parse_query(path);
    const auto done = [this, weak = std::weak_ptr(request)](const base::result<rows::page>& page) {
        const auto waiting = weak.lock();
        if (waiting != nullptr && fault == store_fault::unresponsive) {
            m_unanswered.push_back(waiting); // Calls that wait already get no response either.
        } else if (waiting != nullptr) {
            respond_page(waiting, page);
        }
    };
    if (m_calls.size() > max_calls) {
        m_calls.erase(m_calls.begin(), m_calls.begin() + max_calls / 2);
    }
    if (path.starts_with("/v1/rows-get")) {
        m_calls.push_back({rows.read(fields["table"], "", done), request});
        return;
    }
    m_calls.push_back(
        {rows.read_changes(fields["table"], std::stoull(fields["after"]),
                           std::chrono::milliseconds(std::stoul(fields["waitMs"])), done),
         request});
}

void store_service::handle_write(const std::shared_ptr<http::exchange>& request)
{
    const json body = json::parse(request->body());
    for (const json& put : body.at("puts")) {
        rows.set(put.at("table"), put.at("key"), decode_base64(put.at("value")));
    }
    for (const json& removal : body.at("remove")) {
        rows.set(removal.at("table"), removal.at("key"), std::nullopt);
    }
    if (fault == store_fault::drops_responses) {
        m_unanswered.push_back(request);
        return;
    }
    respond(request, 200, "{}");
}

} // namespace snipeshore::soak
