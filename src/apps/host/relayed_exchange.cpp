#include "apps/host/relayed_exchange.h"

#include <utility>

namespace snipeshore::apps {

namespace {

void remove_header(http::header_list& headers, std::string_view name)
{
    std::erase_if(headers, [name](const http::header& field) { return field.name == name; });
}

} // namespace

relayed_exchange::relayed_exchange(std::shared_ptr<http::exchange> inner)
    : m_inner(std::move(inner)), m_head(m_inner->head())
{
    m_head.path.erase(0, relay_prefix.size());
    remove_header(m_head.headers, relay_config_header);
}

const http::request_head& relayed_exchange::head() const
{
    return m_head;
}

std::string_view relayed_exchange::body() const
{
    return m_inner->body();
}

const std::string& relayed_exchange::peer_address() const
{
    return m_inner->peer_address();
}

base::time_point relayed_exchange::received_at() const
{
    return m_inner->received_at();
}

bool relayed_exchange::is_caller_connected() const
{
    return m_inner->is_caller_connected();
}

void relayed_exchange::respond(http::response_head head, std::string body)
{
    remove_header(head.headers, relay_refused_header);
    m_inner->respond(std::move(head), std::move(body));
}

void relayed_exchange::start_response(http::response_head head)
{
    remove_header(head.headers, relay_refused_header);
    m_inner->start_response(std::move(head));
}

void relayed_exchange::write(std::string chunk)
{
    m_inner->write(std::move(chunk));
}

void relayed_exchange::finish()
{
    m_inner->finish();
}

void relayed_exchange::abort()
{
    m_inner->abort();
}

void relayed_exchange::on_writable(std::function<void()> callback)
{
    m_inner->on_writable(std::move(callback));
}

void relayed_exchange::on_closed(std::function<void()> callback)
{
    m_inner->on_closed(std::move(callback));
}

} // namespace snipeshore::apps
