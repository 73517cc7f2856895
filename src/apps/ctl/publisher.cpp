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
    return read_state(base::value_of(row));
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
                           "object " + name + " does not have the digest in its row"};
    }
    return text;
}

/// One publication from its first read to its end.
class publishing {
public:
    publishing(store_session& store, const publish_order& order, const publisher_settings& settings)
        : m_store(store), m_order(order), m_settings(settings),
          m_limit(base::boot_clock::now() + settings.give_up_after),
          m_publication_id(config::random_publication_id())
    {}

    publish_report run()
    {
        const base::status read = read_base();
        if (!base::is_ok(read)) {
            return end_with(base::error_of(read));
        }
        for (;;) {
            auto planned = plan_publication(m_base.state, m_order, m_base.text, m_taken_version,
                                            m_publication_id);
            if (const auto* outcome = std::get_if<publish_outcome>(&planned)) {
                return end_without_write(*outcome);
            }
            const documents::publish_plan& plan = std::get<documents::publish_plan>(planned);
            const base::status written = write_objects(plan);
            if (base::is_ok(written)) {
                return write_row(plan);
            }
            const base::error& failure = base::error_of(written);
            if (failure.kind != error_kind::version_conflict) {
                return end_with(failure);
            }
            // The name holds the text of a publication that is in force by now, under way or given
            // up. The first must not be overwritten, the others are passed over.
            const auto state =
                with_repeats([this] { return read_published(m_store, m_order.document); });
            if (!base::is_ok(state)) {
                return end_with(base::error_of(state));
            }
            if (base::value_of(state).row_version != m_base.state.row_version) {
                return overtaken(base::value_of(state), plan, publish_outcome::conflict);
            }
            m_taken_version = plan.record.version.value();
        }
    }

private:
    bool pause_before_repeat() const
    {
        if (base::boot_clock::now() + m_settings.pause >= m_limit) {
            return false;
        }
        std::this_thread::sleep_for(m_settings.pause);
        return true;
    }

    /// Repeats a call while its failure may pass.
    template <typename Call>
    std::invoke_result_t<Call> with_repeats(const Call& call) const
    {
        for (;;) {
            auto outcome = call();
            if (base::is_ok(outcome) || !is_transient(base::error_of(outcome)) ||
                !pause_before_repeat()) {
                return outcome;
            }
        }
    }

    base::status read_base()
    {
        auto state = with_repeats([this] { return read_published(m_store, m_order.document); });
        if (!base::is_ok(state)) {
            return base::error_of(state);
        }
        m_base = {base::value_of(state), ""};
        auto text =
            with_repeats([this] { return read_text(m_store, m_order.document, m_base.state); });
        if (base::is_ok(text)) {
            m_base.text = std::move(base::value_of(text));
        } else if (is_transient(base::error_of(text))) {
            return base::error_of(text);
        }
        // A lost or damaged object must not prevent the publication that replaces it.
        return std::monostate{};
    }

    base::status write_object_with_repeats(const std::string& name, const std::string& content)
    {
        return with_repeats([&] { return m_store.write_object(name, content); });
    }

    base::status write_objects(const documents::publish_plan& plan)
    {
        const std::string& document = m_order.document;
        base::status outcome = write_object_with_repeats(
            documents::text_object_name(document, plan.record.version), plan.text);
        if (base::is_ok(outcome) && !plan.patch.empty()) {
            outcome = write_object_with_repeats(
                documents::patch_object_name(document, plan.record.version), plan.patch);
        }
        return outcome;
    }

