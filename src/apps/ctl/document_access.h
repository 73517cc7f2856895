/// @file Reading and changing of documents by subcommands.
#pragma once

#include "apps/ctl/publisher.h"
#include "apps/ctl/store_session.h"
#include "base/result.h"
#include "config/types/document.h"

#include <functional>
#include <optional>
#include <string>

namespace snipeshore::apps {

struct command_context;

/// Opens the store; null if no store address was given.
std::unique_ptr<store_session> open_store(const command_context& context);

publisher_settings publisher_settings_of(const command_context& context);

/// Reads a whole file.
base::result<std::string> read_file(const std::string& path);

/// Reads the configuration in force; empty if none has been published or it is invalid.
base::result<std::optional<config::document>> read_configuration(store_session& store);

/// Takes the text in force and returns the text of the changed document for the given version.
using document_edit =
    std::function<base::result<std::string>(const std::string& text, std::uint64_t version)>;

/// Reads the document, applies the change and publishes the result. After a conflict the change is
/// applied again to the other publication, because keys and drains are independent of each other.
base::result<publish_report> publish_edit(const command_context& context, store_session& store,
                                          const std::string& document, const document_edit& edit);

} // namespace snipeshore::apps
