#include "apps/host/notices.h"

#include "apps/host/host_context.h"
#include "apps/host/target_ends.h"
#include "apps/host/target_limits.h"
#include "apps/host/target_signals.h"
#include "crash_evidence/crash_watch.h"
#include "fleet/bulletin.h"
#include "fleet/members.h"
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

bool is_clearance(const fleet::notice& made)
{
    return made.kind == fleet::notice_kind::quarantine && made.value == 0;
}

/// Keeps in the store what this host has found out.
void keep_in_store(host_context& context, const fleet::notice& made, bool was_quarantined)
{
    if (is_clearance(made)) {
        context.clear_evidence(made, was_quarantined ? crash_evidence::keep_clearance::yes
                                                     : crash_evidence::keep_clearance::if_stored);
    } else if (made.kind == fleet::notice_kind::crash ||
               made.kind == fleet::notice_kind::quarantine) {
        context.keep_evidence(made, crash_evidence::is_confirmed(context.crashes, made));
    }
}

/// Keeps what follows from evidence of other hosts. All hosts draw the same conclusion, and one of
/// them stores it. The others are told with the next messages, since they have heard the same.
void keep_conclusions(host_context& context, const std::vector<fleet::notice>& made,
                      std::string_view source, base::time_point now)
{
    for (const fleet::notice& one : made) {
        if (keep(context, one, source) && fleet::is_owner(context.members, one.subject, now)) {
            keep_in_store(context, one, false);
        }
    }
}

/// Another host has noticed that a target ended: requests that this host has sent there may have
/// been the cause as well.
void apply_target_end(host_context& context, const fleet::notice& heard, base::time_point now)
{
    const auto target = crash_evidence::target_of(heard);
    if (target.has_value() && crash_evidence::has_open_runs(context.crashes, *target)) {
        record_target_end(context, *target,
                          now - heard.observed_at + crash_evidence::usual_notice_time);
    }
}

void apply(host_context& context, const fleet::notice& heard, base::time_point now)
{
    switch (heard.kind) {
    case fleet::notice_kind::crash:
        apply_target_end(context, heard, now);
        [[fallthrough]];
    case fleet::notice_kind::quarantine:
    case fleet::notice_kind::outlived:
        if (is_clearance(heard)) {
            context.clear_evidence(heard, crash_evidence::keep_clearance::no);
        }
        keep_conclusions(context, crash_evidence::apply_notice(context.crashes, heard, now),
                         "heard", now);
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
        const bool was_quarantined = is_quarantined(context, one.subject);
        if (keep(context, one, "own")) {
            is_news = true;
            keep_in_store(context, one, was_quarantined);
        }
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
    keep_conclusions(context, crash_evidence::apply_reports(context.crashes, message.crashes, now),
                     message.from.id.value(), now);
}

void apply_evidence(host_context& context, const std::vector<fleet::notice>& stored,
                    base::time_point now)
{
    for (const fleet::notice& one : stored) {
        if (keep(context, one, "store")) {
            apply(context, one, now);
        }
    }
}

} // namespace snipeshore::apps