    /// Sends the write again until its outcome is known. That is safe: the condition on the row's
    /// version lets it take effect at most once.
    publish_report write_row(const documents::publish_plan& plan)
    {
        bool may_have_effect = false;
        std::string cause;
        do {
            const auto outcome =
                m_store.write_row(documents::row_key(m_order.document), plan.expected_row_version,
                                  documents::encode(plan.record));
            if (base::is_ok(outcome)) {
                return published(plan);
            }
            const base::error& failure = base::error_of(outcome);
            if (!is_transient(failure) && failure.kind != error_kind::version_conflict) {
                return end_with(failure);
            }
            may_have_effect = may_have_effect || failure.kind == error_kind::store_unknown;
            cause = failure.detail;
            if (auto report = resolve(plan, may_have_effect)) {
                return *report;
            }
        } while (pause_before_repeat());
        publish_report report;
        report.outcome = may_have_effect ? publish_outcome::unknown : publish_outcome::unavailable;
        report.now = m_base.state.record.value_or(documents::publication{});
        report.detail = cause;
        return report;
    }

    /// Reads the row; empty if it does not decide the outcome yet.
    std::optional<publish_report> resolve(const documents::publish_plan& plan, bool may_have_effect)
    {
        const auto row = m_store.read_row(documents::row_key(m_order.document));
        if (!base::is_ok(row)) {
            return std::nullopt;
        }
        const auto state = read_state(base::value_of(row));
        if (!base::is_ok(state)) {
            return end_with(base::error_of(state));
        }
        switch (judge_row(base::value_of(state), plan)) {
        case row_verdict::in_force:
            return published(plan);
        case row_verdict::not_written:
            return std::nullopt;
        case row_verdict::overtaken:
            return overtaken(base::value_of(state), plan, publish_outcome::conflict);
        case row_verdict::unclear:
            break;
        }
        return overtaken(base::value_of(state), plan,
                         may_have_effect ? publish_outcome::unknown : publish_outcome::conflict);
    }

    publish_report published(const documents::publish_plan& plan) const
    {
        publish_report report;
        report.outcome = publish_outcome::published;
        report.now = plan.record;
        return report;
    }

    publish_report overtaken(const documents::published_row& state,
                             const documents::publish_plan& plan, publish_outcome outcome)
    {
        publish_report report;
        report.now = state.record.value_or(documents::publication{});
        if (report.now.digest == plan.record.digest) {
            report.outcome = publish_outcome::already_in_force;
            return report;
        }
        report.outcome = outcome;
        report.detail = "another publication, version " + std::to_string(version_of(state)) +
                        ", came after version " + std::to_string(version_of(m_base.state));
        add_changes(report, m_base.text);
        return report;
    }

    publish_report end_without_write(publish_outcome outcome)
    {
        publish_report report;
        report.outcome = outcome;
        report.now = m_base.state.record.value_or(documents::publication{});
        if (outcome == publish_outcome::conflict) {
            const std::uint64_t edited_from = m_order.base.value_or(0);
            report.detail = "version " + std::to_string(report.now.version.value()) +
                            " is in force, the change was made from version " +
                            std::to_string(edited_from);
            const auto text = m_store.read_object(
                documents::text_object_name(m_order.document, base::document_version(edited_from)));
            if (base::is_ok(text)) {
                add_changes(report, base::value_of(text));
            }
        }
        return report;
    }

    /// Adds the differences between `base_text` and the publication in force.
    void add_changes(publish_report& report, const std::string& base_text)
    {
        const auto text =
            m_store.read_object(documents::text_object_name(m_order.document, report.now.version));
        if (base::is_ok(text)) {
            report.other_changes =
                config::diff_texts(base_text.empty() ? "{}" : base_text, base::value_of(text));
        }
    }

    /// End before the row was written.
    publish_report end_with(const base::error& failure) const
    {
        publish_report report;
        report.outcome =
            is_transient(failure) ? publish_outcome::unavailable : publish_outcome::malformed;
        report.now = m_base.state.record.value_or(documents::publication{});
        report.detail = failure.detail;
        return report;
    }

    store_session& m_store;
    const publish_order& m_order;
    const publisher_settings& m_settings;
    base::time_point m_limit;
    std::string m_publication_id;
    stored_document m_base;
    std::uint64_t m_taken_version = 0;
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

publish_report publish(store_session& store, const publish_order& order,
                       const publisher_settings& settings)
{
    return publishing(store, order, settings).run();
}

} // namespace snipeshore::apps
