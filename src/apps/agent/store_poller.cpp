#include "apps/agent/store_poller.h"

#include "apps/agent/document_set.h"
#include "documents/publishing.h"
#include "documents/replica.h"
#include "telemetry/event_log.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace snipeshore::apps {

/// A document that is being fetched.
struct store_poller::fetch {
    std::string name;
    documents::publication record;
    documents::update update;
};

namespace {

bool is_store_response(const base::error& failure)
{
    return failure.kind != base::error_kind::store_unavailable &&
           failure.kind != base::error_kind::store_unknown;
}

} // namespace

store_poller::store_poller(store::document_store& store, document_set& documents,
                           poller_settings settings, poller_callbacks callbacks)
    : m_store(store), m_documents(documents), m_settings(settings),
      m_callbacks(std::move(callbacks))
{}

store_poller::~store_poller() = default;

template <typename Callback>
auto store_poller::while_alive(Callback callback)
{
    return [weak = std::weak_ptr(m_alive), callback = std::move(callback)](const auto& outcome) {
        if (weak.lock() != nullptr) {
            callback(outcome);
        }
    };
}

void store_poller::tick(base::time_point now, bool elected)
{
    m_last_tick = now;
    if (now >= m_next_list) {
        m_next_list =
            now + (m_listed_known ? m_settings.list_interval : m_settings.list_retry_interval);
        read_list(now);
    }
    if (!elected || now < m_next_rows) {
        return;
    }
    m_next_rows = now + m_settings.row_interval;
    for (const std::string& name : document_names()) {
        read_row(name, now);
    }
}

documents::store_state store_poller::state_of(const std::string& name) const
{
    const auto found = m_states.find(name);
    return found == m_states.end() ? documents::store_state::same : found->second;
}

void store_poller::read_row(const std::string& name, base::time_point now)
{
    if (std::exchange(m_row_read_pending[name], true)) {
        return;
    }
    m_store.read_row(documents::row_key(name),
                     while_alive([this, name, now](const base::result<store::row>& row) {
                         if (base::is_ok(row) || is_store_response(base::error_of(row))) {
                             m_callbacks.on_contact(now);
                         }
                         on_row(name, row);
                     }));
}

void store_poller::on_row(const std::string& name, const base::result<store::row>& row)
{
    const documents::replica& current = m_documents.get(name);
    if (!base::is_ok(row)) {
        finish(name, false);
        return;
    }
    documents::published_row published{base::value_of(row).version, {}, base::value_of(row).era};
    if (published.row_version != 0) {
        auto record = documents::decode(base::value_of(row).value);
        if (!base::is_ok(record)) {
            telemetry::log_event(telemetry::severity::error, "row_invalid",
                                 {{"name", name}, {"cause", base::error_of(record).detail}});
            finish(name, false);
            return;
        }
        published.record = std::move(base::value_of(record));
    }
    const auto state = documents::compare(published.record.value_or(documents::publication{}),
                                          current.version, current.digest);
    set_state(name, state);
    if (state == documents::store_state::newer) {
        start_fetch(name, std::move(*published.record));
    } else if (const auto plan = documents::plan_rewrite(published, current)) {
        rewrite(name, *plan);
    } else {
        finish(name, false);
    }
}

void store_poller::rewrite(const std::string& name, const documents::publish_plan& plan)
{
    const auto write_row = while_alive([this, name, plan](const base::status& written) {
        if (!base::is_ok(written)) {
            on_rewritten(name, written);
            return;
        }
        m_store.write_row(documents::row_key(name), {plan.expected_row_version, plan.store_era},
                          documents::encode(plan.record),
                          while_alive([this, name](const base::result<store::row>& row) {
                              on_rewritten(name, base::is_ok(row)
                                                     ? base::status{}
                                                     : base::status{base::error_of(row)});
                          }));
    });
    m_store.write_object(documents::text_object_name(name, plan.record.version), plan.text,
                         write_row);
}

