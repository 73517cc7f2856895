/// @file Publishes documents through the platform's store.
#pragma once

#include "apps/ctl/types/publication.h"
#include "base/result.h"

#include <chrono>
#include <string>

namespace snipeshore::apps {

class store_session;

struct publisher_settings {
    /// Failed calls are retried for this time before the publication fails.
    std::chrono::milliseconds retry_timeout{30000};
    std::chrono::milliseconds retry_interval{200}; ///< Delay before a failed call is retried.
};

/// A document read from the store.
struct stored_document {
    documents::published_row state;
    std::string text; ///< Empty if nothing has been published.
};

/// Reads the row of a document and the text object of its version, and verifies the digest.
base::result<stored_document> read_document(store_session& store, const std::string& document);

/// Writes the objects first and the row last. Publishing the same document again is safe.
publish_report publish(store_session& store, const publication_request& request,
                       const publisher_settings& settings);

} // namespace snipeshore::apps
