#include "apps/ctl/publisher.h"

#include "apps/ctl/publication.h"
#include "apps/ctl/store_session.h"
#include "base/time.h"
#include "config/diff.h"
#include "config/key_hash.h"
#include "documents/publishing.h"
#include "documents/text.h"

#include <optional>
#include <thread>
#include <type_traits>
#include <utility>

namespace snipeshore::apps {

namespace {

using base::error_kind;

bool is_transient(const base::error& failure)
{
    return failure.kind == error_kind::store_unavailable ||
           failure.kind == error_kind::store_unknown;
}

base::result<documents::published_row> read_published(store_session& store,
                                                      const std::string& document)
{
    const auto row = store.read_row(documents::row_key(document));
    if (!base::is_ok(row)) {
        return base::error_of(row);
    }
    return parse_row(base::value_of(row));
}

base::result<std::string> read_text(store_session& store, const std::string& document,
                                    const documents::published_row& row)
{
    if (!row.record) {
        return std::string();
    }
    const std::string name = documents::text_object_name(document, row.record->version);
    auto text = store.read_object(name);
    if (base::is_ok(text) && documents::digest_of(base::value_of(text)) != row.record->digest) {
        return base::error{error_kind::document_invalid,
                           "object " + name + " does not match the digest in its row"};
    }
    return text;
}

/// Runs one publication.
class publisher {
public:
    publisher(store_session& store, const publication_request& request,
              const publisher_settings& settings)
        : m_store(store), m_request(request), m_settings(settings),
          m_deadline(base::boot_clock::now() + settings.retry_timeout),
          m_publication_id(config::random_publication_id())
    {}

    publish_report run()
    {
        const base::status read = read_base();
        if (!base::is_ok(read)) {
            return report_failure(base::error_of(read));
        }
        for (;;) {
            auto planned = plan_publication(m_base.state, m_request, m_base.text, m_taken_version,
                                            m_publication_id);
            if (const auto* outcome = std::get_if<publish_outcome>(&planned)) {
                return report_without_write(*outcome);
            }
            const documents::publish_plan& plan = std::get<documents::publish_plan>(planned);
            const base::status written = write_objects(plan);
            if (base::is_ok(written)) {
                if (auto report = write_row(plan)) {
                    return *report;
                }
                continue;
            }
            const base::error& failure = base::error_of(written);
            if (failure.kind != error_kind::version_conflict) {
                return report_failure(failure);
            }
            // The object name is taken by a publication that has taken effect meanwhile, is in
            // progress or was abandoned. The first must not be overwritten; in the other cases this
            // version is skipped.
            const auto state =
                with_retries([this] { return read_published(m_store, m_request.document); });
            if (!base::is_ok(state)) {
                return report_failure(base::error_of(state));
            }
            if (base::value_of(state).store_era != plan.store_era) {
                if (auto report = start_again(plan)) {
                    return *report;
                }
                continue;
            }
            if (base::value_of(state).row_version != m_base.state.row_version) {
                return report_superseded(base::value_of(state), plan, publish_outcome::conflict);
            }
            m_taken_version = plan.record.version.value();
        }
    }

private:
    bool wait_before_retry() const
    {
        if (base::boot_clock::now() + m_settings.retry_interval >= m_deadline) {
            return false;
        }
        std::this_thread::sleep_for(m_settings.retry_interval);
        return true;
    }

    /// Retries a call that fails with a transient error until the deadline.
    template <typename Call>
    std::invoke_result_t<Call> with_retries(const Call& call) const
    {
        for (;;) {
            auto outcome = call();
            if (base::is_ok(outcome) || !is_transient(base::error_of(outcome)) ||
                !wait_before_retry()) {
                return outcome;
            }
        }
    }

    base::status read_base()
    {
        auto state = with_retries([this] { return read_published(m_store, m_request.document); });
        if (!base::is_ok(state)) {
            return base::error_of(state);
        }
        m_base = {base::value_of(state), ""};
        auto text =
            with_retries([this] { return read_text(m_store, m_request.document, m_base.state); });
        if (base::is_ok(text)) {
            m_base.text = std::move(base::value_of(text));
        } else if (is_transient(base::error_of(text))) {
            return base::error_of(text);
        }
        // A missing or damaged object must not prevent the publication of its replacement.
        return std::monostate{};
    }

    /// Reads the row and text again after a restoration of the store, which may have lost objects
    /// and given the row's version to another publication. Empty if the publication can be planned
    /// again.
    std::optional<publish_report> start_again(const documents::publish_plan& plan)
    {
        const documents::published_row before = m_base.state;
        const base::status read = read_base();
        if (!base::is_ok(read)) {
            return report_failure(base::error_of(read));
        }
        if (documents::is_same_or_earlier(before, m_base.state)) {
            return std::nullopt;
        }
        return report_superseded(m_base.state, plan, outcome_without_effect_now());
    }

    /// Outcome of a publication that is not in the row.
    publish_outcome outcome_without_effect_now() const
    {
        return m_may_have_effect ? publish_outcome::unknown : publish_outcome::conflict;
    }

    publish_outcome outcome_while_unavailable() const
    {
        return m_may_have_effect ? publish_outcome::unknown : publish_outcome::unavailable;
    }

    base::status write_object_with_retries(const std::string& name, const std::string& content)
    {
        return with_retries([&] { return m_store.write_object(name, content); });
    }

