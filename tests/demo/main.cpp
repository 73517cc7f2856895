/// @file Program of `make run`: starts a small fleet of each deployment with a stand-in platform
/// and stand-in targets, sends requests and prints the host, the outcome and the duration of each.

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

struct request_spec {
    std::string what;
    std::string service;
    std::string method;
    std::string path;
    bool is_non_idempotent = false;
};

struct deployment {
    std::string document;
    std::vector<std::string> failure_domains;
    std::vector<request_spec> requests;
};

void print_row(const std::string& what, const std::string& host, const std::string& outcome,
               double duration_ms, std::size_t bytes)
{
    std::printf("  %-34s %-22s %-22s %9.2f ms %10zu bytes\n", what.c_str(), host.c_str(),
                outcome.c_str(), duration_ms, bytes);
    std::fflush(stdout);
}

std::string outcome_of(const http_response& reply)
{
    if (!base::is_ok(reply.outcome)) {
        return "aborted";
    }
    const std::string kind = reply.header("snipeshore-error");
    const std::string replayed = reply.header("snipeshore-replayed").empty() ? "" : " replayed";
    return std::to_string(reply.status) + (kind.empty() ? replayed : " " + kind);
}

template <typename Call>
http_response send_timed(const std::string& what, const std::string& host, const Call& call)
{
    const base::time_point started = base::boot_clock::now();
    const http_response reply = call();
    const std::chrono::duration<double, std::milli> duration = base::boot_clock::now() - started;
    print_row(what, host, outcome_of(reply), duration.count(), reply.body.size());
    return reply;
}

bool is_served(const http_response& reply)
{
    return base::is_ok(reply.outcome) && reply.status == 200;
}

http_request make_request(const request_spec& spec, const std::string& key,
                          const std::string& ticket)
{
    http_request request;
    request.method = spec.method;
    request.path = spec.path;
    request.headers = {{"authorization", "Bearer " + key}};
    if (!ticket.empty()) {
        request.headers.push_back({"snipeshore-ticket", ticket});
    }
    if (spec.method == "POST") {
        request.body = R"({"demo":true})";
    }
    return request;
}

/// Sends a look-up and the request, and repeats a non-idempotent request with the same ticket.
bool send_with_lookup(fleet& fleet, const std::string& key, const request_spec& spec)
{
    const std::string any_host = fleet.host_ids().back();
    const http_response lookup_response = send_timed("look-up for " + spec.service, any_host, [&] {
        return fleet.lookup(any_host, spec.service, key, spec.is_non_idempotent);
    });
    if (!is_served(lookup_response)) {
        return false;
    }
    const json lookup_result = json::parse(lookup_response.body);
    const std::string host = lookup_result.at("host");
    const http_request request = make_request(spec, key, lookup_result.value("ticket", ""));
    const auto send = [&] {
        return fleet.send(host, spec.service, request);
    };
    bool is_successful = is_served(send_timed(spec.what, host, send));
    if (spec.is_non_idempotent) {
        is_successful =
            is_served(send_timed(spec.what + ", repeated", host, send)) && is_successful;
    }
    return is_successful;
}

bool await_traffic(fleet& fleet, const std::string& key, const request_spec& spec)
{
    const http_request request = make_request(spec, key, "");
    for (const std::string& host : fleet.host_ids()) {
        const bool works = fleet.session().run_until(
            [&] { return fleet.send(host, spec.service, request).status == 200; },
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
        std::cerr << "error: fleet was not ready within 60 s\n" << fleet.all_logs();
        return false;
    }
    const std::string account = fleet.document()["accounts"][0]["id"];
    const std::string key = fleet.grant_key(account);
    if (!await_traffic(fleet, key, wanted.requests.front())) {
        std::cerr << "error: a host did not serve requests within 30 s\n" << fleet.all_logs();
        return false;
    }
    std::printf("%s: %zu hosts in %zu failure domains, client account %s\n",
                fleet.document()["deployment"].get<std::string>().c_str(), fleet.host_ids().size(),
                wanted.failure_domains.size(), account.c_str());
    std::printf("  %-34s %-22s %-22s %12s %16s\n", "request", "host", "response", "time", "size");
    bool is_successful = true;
    for (const request_spec& request : wanted.requests) {
        is_successful = send_with_lookup(fleet, key, request) && is_successful;
    }
    const std::string host = fleet.host_ids().front();
    const http_response refused = send_timed("request without a key", host, [&] {
        return fleet.send(host, wanted.requests.front().service,
                          {.path = wanted.requests.front().path});
    });
    std::printf("\n");
    return is_successful && refused.status == 401;
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
    bool is_successful = true;
    try {
        for (const deployment& wanted : deployments) {
            is_successful = run(wanted) && is_successful;
        }
    } catch (const std::exception& failure) {
        std::cerr << "error: " << failure.what() << '\n';
        return 1;
    }
    std::printf(is_successful ? "all requests got the expected response\n"
                              : "some requests got an unexpected response\n");
    return is_successful ? 0 : 1;
}
