/// @file Publishing of documents through the platform's store.
#pragma once

#include "apps/ctl/types/publication.h"
#include "base/result.h"

#include <chrono>
#include <string>

namespace snipeshore::apps {

class store_session;

struct publisher_settings {
    /// Time in which failed calls are repeated before the publication ends without success.
    std::chrono::milliseconds give_up_after{30000};
    std::chrono::milliseconds pause{200}; ///< Before a failed call is repeated.
};

/// A document in the store.
struct stored_document {
    documents::published_row state;
    std::string text; ///< Empty if nothing has been published.
};

/// Reads the row and the object that it names, and checks the digest.
base::result<stored_document> read_document(store_session& store, const std::string& document);

/// Writes the objects first and the row last. Sending the same document again is safe.
publish_report publish(store_session& store, const publish_order& order,
                       const publisher_settings& settings);

} // namespace snipeshore::apps
