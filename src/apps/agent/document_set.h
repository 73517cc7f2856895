/// @file Replicas of all published documents on one host.
#pragma once

#include "documents/types/publication.h"
#include "documents/types/replica.h"
#include "inner/types/messages.h"

#include <map>
#include <string>
#include <vector>

namespace snipeshore::apps {

/// Names of the published documents.
const std::vector<std::string>& document_names();

class document_set {
public:
    document_set();

    const documents::replica& get(const std::string& name) const;

    /// Current version of each document.
    std::vector<inner::document_version> versions() const;

    /// Versions to send to a peer: 0 for a document whose patches did not apply, so that the peer
    /// replies with the full text.
    std::vector<inner::document_version> versions_for_exchange() const;

    /// Updates that a peer with the versions `theirs` is missing.
    std::vector<inner::document>
    newer_than(const std::vector<inner::document_version>& theirs) const;

    /// Documents with unknown names are ignored.
    documents::install_outcome install(const inner::document& offered);
    documents::install_outcome install(const std::string& name, const documents::update& offered);

private:
    std::map<std::string, documents::replica> m_replicas;
    std::map<std::string, bool> m_needs_text;
};

} // namespace snipeshore::apps