void store_poller::on_rewritten(const std::string& name, const base::status& outcome)
{
    const std::uint64_t version = m_documents.get(name).version.value();
    if (base::is_ok(outcome)) {
        telemetry::log_event(telemetry::severity::warning, "document_rewritten",
                             {{"name", name}, {"in_force", version}});
    } else {
        // The next read of the row shows whether it is still needed.
        telemetry::log_event(
            telemetry::severity::warning, "document_not_rewritten",
            {{"name", name}, {"in_force", version}, {"cause", base::error_of(outcome).detail}});
    }
    finish(name, false);
}

void store_poller::start_fetch(const std::string& name, documents::publication record)
{
    const auto current = m_documents.get(name).version;
    auto job = std::make_shared<fetch>();
    job->name = name;
    job->update.version = record.version;
    job->update.base_version = current;
    job->update.digest = record.digest;
    job->record = std::move(record);
    if (documents::should_fetch_patches(current, job->record.version)) {
        fetch_patch(job);
        return;
    }
    fetch_text(job);
}

void store_poller::fetch_patch(const std::shared_ptr<fetch>& job)
{
    const base::document_version next(job->update.base_version.value() +
                                      job->update.patches.size() + 1);
    m_store.read_object(documents::patch_object_name(job->name, next),
                        while_alive([this, job](const base::result<std::string>& patch) {
                            if (!base::is_ok(patch)) {
                                fetch_text(job);
                                return;
                            }
                            job->update.patches.push_back(base::value_of(patch));
                            const auto reached =
                                job->update.base_version.value() + job->update.patches.size();
                            if (reached < job->record.version.value()) {
                                fetch_patch(job);
                                return;
                            }
                            const auto outcome = m_documents.install(job->name, job->update);
                            if (outcome == documents::install_outcome::needs_text) {
                                fetch_text(job);
                                return;
                            }
                            finish(job->name, outcome == documents::install_outcome::installed);
                        }));
}

void store_poller::fetch_text(const std::shared_ptr<fetch>& job)
{
    m_store.read_object(documents::text_object_name(job->name, job->record.version),
                        while_alive([this, job](const base::result<std::string>& text) {
                            if (!base::is_ok(text)) {
                                finish(job->name, false);
                                return;
                            }
                            job->update.base_version = {};
                            job->update.patches.clear();
                            job->update.text = base::value_of(text);
                            finish(job->name, m_documents.install(job->name, job->update) ==
                                                  documents::install_outcome::installed);
                        }));
}

void store_poller::finish(const std::string& name, bool installed)
{
    m_row_read_pending[name] = false;
    if (installed) {
        set_state(name, documents::store_state::same);
        m_callbacks.on_installed();
    }
}

void store_poller::set_state(const std::string& name, documents::store_state state)
{
    const auto before = state_of(name);
    m_states[name] = state;
    if (state == before) {
        return;
    }
    const std::uint64_t current = m_documents.get(name).version.value();
    if (state == documents::store_state::older) {
        telemetry::log_event(telemetry::severity::error, "store_restored_older",
                             {{"name", name}, {"in_force", current}});
    } else if (state == documents::store_state::diverged) {
        telemetry::log_event(telemetry::severity::error, "store_diverged",
                             {{"name", name}, {"in_force", current}});
    }
}

void store_poller::read_list(base::time_point now)
{
    if (std::exchange(m_list_read_pending, true)) {
        return;
    }
    m_store.list_hosts(
        while_alive([this, now](const base::result<std::vector<store::listed_host>>& hosts) {
            m_list_read_pending = false;
            if (base::is_ok(hosts)) {
                m_callbacks.on_contact(now);
                on_list(hosts);
            }
        }));
}

void store_poller::on_list(const base::result<std::vector<store::listed_host>>& hosts)
{
    const auto previous = std::exchange(m_last_list, {});
    std::set<base::host_id> listed;
    for (const store::listed_host& host : base::value_of(hosts)) {
        m_last_list.push_back({base::host_id(host.host_id),
                               base::failure_domain_id(host.failure_domain), host.agent_address});
        listed.insert(m_last_list.back().host);
    }
    m_seeds = m_last_list;
    std::copy_if(previous.begin(), previous.end(), std::back_inserter(m_seeds),
                 [&](const membership::seed& host) { return !listed.contains(host.host); });
    m_listed_known = true;
    m_callbacks.on_list_read();
}

} // namespace snipeshore::apps
