#include "apps/host/row_publisher.h"

#include "apps/host/peer_calls.h"
#include "base/deflate.h"
#include "base/time.h"
#include "fleet/exchange_encoding.h"
#include "http/exchange.h"
#include "http/loop.h"
#include "rows/table_follower.h"
#include "rows/table_replica.h"
#include "telemetry/event_log.h"

#include <utility>

namespace snipeshore::apps {

namespace {

/// Below this size, compression saves less than its processor time costs.
constexpr std::size_t min_deflated_bytes = 2048;

constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

void respond_without_body(http::exchange& request, int status)
{
    http::response_head head;
    head.status = status;
    request.respond(std::move(head), "");
}

bool accepts_deflate(const http::request_head& head)
{
    return http::find_header(head.headers, "accept-encoding") == rows_coding;
}

} // namespace

row_publisher::row_publisher(http::loop& loop,
                             const std::map<std::string, rows::table_follower*>& tables)
    : m_loop(loop), m_tables(tables)
{}

void row_publisher::handle(const std::shared_ptr<http::exchange>& request)
{
    const rows_query query =
        parse_rows_query(std::string_view(request->head().path).substr(rows_prefix.size()));
    const auto table = m_tables.find(query.table);
    if (table == m_tables.end()) {
        respond_without_body(*request, status_not_found);
        return;
    }
    const bool waits = query.wait.count() > 0;
    if (waits && !table->second->is_store_reachable()) {
        respond_without_body(*request, status_unavailable);
        return;
    }
    if (respond(*request, query.table, query.after, waits)) {
        return;
    }
    m_waiting[query.table].push_back({request, query.after});
    m_loop.schedule(base::boot_clock::now() + query.wait,
                    [this, weak = std::weak_ptr(request), name = query.table] {
                        if (const auto expired = weak.lock()) {
                            respond_to_waiting(name, expired.get());
                        }
                    });
}

void row_publisher::on_rows_changed(const std::string& table)
{
    // Deferred, because the follower is still applying the change.
    m_loop.schedule(base::boot_clock::now(), [this, table] { respond_to_waiting(table, nullptr); });
}

void row_publisher::on_store_lost()
{
    for (const auto& [table, calls] : std::exchange(m_waiting, {})) {
        for (const waiting_call& call : calls) {
            respond_without_body(*call.request, status_unavailable);
        }
    }
}

void row_publisher::respond_to_waiting(const std::string& table, const http::exchange* expired)
{
    std::erase_if(m_waiting[table], [&](const waiting_call& call) {
        return respond(*call.request, table, call.after, call.request.get() != expired);
    });
}

bool row_publisher::respond(http::exchange& request, const std::string& table, std::uint64_t after,
                            bool may_wait)
{
    const rows::table_replica& replica = m_tables.at(table)->replica();
    encoded_update& last = m_last_updates[table];
    const bool is_same = !last.text.empty() && last.after == after &&
                         last.version == replica.version && last.era == replica.era;
    if (!is_same) {
        const rows::replica_update update = rows::update_after(replica, after);
        last = {after,
                update.version,
                update.era,
                !update.rows.empty() || update.is_full,
                fleet::encode(update),
                {}};
    }
    if (!last.has_changes && may_wait) {
        return false;
    }
    send(request, last, m_tables.at(table)->store_reachable_since());
    return true;
}

void row_publisher::send(http::exchange& request, encoded_update& update,
                         base::time_point store_reachable_since) const
{
    http::response_head head;
    const auto contact_age = std::chrono::duration_cast<std::chrono::milliseconds>(
        base::boot_clock::now() - store_reachable_since);
    head.headers.push_back({std::string(contact_header), std::to_string(contact_age.count())});
    const bool is_deflated =
        update.text.size() >= min_deflated_bytes && accepts_deflate(request.head());
    if (!is_deflated) {
        request.respond(std::move(head), update.text);
        return;
    }
    if (update.deflated.empty()) {
        update.deflated = base::deflate(update.text);
        telemetry::log_event(telemetry::severity::info, "rows_deflated",
                             {{"version", update.version},
                              {"bytes", static_cast<std::uint64_t>(update.text.size())},
                              {"deflated", static_cast<std::uint64_t>(update.deflated.size())}});
    }
    head.headers.push_back({"content-encoding", std::string(rows_coding)});
    request.respond(std::move(head), update.deflated);
}

} // namespace snipeshore::apps
