#include "base/deflate.h"

#include <zlib.h>

#include <algorithm>
#include <array>

namespace snipeshore::base {

namespace {

/// Configurations of many similar routes shrink to a tenth at the fastest level already.
constexpr int level = 1;

constexpr std::size_t chunk_bytes = 32U << 10U;

Bytef* input_of(std::string_view data)
{
    // zlib does not change its input.
    return reinterpret_cast<Bytef*>(const_cast<char*>(data.data()));
}

} // namespace

std::string deflate(std::string_view text)
{
    uLongf size = compressBound(text.size());
    std::string packed(size, '\0');
    compress2(reinterpret_cast<Bytef*>(packed.data()), &size, input_of(text), text.size(), level);
    packed.resize(size);
    return packed;
}

std::optional<std::string> inflate(std::string_view data, std::size_t max_bytes)
{
    z_stream stream{};
    stream.next_in = input_of(data);
    stream.avail_in = static_cast<uInt>(data.size());
    if (inflateInit(&stream) != Z_OK) {
        return std::nullopt;
    }
    std::string text;
    std::array<char, chunk_bytes> chunk{};
    int state = Z_OK;
    while (state == Z_OK && text.size() <= max_bytes) {
        stream.next_out = reinterpret_cast<Bytef*>(chunk.data());
        stream.avail_out = chunk.size();
        state = ::inflate(&stream, Z_NO_FLUSH);
        text.append(chunk.data(), chunk.size() - stream.avail_out);
    }
    const bool is_whole = state == Z_STREAM_END && stream.avail_in == 0;
    inflateEnd(&stream);
    if (!is_whole || text.size() > max_bytes) {
        return std::nullopt;
    }
    return text;
}

} // namespace snipeshore::base
