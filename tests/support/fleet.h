/// @file A small fleet of real processes on loopback addresses, with stand-ins of the platform and
/// of targets.
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
    std::string document = "config/jasmin.json"; ///< Below the source tree.
    std::vector<std::string> failure_domains;    ///< Kept ones.
    std::size_t hosts_per_domain = 2;
    std::size_t targets_per_domain = 2; ///< Of each service.
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

/// Starts everything, publishes the document and grants keys. Ends all processes at destruction.
class fleet {
public:
    explicit fleet(fleet_settings settings);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    fleet(fleet&&) = delete;
    fleet& operator=(fleet&&) = delete;

    /// Waits until every host names entry hosts and every entry has the wanted versions.
    bool await_ready(std::chrono::milliseconds timeout);

    /// Runs snipeshorectl with the platform and secret flags added.
    command_result ctl(const std::vector<std::string>& arguments) const;

    /// Publishes the document in its present form.
    command_result publish();

    /// Grants a key to an account and returns it when every entry and lookup knows it.
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

    /// State dump of a program by its admin address; null if it does not answer.
    nlohmann::json dump(const std::string& admin_address);
    nlohmann::json entry_dump(const std::string& host_id);
    nlohmann::json agent_dump(const std::string& host_id);

    /// Sends a JSON switch to the platform's stand-in.
    void set_platform_faults(const nlohmann::json& change);

    http_response lookup(const std::string& host_id, const std::string& service,
                         const std::string& key, bool once = false);

    /// Sends to an entry host with the service's host name.
    http_response send(const std::string& host_id, const std::string& service,
                       http_request request);

    std::string service_host_name(const std::string& service) const;
    std::string address_of(const std::string& host_id, const std::string& field) const;
    nlohmann::json target_runs(const std::string& id);

    /// Sum of executions over all targets that answer.
    std::size_t total_runs();

    nlohmann::json& document();
    http_session& session();
    const std::string& folder() const;
    const std::string& platform_address() const;

    /// Text of all logs, to look for what must not be there.
    std::string all_logs() const;

private:
    void lock_addresses();
    void write_document();
    std::string seed_agents() const;
    void await_keys(std::uint64_t version);
    void list_host(const nlohmann::json& entry);
    std::string log_file(const std::string& name) const;

    fleet_settings m_settings;
    std::string m_folder;
    int m_lock = -1;
    std::string m_prefix; ///< "127.N."
    std::string m_platform_address;
    nlohmann::json m_document;
    http_session m_session;
    std::unique_ptr<process> m_platform;
    std::vector<host_processes> m_hosts;
    std::map<std::string, std::unique_ptr<process>> m_targets;
    std::map<std::string, std::string> m_target_addresses;
};

/// Folder of the built programs and root of the source tree.
std::string program(const std::string& name);
std::string source_path(const std::string& path);

inline const std::string test_secret = "test-fleet-secret-0123456789abcdef";

} // namespace snipeshore::test
