/// @file Event log: one line of key=value pairs per event.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace snipeshore::telemetry {

enum class severity { info, warning, error };

/// One pair of an event. Values are quoted and escaped when needed, so a caller cannot forge lines.
struct field {
    field(std::string_view field_key, std::string_view text);
    field(std::string_view field_key, const char* text);
    field(std::string_view field_key, const std::string& text);
    field(std::string_view field_key, std::int64_t number);
    field(std::string_view field_key, std::uint64_t number);
    field(std::string_view field_key, int number);
    field(std::string_view field_key, double number);
    field(std::string_view field_key, bool flag);

    std::string_view key;
    std::string value;
};

/// Prepares the log of this process on the standard error. `process` becomes a pair of every line.
/// A reader that does not keep up costs lines, never time: the next line then carries
/// `dropped_before=N`.
void init_event_log(std::string_view process);

/// Logs an event with a stable name. Per name at most `max_events_per_second` lines are written;
/// the next line after a suppression carries `suppressed=N`.
void log_event(severity level, std::string_view name, std::initializer_list<field> fields);

/// Formats an event as it is written, without time and level.
std::string format_event(std::string_view name, std::initializer_list<field> fields);

inline constexpr std::uint64_t max_events_per_second = 50;

} // namespace snipeshore::telemetry
