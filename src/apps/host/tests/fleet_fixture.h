/// @file Test fixture: several hosts on one loop and one store, each with its own links to the
/// targets.
#pragma once

#include "apps/host/tests/host_fixture.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipeshore::apps::tests {

/// One host's link to one target. Requests that pass it are answered as by a healthy target.
class target_link {
public:
    explicit target_link(http::loop& loop);
    ~target_link();
    target_link(const target_link&) = delete;
    target_link& operator=(const target_link&) = delete;
    target_link(target_link&&) = delete;
    target_link& operator=(target_link&&) = delete;

    /// Serves requests.
    void restore();
    /// Closes open connections and refuses new ones.
    void refuse();
    /// Leaves open connections without answers, and new ones without an end of their handshake.
    void hang();

    /// Keeps requests until `answer_held`.
    void hold();
    void answer_held();
    /// Requests that are kept and whose sender is still connected.
    std::size_t held_from_callers() const;

    const std::string& address() const;

    /// Requests that reached the target through this link, by their ids.
    std::map<std::string, int> runs;
    http::header extra_header{"x-extra", ""}; ///< Added to all responses.
    http::request_head last_head;
    std::string last_body;

private:
    void answer(const std::shared_ptr<http::exchange>& request);
    void close_blocker();

    http::loop& m_loop;
    std::string m_address;
    bool m_is_silent = false;
    bool m_is_holding = false;
    std::unique_ptr<http::server> m_server;
    std::vector<std::shared_ptr<http::exchange>> m_unanswered;
    std::vector<int> m_blocker; ///< A listener whose queue is full, and the connections in it.
};

/// Hosts "h1", "h2" and so on in failure domains "z1", "z2" and so on of one region, which all see
/// the same targets, each through its own links.
class fleet_fixture {
public:
    /// With `domains` set, the hosts are in turn in that many failure domains.
    fleet_fixture(std::size_t hosts, std::size_t targets, std::size_t domains = 0);
    ~fleet_fixture();
    fleet_fixture(const fleet_fixture&) = delete;
    fleet_fixture& operator=(const fleet_fixture&) = delete;
    fleet_fixture(fleet_fixture&&) = delete;
    fleet_fixture& operator=(fleet_fixture&&) = delete;

    const host_settings& settings(std::size_t host) const;
    host_app& app(std::size_t host);
    target_link& link(std::size_t host, std::size_t target);
    const std::vector<std::unique_ptr<target_link>>& links(std::size_t host) const;

    /// Sends one request on a kept connection of its own and waits for the response.
    reply send(std::size_t host, const std::string& path, const std::string& method = "GET",
               const std::string& body = "", const http::header_list& headers = {});

    /// Starts a request without waiting for its response.
    std::unique_ptr<http::client_call> begin(std::size_t host, const std::string& path,
                                             const std::string& id, std::optional<reply>& into);

    /// Sends this number of requests one after the other; returns how many were served.
    int count_served(std::size_t host, int requests);

    /// Whether a look-up at host `asked` for callers of the domain of `host` names `host`.
    bool names(std::size_t asked, std::size_t host);

    /// Requests with this id that targets have run, through all links.
    int runs_of(const std::string& id) const;

    /// Requests that passed the links of a host.
    int runs_through(std::size_t host) const;

    bool run_until(const std::function<bool()>& condition);
    void run_for(std::chrono::milliseconds time);

    /// While cut, the store answers none of the host's calls, not even those that wait already.
    void cut_from_store(std::size_t host, bool is_cut);

    /// Calls of the host to the store.
    int store_calls(std::size_t host) const;

    http::loop loop;
    memory_store store{loop};

private:
    struct host;

    std::unique_ptr<http::client_call> start(http::client_request request,
                                             std::optional<reply>& into);

    http::client m_client;
    std::vector<std::unique_ptr<host>> m_hosts;
    int m_last_id = 0;
};

} // namespace snipeshore::apps::tests
