/// @file A small fleet of real processes on loopback addresses, with stand-ins for the platform and
/// for targets.
#pragma once

#include "tests/support/http_session.h"
#include "tests/support/process.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace snipeshore::test {

struct fleet_settings {
    std::string document = "config/jasmin.json"; ///< Path in the source tree.
    std::vector<std::string> failure_domains;    ///< The others are removed from the document.
    std::size_t hosts_per_domain = 2;
    std::size_t targets_per_domain = 2; ///< For each service.
    std::vector<std::string> target_flags;
    std::vector<std::string> entry_flags;
    std::vector<std::string> agent_flags;
    /// Changes the document before it is published.
    std::function<void(nlohmann::json&)> edit;
};

/// Processes of one host.
struct host_processes {
    std::string id;
    std::string failure_domain;
    nlohmann::json document_entry; ///< Entry of the host in the configuration document.
    std::unique_ptr<process> agent;
    std::unique_ptr<process> entry_program;
    std::unique_ptr<process> lookup;
};

/// Starts all processes and publishes the document. The destructor ends all processes.
class fleet {
public:
    explicit fleet(fleet_settings settings);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    fleet(fleet&&) = delete;
    fleet& operator=(fleet&&) = delete;

    /// Waits until every entry has a configuration, lists all hosts as members and uses its full
    /// share, and every lookup knows all services and has weights of entry hosts. False at the
    /// timeout.
    bool await_ready(std::chrono::milliseconds timeout);

    /// Runs snipeshorectl with the platform and secret flags added.
    command_result ctl(const std::vector<std::string>& arguments) const;

    /// Publishes the document in its current state.
    command_result publish();

    /// Grants a key to an account, waits until every entry and lookup has it, and returns it.
    std::string grant_key(const std::string& account);

    command_result withdraw_key(const std::string& key) const;

    host_processes& host(const std::string& id);
    std::vector<std::string> host_ids() const;
    process& platform();
    process& target(const std::string& id);

    void start_entry(host_processes& host);
    void start_lookup(host_processes& host);
    void start_agent(host_processes& host);
    void start_target(const std::string& id);

    /// State dump of a program by its admin address; null if it does not respond.
    nlohmann::json dump(const std::string& admin_address);
    nlohmann::json entry_dump(const std::string& host_id);
    nlohmann::json agent_dump(const std::string& host_id);

    /// Sets faults of the platform stand-in; see `standins::fault_switches` for the fields.
    void set_platform_faults(const nlohmann::json& change);

    http_response lookup(const std::string& host_id, const std::string& service,
                         const std::string& key, bool once = false);

    /// Sends a request for a service to an entry host, with the service's host name as authority.
    http_response send(const std::string& host_id, const std::string& service,
                       http_request request);

    std::string service_host_name(const std::string& service) const;
    std::string address_of(const std::string& host_id, const std::string& field) const;
    nlohmann::json target_runs(const std::string& id);

    /// Number of executions, summed over all targets that respond.
    std::size_t total_runs();

    nlohmann::json& document();
    http_session& session();
    const std::string& folder() const;
    const std::string& platform_address() const;

    /// Text of all files in the folder, for error reports and for checks of what must not be
    /// logged.
    std::string all_logs() const;

private:
    void reserve_addresses();
    void write_document();
    std::string seed_agents() const;
    void await_keys(std::uint64_t version);
    void list_host(const nlohmann::json& entry);
    std::string log_file(const std::string& name) const;

    fleet_settings m_settings;
    std::string m_folder;
    int m_reservation = -1; ///< Socket that reserves the loopback network.
    std::string m_prefix;   ///< "127.N."
    std::string m_platform_address;
    nlohmann::json m_document;
    http_session m_session;
    std::unique_ptr<process> m_platform;
    std::vector<host_processes> m_hosts;
    std::map<std::string, std::unique_ptr<process>> m_targets;
    std::map<std::string, std::string> m_target_addresses;
};

/// Path of a built program.
std::string program(const std::string& name);
/// Path of a file of the source tree.
std::string source_path(const std::string& path);

inline const std::string test_secret = "test-fleet-secret-0123456789abcdef";

} // namespace snipeshore::test
