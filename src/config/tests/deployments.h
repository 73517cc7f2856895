/// @file Reads files of the source tree, such as the committed deployment documents.
#pragma once

#include <doctest/doctest.h>

#include <fstream>
#include <iterator>
#include <string>

namespace snipeshore::config {

inline std::string source_file(const std::string& path)
{
    std::ifstream file(std::string(SNIPESHORE_SOURCE_DIR) + "/" + path);
    REQUIRE_MESSAGE(file.good(), path);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

} // namespace snipeshore::config
