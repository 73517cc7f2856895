/// @file Event log: one line of key=value pairs per event.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace snipeshore::telemetry {

enum class severity { info, warning, error };

/// One key=value pair of an event. Values are quoted and escaped when needed, so that a caller
/// cannot forge log lines.
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

/// Sets up the event log of this process on standard error. Every line contains the pair
/// `process=<process>`. Logging never blocks: while the reader does not keep up, lines are dropped,
/// and the next line written contains `dropped_before=N`.
void init_event_log(std::string_view process);

/// Logs an event under a stable name. Each thread writes at most `max_events_per_second` lines per
/// event name; the first line after suppressed events contains `suppressed=N`.
void log_event(severity level, std::string_view name, std::initializer_list<field> fields);

/// Formats an event as it is logged, but without the time, level and process.
std::string format_event(std::string_view name, std::initializer_list<field> fields);

inline constexpr std::uint64_t max_events_per_second = 50;

} // namespace snipeshore::telemetry
