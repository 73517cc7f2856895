#include "apps/host/notices.h"

#include "apps/host/host_context.h"
#include "apps/host/target_limits.h"
#include "apps/host/target_signals.h"
#include "fleet/bulletin.h"
#include "telemetry/event_log.h"

#include <string>
#include <utility>

namespace snipeshore::apps {

namespace {

bool is_quarantined(const host_context& context, const std::string& subject)
{
    const auto known = context.notices.notices.find({fleet::notice_kind::quarantine, subject});
    return known != context.notices.notices.end() && known->second.value > 0;
}

/// Keeps the notice. Returns whether it is news.
bool keep(host_context& context, const fleet::notice& made, std::string_view source)
{
    // Responses to mere suspects are not worth a line.
    const bool is_logged = made.kind == fleet::notice_kind::quarantine &&
                           (made.value > 0 || is_quarantined(context, made.subject));
    const bool is_news = fleet::post(context.notices, made);
    if (is_news && is_logged) {
        telemetry::log_event(telemetry::severity::warning, "request_quarantined",
                             {{"fingerprint", made.subject},
                              {"level", static_cast<std::uint64_t>(made.value)},
                              {"source", source}});
    }
    return is_news;
}

void apply(host_context& context, const fleet::notice& heard, base::time_point now)
{
    switch (heard.kind) {
    case fleet::notice_kind::crash:
    case fleet::notice_kind::quarantine:
        // What follows is told with the next messages: the others have heard the same.
        for (const fleet::notice& made :
             crash_evidence::apply_notice(context.crashes, heard, now)) {
            keep(context, made, "heard");
        }
        return;
    case fleet::notice_kind::target_limit:
        apply_limit_notice(context, heard, now);
        return;
    case fleet::notice_kind::target_leaving:
        apply_leaving_notice(context, heard);
        return;
    }
}

} // namespace

std::string subject_of(const pooled_target& target)
{
    return target.entry.id.value() + "/" + std::to_string(target.entry.started_ms);
}

pooled_target* find_subject(host_context& context, std::string_view subject)
{
    const base::target_id id(std::string(subject.substr(0, subject.rfind('/'))));
    for (auto& [service, pool] : context.pools) {
        pooled_target* target = find_target(pool, id);
        if (target != nullptr && subject_of(*target) == subject) {
            return target;
        }
    }
    return nullptr;
}

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
    for (const fleet::notice& made :
         crash_evidence::apply_reports(context.crashes, message.crashes, now)) {
        keep(context, made, message.from.id.value());
    }
}

} // namespace snipeshore::apps
