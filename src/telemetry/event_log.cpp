#include "telemetry/event_log.h"

#include "base/time.h"

#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <climits>
#include <mutex>
#include <unordered_map>

namespace snipeshore::telemetry {

namespace {

bool is_plain(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return std::isalnum(byte) != 0 ||
           std::string_view("._-/:@+,%").find(c) != std::string_view::npos;
}

void append_escaped(std::string& out, char c)
{
    static constexpr std::string_view hex_digits = "0123456789abcdef";
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
        out += '\\';
        out += c;
        return;
    }
    if (byte >= 0x20 && byte < 0x7f) {
        out += c;
        return;
    }
    out += "\\x";
    out += hex_digits[byte >> 4U];
    out += hex_digits[byte & 0xfU];
}

std::string quote_if_needed(std::string_view text)
{
    if (!text.empty() && std::all_of(text.begin(), text.end(), is_plain)) {
        return std::string(text);
    }
    std::string out = "\"";
    for (const char c : text) {
        append_escaped(out, c);
    }
    out += '"';
    return out;
}

/// Writes lines to a descriptor and never waits: a line that does not fit into a full pipe is
/// dropped and counted.
class dropping_sink final : public spdlog::sinks::base_sink<std::mutex> {
public:
    explicit dropping_sink(int descriptor) : m_descriptor(descriptor) {}

protected:
    void sink_it_(const spdlog::details::log_msg& message) override
    {
        spdlog::memory_buf_t formatted;
        formatter_->format(message, formatted);
        std::string line(formatted.data(), formatted.size());
        if (m_dropped > 0) {
            line.insert(line.size() - 1, " dropped_before=" + std::to_string(m_dropped));
        }
        // A pipe that is writable takes this much at once.
        if (line.size() > PIPE_BUF) {
            line.resize(PIPE_BUF - 1);
            line += '\n';
        }
        pollfd ready{m_descriptor, POLLOUT, 0};
        const bool is_writable = poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0;
        if (is_writable && write(m_descriptor, line.data(), line.size()) > 0) {
            m_dropped = 0;
        } else {
            ++m_dropped;
        }
    }

    void flush_() override {}

private:
    int m_descriptor;
    std::uint64_t m_dropped = 0;
};

struct rate_window {
    base::time_point ends;
    std::uint64_t written = 0;
    std::uint64_t suppressed = 0;
};

/// Returns whether the event may be written and how many were suppressed before it.
std::pair<bool, std::uint64_t> pass_rate_limit(std::string_view name)
{
    // One table per thread: logging threads share nothing.
    thread_local std::unordered_map<std::string, rate_window> windows;
    rate_window& window = windows[std::string(name)];
    const base::time_point now = base::boot_clock::now();
    if (now >= window.ends) {
        window.ends = now + std::chrono::seconds(1);
        window.written = 0;
    }
    if (window.written >= max_events_per_second) {
        ++window.suppressed;
        return {false, 0};
    }
    ++window.written;
    return {true, std::exchange(window.suppressed, 0)};
}

spdlog::level::level_enum to_spdlog(severity level)
{
    switch (level) {
    case severity::info:
        return spdlog::level::info;
    case severity::warning:
        return spdlog::level::warn;
    case severity::error:
        return spdlog::level::err;
    }
    return spdlog::level::err;
}

} // namespace

field::field(std::string_view field_key, std::string_view text)
    : key(field_key), value(quote_if_needed(text))
{}

field::field(std::string_view field_key, const char* text)
    : field(field_key, std::string_view(text))
{}

field::field(std::string_view field_key, const std::string& text)
    : field(field_key, std::string_view(text))
{}

field::field(std::string_view field_key, std::int64_t number)
    : key(field_key), value(std::to_string(number))
{}

field::field(std::string_view field_key, std::uint64_t number)
    : key(field_key), value(std::to_string(number))
{}

field::field(std::string_view field_key, int number) : key(field_key), value(std::to_string(number))
{}

field::field(std::string_view field_key, double number)
    : key(field_key), value(fmt::format("{:.6g}", number))
{}

field::field(std::string_view field_key, bool flag) : key(field_key), value(flag ? "true" : "false")
{}

void init_event_log(std::string_view process)
{
    auto logger =
        std::make_shared<spdlog::logger>("events", std::make_shared<dropping_sink>(STDERR_FILENO));
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l process=" + quote_if_needed(process) +
                            " %v",
                        spdlog::pattern_time_type::utc);
    spdlog::set_default_logger(logger);
}

std::string format_event(std::string_view name, std::initializer_list<field> fields)
{
    std::string line = "event=";
    line += name;
    for (const field& pair : fields) {
        line += ' ';
        line += pair.key;
        line += '=';
        line += pair.value;
    }
    return line;
}

void log_event(severity level, std::string_view name, std::initializer_list<field> fields)
{
    const auto [pass, suppressed] = pass_rate_limit(name);
    if (!pass) {
        return;
    }
    std::string line = format_event(name, fields);
    if (suppressed > 0) {
        line += " suppressed=" + std::to_string(suppressed);
    }
    spdlog::log(to_spdlog(level), "{}", line);
}

} // namespace snipeshore::telemetry
