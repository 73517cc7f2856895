/// @file `make run`: starts a small fleet of each deployment with stand-ins, sends real requests
/// and prints who answered and how long it took.

#include "tests/support/fleet.h"

#include <chrono>
#include <cstdio>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace snipeshore;
using namespace snipeshore::test;
using namespace std::chrono_literals;
using nlohmann::json;

struct asked {
    std::string what;
    std::string service;
    std::string method;
    std::string path;
    bool once = false;
};

struct deployment {
    std::string document;
    std::vector<std::string> failure_domains;
    std::vector<asked> requests;
};

void print_row(const std::string& what, const std::string& host, const std::string& outcome,
               double took_ms, std::size_t bytes)
{
    std::printf("  %-34s %-22s %-22s %9.2f ms %10zu bytes\n", what.c_str(), host.c_str(),
                outcome.c_str(), took_ms, bytes);
    std::fflush(stdout);
}

std::string outcome_of(const http_response& reply)
{
    if (!base::is_ok(reply.outcome)) {
        return "broken off";
    }
    const std::string kind = reply.header("snipeshore-error");
    const std::string replayed = reply.header("snipeshore-replayed").empty() ? "" : " replayed";
    return std::to_string(reply.status) + (kind.empty() ? replayed : " " + kind);
}

template <typename Call>
http_response timed(const std::string& what, const std::string& host, const Call& call)
{
    const base::time_point begun = base::boot_clock::now();
    const http_response reply = call();
    const std::chrono::duration<double, std::milli> took = base::boot_clock::now() - begun;
    print_row(what, host, outcome_of(reply), took.count(), reply.body.size());
    return reply;
}

bool is_served(const http_response& reply)
{
    return base::is_ok(reply.outcome) && reply.status == 200;
}

http_request make_request(const asked& wanted, const std::string& key, const std::string& ticket)
{
    http_request request;
    request.method = wanted.method;
    request.path = wanted.path;
    request.headers = {{"authorization", "Bearer " + key}};
    if (!ticket.empty()) {
        request.headers.push_back({"snipeshore-ticket", ticket});
    }
    if (wanted.method == "POST") {
        request.body = R"({"demo":true})";
    }
    return request;
}

/// Look-up, request, and for a request that runs once its repeat.
bool ask(fleet& fleet, const std::string& key, const asked& wanted)
{
    const std::string any_host = fleet.host_ids().back();
    const http_response found = timed("look-up for " + wanted.service, any_host, [&] {
        return fleet.lookup(any_host, wanted.service, key, wanted.once);
    });
    if (!is_served(found)) {
        return false;
    }
    const json answer = json::parse(found.body);
    const std::string host = answer.at("host");
    const http_request request = make_request(wanted, key, answer.value("ticket", ""));
    const auto send = [&] {
        return fleet.send(host, wanted.service, request);
    };
    bool is_fine = is_served(timed(wanted.what, host, send));
    if (wanted.once) {
        is_fine = is_served(timed(wanted.what + ", sent again", host, send)) && is_fine;
    }
    return is_fine;
}

bool await_traffic(fleet& fleet, const std::string& key, const asked& wanted)
{
    const http_request request = make_request(wanted, key, "");
    for (const std::string& host : fleet.host_ids()) {
        const bool works = fleet.session().run_until(
            [&] { return fleet.send(host, wanted.service, request).status == 200; },
            base::boot_clock::now() + 30s);
        if (!works) {
            return false;
        }
    }
    return true;
}

bool run(const deployment& wanted)
{
    fleet_settings settings;
    settings.document = wanted.document;
    settings.failure_domains = wanted.failure_domains;
    settings.hosts_per_domain = 1;
    fleet fleet(std::move(settings));
    if (!fleet.await_ready(60s)) {
        std::cerr << "error: the fleet is not ready\n" << fleet.all_logs();
        return false;
    }
    const std::string account = fleet.document()["accounts"][0]["id"];
    const std::string key = fleet.grant_key(account);
    if (!await_traffic(fleet, key, wanted.requests.front())) {
        std::cerr << "error: no request gets through\n" << fleet.all_logs();
        return false;
    }
    std::printf("%s: %zu hosts in %zu failure domains, client account %s\n",
                fleet.document()["deployment"].get<std::string>().c_str(), fleet.host_ids().size(),
                wanted.failure_domains.size(), account.c_str());
    std::printf("  %-34s %-22s %-22s %12s %16s\n", "asked", "host", "answer", "took", "size");
    bool is_fine = true;
    for (const asked& request : wanted.requests) {
        is_fine = ask(fleet, key, request) && is_fine;
    }
    const std::string host = fleet.host_ids().front();
    const http_response refused = timed("request without a key", host, [&] {
        return fleet.send(host, wanted.requests.front().service,
                          {.path = wanted.requests.front().path});
    });
    std::printf("\n");
    return is_fine && refused.status == 401;
}

} // namespace

int main()
{
    const std::vector<deployment> deployments{
        {"config/jasmin.json",
         {"tunis-a", "sfax-a", "sousse-a"},
         {{"stock check", "order-desk", "GET", "/stock/1", false},
          {"print run", "order-desk", "POST", "/print-runs", true},
          {"deposit", "order-desk", "POST", "/deposits", true},
          {"artwork pack", "template-shelf", "GET", "/packs/bytes?n=8388608", false}}},
        {"config/guadalupe.json",
         {"antioquia-norte-a", "valle-aburra-a", "magdalena-medio-a"},
         {{"rack status", "rastrillo-control", "GET", "/status/racks/1", false},
          {"rake cycle", "rastrillo-control", "POST", "/rake-cycles", true},
          {"inspection footage", "video-rejillas", "GET", "/footage/bytes?n=8388608", false}}}};
    bool is_fine = true;
    try {
        for (const deployment& wanted : deployments) {
            is_fine = run(wanted) && is_fine;
        }
    } catch (const std::exception& failure) {
        std::cerr << "error: " << failure.what() << '\n';
        return 1;
    }
    std::printf(is_fine ? "all requests were answered as expected\n"
                        : "some requests were not answered as expected\n");
    return is_fine ? 0 : 1;
}
