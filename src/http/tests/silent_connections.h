/// @file Test helper: connections on which nothing arrives any more.
#pragma once

#include <string>

namespace snipeshore::http::tests {

/// Silences this process's open connections to and from an address; returns the number of their
/// ends. New connections work.
int silence_connections(const std::string& address);

} // namespace snipeshore::http::tests
