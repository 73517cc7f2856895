#include "fleet/exchange_encoding.h"

#include "base/json_reader.h"
#include "fleet/bulletin.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cmath>
#include <limits>
#include <utility>

namespace snipeshore::fleet {

namespace {

using json = nlohmann::json;

/// Amounts are encoded as integers in hundredths, which keeps the messages short.
constexpr double amount_steps = 100;

/// Identifier of the library's exceptions for errors that are not its own.
constexpr int error_id = 501;

/// In the year 10889; differences of such times do not overflow.
constexpr std::uint64_t max_unix_ms = 1ULL << 48U;

/// A week, far above the lifetime of any notice.
constexpr std::uint64_t max_notice_age_ms = 7ULL * 24 * 3600 * 1000;

json member_json(const member& host)
{
    return json::array({host.id.value(), host.failure_domain.value(), host.entry_address,
                        host.control_address, host.incarnation.value(),
                        static_cast<int>(host.state), host.reads_store, host.reaches_targets});
}

std::uint64_t read_number(const json& from)
{
    return base::read_count(from, std::numeric_limits<std::uint64_t>::max());
}

std::map<std::string, std::uint64_t> read_numbers(const json& from)
{
    std::map<std::string, std::uint64_t> numbers;
    for (const auto& [name, number] : from.get_ref<const json::object_t&>()) {
        numbers[name] = read_number(number);
    }
    return numbers;
}

member read_member(const json& from)
{
    member host;
    host.id = base::host_id(from.at(0).get<std::string>());
    if (host.id.value().empty()) {
        throw json::other_error::create(error_id, "host without an id", nullptr);
    }
    host.failure_domain = base::failure_domain_id(from.at(1).get<std::string>());
    host.entry_address = from.at(2).get<std::string>();
    host.control_address = from.at(3).get<std::string>();
    host.incarnation = base::incarnation(read_number(from.at(4)));
    const std::uint64_t state = read_number(from.at(5));
    host.state = state == 1   ? member_state::ready
                 : state == 2 ? member_state::leaving
                              : member_state::starting;
    host.reads_store = from.size() <= 6 || from.at(6).get<bool>();
    host.takes_relayed = from.size() > 7;
    host.reaches_targets = !host.takes_relayed || from.at(7).get<bool>();
    return host;
}

template <typename Id>
json amounts_json(const std::map<Id, double>& amounts)
{
    json made = json::object();
    for (const auto& [id, amount] : amounts) {
        made[id.value()] = std::floor(amount * amount_steps);
    }
    return made;
}

template <typename Id>
std::map<Id, double> read_amounts(const json& from)
{
    std::map<Id, double> amounts;
    for (const auto& [id, amount] : from.items()) {
        amounts[Id(id)] = std::max(0.0, amount.template get<double>() / amount_steps);
    }
    return amounts;
}

json crashes_json(const std::vector<crash_report>& crashes)
{
    json made = json::array();
    for (const crash_report& one : crashes) {
        made.push_back(json::array({one.crash, one.target.value(), one.fingerprints}));
    }
    return made;
}

std::vector<crash_report> read_crashes(const json& from)
{
    std::vector<crash_report> crashes;
    for (const json& one : from) {
        crash_report& crash = crashes.emplace_back();
        crash.crash = read_number(one.at(0));
        crash.target = base::target_id(one.at(1).get<std::string>());
        for (const json& fingerprint : one.at(2).get_ref<const json::array_t&>()) {
            crash.fingerprints.push_back(read_number(fingerprint));
        }
    }
    return crashes;
}

json notices_json(const std::vector<told_notice>& notices)
{
    json made = json::array();
    for (const told_notice& one : notices) {
        made.push_back(
            json::array({static_cast<int>(one.kind), one.subject, one.value, one.age.count()}));
    }
    return made;
}

std::vector<told_notice> read_notices(const json& from)
{
    std::vector<told_notice> notices;
    for (const json& one : from.get_ref<const json::array_t&>()) {
        const std::uint64_t kind = read_number(one.at(0));
        auto subject = one.at(1).get<std::string>();
        const double value = one.at(2).get<double>();
        const std::uint64_t age_ms = base::read_count(one.at(3), max_notice_age_ms);
        // A later version may know more kinds.
        if (kind < notice_kinds && !subject.empty() && subject.size() <= max_subject_bytes) {
            notices.push_back({static_cast<notice_kind>(kind), std::move(subject), value,
                               std::chrono::milliseconds(age_ms)});
        }
    }
    return notices;
}

/// Parses the text and calls `read` with the result; converts exceptions of the JSON library into
/// an error.
template <typename Reader>
auto parse_with(std::string_view text, const Reader& read)
    -> base::result<decltype(read(std::declval<const json&>()))>
{
    try {
        return read(base::parse_json(text));
    } catch (const json::exception& failure) {
        return base::error{base::error_kind::document_invalid, failure.what()};
    }
}

bool is_utf8(const std::string& text)
{
    try {
        static_cast<void>(json(text).dump());
        return true;
    } catch (const json::exception&) {
        return false;
    }
}

json rows_json(const std::vector<rows::row>& changes, bool checks_values)
{
    json made = json::array();
    for (const rows::row& change : changes) {
        const bool is_sent = !checks_values || is_utf8(change.value);
        made.push_back(json::array(
            {change.key, change.version, change.removed, is_sent ? change.value : std::string()}));
    }
    return made;
}

} // namespace

std::string encode(const exchange_message& message)
{
    json made{{"m", member_json(message.from)}, {"v", message.versions}};
    if (!message.eras.empty()) {
        made["e"] = message.eras;
    }
    if (!message.wanted.empty()) {
        made["w"] = amounts_json(message.wanted);
    }
    if (!message.granted.empty()) {
        made["g"] = amounts_json(message.granted);
    }
    if (!message.crashes.empty()) {
        made["c"] = crashes_json(message.crashes);
    }
    if (!message.notices.empty()) {
        made["n"] = notices_json(message.notices);
    }
    if (!message.loads.empty()) {
        made["l"] = amounts_json(message.loads);
    }
    return made.dump();
}

base::result<exchange_message> parse_exchange(std::string_view text)
{
    return parse_with(text, [](const json& from) {
        exchange_message message;
        message.from = read_member(from.at("m"));
        message.versions = read_numbers(from.at("v"));
        message.eras = read_numbers(from.value("e", json::object()));
        message.wanted = read_amounts<base::account_id>(from.value("w", json::object()));
        message.granted = read_amounts<base::account_id>(from.value("g", json::object()));
        message.crashes = read_crashes(from.value("c", json::array()));
        message.notices = read_notices(from.value("n", json::array()));
        message.loads = read_amounts<base::service_id>(from.value("l", json::object()));
        return message;
    });
}

std::string encode(const member& host)
{
    return member_json(host).dump();
}

base::result<member> parse_member(std::string_view text)
{
    return parse_with(text, [](const json& from) { return read_member(from); });
}

std::string encode(const stored_notices& stored)
{
    return json{{"at", stored.written_at.count()}, {"n", notices_json(stored.notices)}}.dump();
}

base::result<stored_notices> parse_stored_notices(std::string_view text)
{
    return parse_with(text, [](const json& from) {
        return stored_notices{
            std::chrono::milliseconds(base::read_count(from.at("at"), max_unix_ms)),
            read_notices(from.at("n"))};
    });
}

std::string encode(const rows::replica_update& update)
{
    json made{
        {"v", update.version}, {"full", update.is_full}, {"rows", rows_json(update.rows, false)}};
    if (update.era > 0) {
        made["e"] = update.era;
    }
    try {
        return made.dump();
    } catch (const json::exception&) {
        // Only then each value is checked.
        made["rows"] = rows_json(update.rows, true);
        return made.dump(-1, ' ', false, json::error_handler_t::replace);
    }
}

base::result<rows::replica_update> parse_update(std::string_view text)
{
    return parse_with(text, [](const json& from) {
        rows::replica_update update;
        update.version = read_number(from.at("v"));
        update.is_full = from.at("full").get<bool>();
        update.era = from.contains("e") ? read_number(from.at("e")) : 0;
        for (const json& one : from.at("rows")) {
            update.rows.push_back({one.at(0).get<std::string>(), one.at(3).get<std::string>(),
                                   read_number(one.at(1)), one.at(2).get<bool>()});
        }
        return update;
    });
}

} // namespace snipeshore::fleet
