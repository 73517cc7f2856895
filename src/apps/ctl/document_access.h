/// @file Documents that subcommands read and change.
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

/// Empty if no store address was given.
std::unique_ptr<store_session> open_store(const command_context& context);

publisher_settings publisher_settings_of(const command_context& context);

/// Whole content of a file.
base::result<std::string> read_file(const std::string& path);

/// The configuration in force; empty if none has been published or it is not valid.
base::result<std::optional<config::document>> read_configuration(store_session& store);

/// Text of the changed document as the given version, from the text in force.
using document_edit =
    std::function<base::result<std::string>(const std::string& text, std::uint64_t version)>;

/// Reads the document, changes it and publishes it. After a conflict the change is made again from
/// the other publication, because single keys and drains do not depend on each other.
base::result<publish_report> publish_edit(const command_context& context, store_session& store,
                                          const std::string& document, const document_edit& edit);

} // namespace snipeshore::apps