    base::status write_objects(const documents::publish_plan& plan)
    {
        const std::string& document = m_request.document;
        base::status outcome = write_object_with_retries(
            documents::text_object_name(document, plan.record.version), plan.text);
        if (base::is_ok(outcome) && !plan.patch.empty()) {
            outcome = write_object_with_retries(
                documents::patch_object_name(document, plan.record.version), plan.patch);
        }
        return outcome;
    }

    /// Repeats the write until its outcome is known. This is safe because the condition on the
    /// row's version and the store's era ensures that it takes effect at most once. Empty if the
    /// store was restored and the publication has to be planned again.
    std::optional<publish_report> write_row(const documents::publish_plan& plan)
    {
        std::string cause;
        do {
            const auto outcome = m_store.write_row(documents::row_key(m_request.document),
                                                   {plan.expected_row_version, plan.store_era},
                                                   documents::encode(plan.record));
            if (base::is_ok(outcome)) {
                return report_published(plan);
            }
            const base::error& failure = base::error_of(outcome);
            if (!is_transient(failure) && failure.kind != error_kind::version_conflict) {
                return report_failure(failure);
            }
            m_may_have_effect = m_may_have_effect || failure.kind == error_kind::store_unknown;
            cause = failure.detail;
            const auto row = m_store.read_row(documents::row_key(m_request.document));
            if (!base::is_ok(row)) {
                continue;
            }
            const auto state = parse_row(base::value_of(row));
            if (!base::is_ok(state)) {
                return report_failure(base::error_of(state));
            }
            const write_result result = check_write_result(base::value_of(state), plan);
            if (result == write_result::restored) {
                return start_again(plan);
            }
            if (result != write_result::not_written) {
                return report_result(result, base::value_of(state), plan);
            }
        } while (wait_before_retry());
        publish_report report;
        report.outcome = outcome_while_unavailable();
        report.in_force = m_base.state.record.value_or(documents::publication{});
        report.detail = cause;
        return report;
    }

    publish_report report_result(write_result result, const documents::published_row& state,
                                 const documents::publish_plan& plan)
    {
        if (result != write_result::in_force) {
            return report_superseded(state, plan,
                                     result == write_result::undetermined
                                         ? outcome_without_effect_now()
                                         : publish_outcome::conflict);
        }
        // Without a reply to the write it is not known whether the objects were lost before it.
        if (state.store_era != plan.store_era) {
            const base::status written = write_objects(plan);
            if (!base::is_ok(written)) {
                return report_failure(base::error_of(written));
            }
        }
        return report_published(plan);
    }

    publish_report report_published(const documents::publish_plan& plan) const
    {
        publish_report report;
        report.outcome = publish_outcome::published;
        report.in_force = plan.record;
        return report;
    }

    publish_report report_superseded(const documents::published_row& state,
                                     const documents::publish_plan& plan, publish_outcome outcome)
    {
        publish_report report;
        report.in_force = state.record.value_or(documents::publication{});
        if (report.in_force.digest == plan.record.digest) {
            report.outcome = publish_outcome::already_in_force;
            return report;
        }
        report.outcome = outcome;
        report.detail = "another publication, version " + std::to_string(version_of(state)) +
                        ", was published after version " + std::to_string(version_of(m_base.state));
        add_changes(report, m_base.text);
        return report;
    }

    publish_report report_without_write(publish_outcome outcome)
    {
        publish_report report;
        report.outcome = outcome;
        report.in_force = m_base.state.record.value_or(documents::publication{});
        if (outcome == publish_outcome::conflict) {
            const std::uint64_t edited_from = m_request.base_version.value_or(0);
            report.detail = "version " + std::to_string(report.in_force.version.value()) +
                            " is in force, but the change is based on version " +
                            std::to_string(edited_from);
            const auto text = m_store.read_object(documents::text_object_name(
                m_request.document, base::document_version(edited_from)));
            if (base::is_ok(text)) {
                add_changes(report, base::value_of(text));
            }
        }
        return report;
    }

    /// Adds the differences between `base_text` and the publication in force.
    void add_changes(publish_report& report, const std::string& base_text)
    {
        const auto text = m_store.read_object(
            documents::text_object_name(m_request.document, report.in_force.version));
        if (base::is_ok(text)) {
            report.other_changes =
                config::diff_texts(base_text.empty() ? "{}" : base_text, base::value_of(text));
        }
    }

    /// Report of a publication that failed before the row was written.
    publish_report report_failure(const base::error& failure) const
    {
        publish_report report;
        report.outcome =
            is_transient(failure) ? outcome_while_unavailable() : publish_outcome::malformed;
        report.in_force = m_base.state.record.value_or(documents::publication{});
        report.detail = failure.detail;
        return report;
    }

    store_session& m_store;
    const publication_request& m_request;
    const publisher_settings& m_settings;
    base::time_point m_deadline;
    std::string m_publication_id;
    stored_document m_base;
    std::uint64_t m_taken_version = 0;
    bool m_may_have_effect = false; ///< A write of the row ended with an unknown outcome.
};

} // namespace

base::result<stored_document> read_document(store_session& store, const std::string& document)
{
    const auto state = read_published(store, document);
    if (!base::is_ok(state)) {
        return base::error_of(state);
    }
    auto text = read_text(store, document, base::value_of(state));
    if (!base::is_ok(text)) {
        return base::error_of(text);
    }
    return stored_document{base::value_of(state), std::move(base::value_of(text))};
}

publish_report publish(store_session& store, const publication_request& request,
                       const publisher_settings& settings)
{
    return publisher(store, request, settings).run();
}

} // namespace snipeshore::apps
