/// @file In-memory implementation of the platform's store, for tests.
#pragma once

#include "documents/publishing.h"
#include "documents/text.h"
#include "store/document_store.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace snipeshore::apps {

/// Replies at once, or when `run_deferred` is called if `defer` is set.
class fake_store final : public store::document_store {
public:
    void read_row(const std::string& key, row_callback done) override
    {
        ++row_reads;
        reply([this, key, done = std::move(done)] {
            if (down) {
                done(unavailable());
                return;
            }
            const auto found = rows.find(key);
            store::row row = found == rows.end() ? store::row{key, "", 0} : found->second;
            row.era = era;
            done(row);
        });
    }

    void write_row(const std::string& key, const store::row_condition& expected,
                   const std::string& value, row_callback done) override
    {
        reply([this, key, expected, value, done = std::move(done)] {
            const auto found = rows.find(key);
            const std::uint64_t version = found == rows.end() ? 0 : found->second.version;
            if (down) {
                done(unavailable());
            } else if (version != expected.version || era != expected.era) {
                done(base::error{base::error_kind::version_conflict, key});
            } else {
                rows[key] = {key, value, version + 1, era};
                done(rows[key]);
            }
        });
    }

    void read_object(const std::string& name, text_callback done) override
    {
        read_objects.push_back(name);
        reply([this, name, done = std::move(done)] {
            const auto found = objects.find(name);
            if (down) {
                done(unavailable());
            } else if (found == objects.end()) {
                done(base::error{base::error_kind::not_found, name});
            } else {
                done(found->second);
            }
        });
    }

    void write_object(const std::string& name, const std::string& content,
                      status_callback done) override
    {
        reply([this, name, content, done = std::move(done)] {
            if (down) {
                done(unavailable());
            } else if (objects.try_emplace(name, content).first->second != content) {
                done(base::error{base::error_kind::version_conflict, name});
            } else {
                done(std::monostate{});
            }
        });
    }

    void list_hosts(hosts_callback done) override
    {
        reply([this, done = std::move(done)] {
            if (down) {
                done(unavailable());
                return;
            }
            done(hosts);
        });
    }

    /// Publishes the next version of a document as a publisher does.
    void publish(const std::string& name, const std::string& text)
    {
        const auto key = documents::row_key(name);
        const documents::published_row before = row_of(key);
        const auto version = documents::highest_version(before, {});
        std::string old_text;
        if (version.value() > 0) {
            old_text = objects.at(documents::text_object_name(name, before.record->version));
        }
        const auto plan = base::value_of(documents::plan_publish(
            {"id" + std::to_string(++m_publications), version, text}, before, {}, old_text));
        objects[documents::text_object_name(name, plan.record.version)] = plan.text;
        if (!plan.patch.empty()) {
            objects[documents::patch_object_name(name, plan.record.version)] = plan.patch;
        }
        rows[key] = {key, documents::encode(plan.record), before.row_version + 1};
    }

    documents::published_row published(const std::string& name) const
    {
        return row_of(documents::row_key(name));
    }

    /// Content of the store. A copy can be restored later.
    struct content {
        std::map<std::string, store::row> rows;
        std::map<std::string, std::string> objects;
    };

    content copy() const
    {
        return {rows, objects};
    }

    /// Restores an older copy, which begins a new era.
    void restore(const content& older)
    {
        rows = older.rows;
        objects = older.objects;
        ++era;
    }

    /// Replies to the calls that were deferred.
    void run_deferred()
    {
        for (const auto& call : std::exchange(m_deferred, {})) {
            call();
        }
    }

    bool down = false;
    bool defer = false;
    std::uint64_t era = 0;
    std::size_t row_reads = 0;
    std::deque<std::string> read_objects;
    std::map<std::string, store::row> rows;
    std::map<std::string, std::string> objects;
    std::vector<store::listed_host> hosts;

private:
    static base::error unavailable()
    {
        return {base::error_kind::store_unavailable, "the store is down"};
    }

    documents::published_row row_of(const std::string& key) const
    {
        const auto found = rows.find(key);
        if (found == rows.end()) {
            return {0, {}, era};
        }
        return {found->second.version, base::value_of(documents::decode(found->second.value)), era};
    }

    void reply(std::function<void()> call)
    {
        if (defer) {
            m_deferred.push_back(std::move(call));
            return;
        }
        call();
    }

    std::vector<std::function<void()>> m_deferred;
    int m_publications = 0;
};

} // namespace snipeshore::apps
