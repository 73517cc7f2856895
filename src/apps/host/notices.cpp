#include "apps/host/notices.h"

#include "apps/host/host_context.h"
#include "apps/host/target_limits.h"
#include "fleet/bulletin.h"
#include "telemetry/event_log.h"

#include <utility>

namespace snipeshore::apps {

namespace {

void log_quarantine(const fleet::notice& made, std::string_view source)
{
    if (made.kind == fleet::notice_kind::quarantine) {
        telemetry::log_event(telemetry::severity::warning, "request_quarantined",
                             {{"fingerprint", made.subject},
                              {"level", static_cast<std::uint64_t>(made.value)},
                              {"source", source}});
    }
}

/// Keeps the notice. Returns whether it is news.
bool keep(host_context& context, const fleet::notice& made, std::string_view source)
{
    const bool is_news = fleet::post(context.notices, made);
    if (is_news) {
        log_quarantine(made, source);
    }
    return is_news;
}

void apply(host_context& context, const fleet::notice& heard, base::time_point now)
{
    switch (heard.kind) {
    case fleet::notice_kind::crash:
    case fleet::notice_kind::quarantine:
        // What follows is told with the next messages: the others have heard the same.
        for (const fleet::notice& made : apply_notice(context.crashes, heard, now)) {
            keep(context, made, "heard");
        }
        return;
    case fleet::notice_kind::target_limit:
        apply_limit_notice(context, heard, now);
        return;
    }
}

} // namespace

void publish(host_context& context, const std::vector<fleet::notice>& made)
{
    bool is_news = false;
    for (const fleet::notice& one : made) {
        is_news = keep(context, one, "own") || is_news;
    }
    if (is_news) {
        context.spread();
    }
}

void apply_notices(host_context& context, const fleet::exchange_message& message,
                   base::time_point now)
{
    for (const fleet::told_notice& told : message.notices) {
        const fleet::notice heard = fleet::heard(told, now);
        if (keep(context, heard, message.from.id.value())) {
            apply(context, heard, now);
        }
    }
    for (const fleet::notice& made : apply_reports(context.crashes, message.crashes, now)) {
        keep(context, made, message.from.id.value());
    }
}

} // namespace snipeshore::apps
