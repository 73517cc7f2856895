#include "apps/ctl/command_context.h"
#include "apps/ctl/commands.h"
#include "apps/ctl/tests/platform_thread.h"
#include "config/key_hash.h"
#include "http/exchange.h"
#include "http/server.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>

using namespace snipeshore;
using namespace snipeshore::apps;
using nlohmann::json;

namespace {

const std::string secret = "the fleet secret of this test";

std::string source_path(const std::string& path)
{
    return std::string(SNIPESHORE_SOURCE_DIR) + "/" + path;
}

json read_source(const std::string& path)
{
    std::ifstream file(source_path(path));
    return json::parse(file);
}

struct run_result {
    exit_code code;
    std::string out;
    std::string err;

    json value() const
    {
        return json::parse(out);
    }
};

run_result run(const ctl_options& options, const std::vector<std::string>& arguments,
               const std::string& input = "")
{
    std::istringstream in(input);
    std::ostringstream out;
    std::ostringstream err;
    const exit_code code = run_command({options, arguments, in, out, err});
    // No command may print the secret.
    CHECK(out.str().find(secret) == std::string::npos);
    CHECK(err.str().find(secret) == std::string::npos);
    return {code, out.str(), err.str()};
}

/// Writes a file with this content to the build folder and returns its path.
std::string file_with(const std::string& name, const json& content)
{
    const std::string path = std::string(SNIPESHORE_BINARY_DIR) + "/" + name;
    std::ofstream(path) << content.dump();
    return path;
}

ctl_options options_for(const platform_thread& platform)
{
    ctl_options options;
    options.platform = platform.address();
    options.secret = secret;
    options.json = true;
    options.call_deadline = std::chrono::seconds(20);
    return options;
}

} // namespace

// Guards against an exit code that makes scripts accept an invalid document.
TEST_CASE("commands without the store")
{
    ctl_options options;
    const std::string jasmin = source_path("config/jasmin.json");

    SUBCASE(
        "validate accepts the deployed configurations and reports all problems of an invalid file")
    {
        CHECK(run(options, {"validate", jasmin}).code == exit_code::success);
        CHECK(run(options, {"validate", source_path("config/guadalupe.json")}).code ==
              exit_code::success);
        json faulty = read_source("config/jasmin.json");
        faulty["accounts"][0]["services"][0] = "x";
        faulty["sites"][0]["nearest"] = "x";
        const std::string path = file_with("ctl_faulty.json", faulty);
        const run_result text = run(options, {"validate", path});
        CHECK(text.code == exit_code::invalid);
        CHECK(text.err.find("/sites/0/nearest") != std::string::npos);
        options.json = true;
        const run_result result = run(options, {"validate", path});
        CHECK(result.code == exit_code::invalid);
        CHECK(result.value()["problems"].size() == 2);
        CHECK(result.value()["problems"][0]["pointer"] == "/sites/0/nearest");
    }
    SUBCASE("diff distinguishes equal and different files")
    {
        CHECK(run(options, {"diff", jasmin, jasmin}).code == exit_code::success);
        json changed = read_source("config/jasmin.json");
        changed["accounts"][0]["burst"] = 5;
        const run_result result =
            run(options, {"diff", jasmin, file_with("ctl_changed.json", changed)});
        CHECK(result.code == exit_code::differs);
        CHECK(result.out == "~ /accounts/festival-nord/burst: 1800.0 -> 5.0\n");
    }
    SUBCASE("each command has help")
    {
        for (const command& entry : all_commands()) {
            const run_result result = run(options, {std::string(entry.name), "--help"});
            CHECK(result.code == exit_code::success);
            CHECK(result.out.find(std::string(entry.usage)) != std::string::npos);
            CHECK(result.out.find("Exit codes") != std::string::npos);
        }
        CHECK(run(options, {"--help"}).out.find("undrain") != std::string::npos);
        CHECK(run(options, {}).code == exit_code::usage);
    }
    SUBCASE("wrong arguments are usage errors")
    {
        for (const std::vector<std::string>& arguments :
             std::vector<std::vector<std::string>>{{"unknown"},
                                                   {"validate"},
                                                   {"diff", "a"},
                                                   {"publish"},
                                                   {"show", "x"},
                                                   {"keys"},
                                                   {"keys", "grant"},
                                                   {"drain", "rack", "x"},
                                                   {"undrain", "host"},
                                                   {"status", "x"},
                                                   {"validate", "/no/such/file"},
                                                   {"publish", jasmin},
                                                   {"keys", "list"},
                                                   {"dump"}}) {
            CAPTURE(arguments.front());
            CHECK(run(options, arguments).code == exit_code::usage);
        }
    }
}

// Guards against changes by operators that are lost or applied twice, and against leaked secrets.
TEST_CASE("commands on the published documents")
{
    platform_thread platform;
    const ctl_options options = options_for(platform);
    REQUIRE(run(options, {"show"}).code == exit_code::not_found);
    const run_result published = run(options, {"publish", source_path("config/jasmin.json")});
    REQUIRE(published.code == exit_code::success);
    REQUIRE(published.value()["version"] == 1);

    SUBCASE("the published configuration is shown, and publishing it again writes nothing")
    {
        const run_result shown = run(options, {"show", "config"});
        CHECK(shown.code == exit_code::success);
        CHECK(shown.value()["content"]["deployment"] == "jasmin");
        const run_result again = run(options, {"publish", source_path("config/jasmin.json")});
        CHECK(again.code == exit_code::success);
        CHECK(again.value()["outcome"] == "already_in_force");
        CHECK(again.value()["version"] == 1);
    }
    SUBCASE("a publication based on an older version is a conflict")
    {
        json changed = read_source("config/jasmin.json");
        changed["accounts"][0]["burst"] = 5;
        REQUIRE(run(options, {"publish", file_with("ctl_second.json", changed)}).code ==
                exit_code::success);
        ctl_options based = options;
        based.base_version = 1;
        const run_result result = run(based, {"publish", source_path("config/jasmin.json")});
        CHECK(result.code == exit_code::conflict);
        REQUIRE(result.value()["other_changes"].size() == 1);
        CHECK(result.value()["other_changes"][0]["path"] == "/accounts/festival-nord/burst");
    }
    SUBCASE("an invalid configuration is not published")
    {
        json faulty = read_source("config/jasmin.json");
        faulty["hosts"] = json::array();
        CHECK(run(options, {"publish", file_with("ctl_empty.json", faulty)}).code ==
              exit_code::invalid);
        CHECK(run(options, {"show"}).value()["version"] == 1);
    }
    SUBCASE("a granted key is listed by its hash and withdrawn by the key itself")
    {
        platform.with_server([](auto& server) { server.faults().lose_replies = 2; });
        const run_result granted = run(options, {"keys", "grant", "craft-markets"});
        REQUIRE(granted.code == exit_code::success);
        const std::string key = granted.value()["key"];
        const std::string hash = granted.value()["hash"];
        CHECK(hash == config::hash_key(secret, key));
        const run_result listed = run(options, {"keys", "list"});
        REQUIRE(listed.value()["keys"].size() == 1);
        CHECK(listed.value()["keys"][0]["hash"] == hash);
        CHECK(listed.value()["keys"][0]["granted_at_version"] == 1);
        CHECK(listed.out.find(key) == std::string::npos);
        platform.with_server([&](auto& server) {
            for (const auto& [name, content] : server.state().objects) {
                CHECK(content.find(key) == std::string::npos);
            }
        });
        CHECK(run(options, {"keys", "withdraw", "-"}, key + "\n").code == exit_code::success);
        CHECK(run(options, {"keys", "list"}).value()["keys"].empty());
        CHECK(run(options, {"keys", "withdraw", hash}).code == exit_code::not_found);
        const run_result mistaken = run(options, {"keys", "withdraw", key});
        CHECK(mistaken.code == exit_code::usage);
        CHECK(mistaken.out.find(key) == std::string::npos);
    }
    SUBCASE("granting a key requires an account in the configuration and a valid secret")
    {
        CHECK(run(options, {"keys", "grant", "nobody"}).code == exit_code::not_found);
        ctl_options open = options;
        open.secret = "short";
        CHECK(run(open, {"keys", "grant", "craft-markets"}).code == exit_code::usage);
    }
    SUBCASE("no key is lost when operators grant keys concurrently")
    {
        constexpr int operators = 4;
        constexpr int grants = 3;
        std::vector<std::thread> threads;
        for (int index = 0; index < operators; ++index) {
            threads.emplace_back([&options] {
                for (int round = 0; round < grants; ++round) {
                    std::istringstream in;
                    std::ostringstream out;
                    std::ostringstream err;
                    const std::vector<std::string> arguments{"keys", "grant", "craft-markets"};
                    // A conflict is a valid outcome under contention; the operator repeats the
                    // command.
                    while (run_command({options, arguments, in, out, err}) == exit_code::conflict) {
                    }
                }
            });
        }
        for (std::thread& thread : threads) {
            thread.join();
        }
        CHECK(run(options, {"keys", "list"}).value()["keys"].size() == operators * grants);
    }
    SUBCASE("an edit after a restoration of the store is based on what the agents write again")
    {
        const run_result kept = run(options, {"keys", "grant", "craft-markets"});
        platform.with_server([](auto& server) { server.take_snapshot(); });
        const run_result lost = run(options, {"keys", "grant", "craft-markets"});
        REQUIRE(lost.code == exit_code::success);
        platform.with_server([](auto& server) {
            const standins::platform_state before = server.state();
            server.restore_snapshot();
            server.faults().after_row_read = [&server, before] {
                server.state().rows["documents/keys"] = before.rows.at("documents/keys");
                server.state().objects = before.objects;
            };
        });
        CHECK(run(options, {"keys", "withdraw", lost.value()["hash"]}).code == exit_code::success);
        const run_result listed = run(options, {"keys", "list"});
        REQUIRE(listed.value()["keys"].size() == 1);
        CHECK(listed.value()["keys"][0]["hash"] == kept.value()["hash"]);
    }
    SUBCASE("an edit after a restoration that lost nothing takes effect")
    {
        const run_result kept = run(options, {"keys", "grant", "craft-markets"});
        platform.with_server([](auto& server) {
            server.take_snapshot();
            server.restore_snapshot();
        });
        CHECK(run(options, {"keys", "withdraw", kept.value()["hash"]}).code == exit_code::success);
        CHECK(run(options, {"keys", "list"}).value()["keys"].empty());
    }
    SUBCASE("drains are started and ended")
    {
        CHECK(run(options, {"drain", "target", "order-desk-01"}).code == exit_code::success);
        const run_result again = run(options, {"drain", "target", "order-desk-01"});
        CHECK(again.value()["outcome"] == "already_in_force");
        CHECK(run(options, {"drain", "failure_domain", "sfax-a"}).code == exit_code::success);
        CHECK(run(options, {"drain", "host", "order-desk-01"}).code == exit_code::not_found);
        const run_result shown = run(options, {"show", "drains"});
        REQUIRE(shown.value()["content"]["drains"].size() == 2);
        CHECK(shown.value()["content"]["drains"][1]["since_version"] == 2);
        CHECK(run(options, {"undrain", "target", "order-desk-01"}).code == exit_code::success);
        CHECK(run(options, {"undrain", "target", "order-desk-01"}).code == exit_code::not_found);
    }
    SUBCASE("an outage of the store is reported as unavailable")
    {
        ctl_options short_timeout = options;
        short_timeout.retry_timeout = std::chrono::milliseconds(20);
        platform.with_server([](auto& server) { server.faults().down = true; });
        CHECK(run(short_timeout, {"publish", source_path("config/guadalupe.json")}).code ==
              exit_code::unavailable);
        CHECK(run(short_timeout, {"keys", "list"}).code == exit_code::unavailable);
        CHECK(run(short_timeout, {"drain", "host", "sfax-a-1"}).code == exit_code::unavailable);
    }
}

// Guards against a status that omits a program that does not respond.
TEST_CASE("status and dump read the admin addresses")
{
    http::loop loop;
    http::server server(loop, [](const std::shared_ptr<http::exchange>& from) {
        CHECK(from->head().path == "/-/dump");
        from->respond({}, R"({"program":"snipeshore-agent","host":"h1",
                             "versions":{"config":7,"keys":2,"drains":1}})");
    });
    http::server_settings settings;
    settings.address = "127.0.0.1:0";
    REQUIRE(base::is_ok(server.listen(settings)));
    std::thread thread([&] { loop.run(); });

    ctl_options options;
    options.admin_addresses = {server.bound_address()};
    const run_result text = run(options, {"status"});
    CHECK(text.code == exit_code::success);
    CHECK(text.out.find("snipeshore-agent") != std::string::npos);
    options.json = true;
    const run_result status = run(options, {"status"});
    CHECK(status.value()["programs"][0]["config"] == 7);
    // Port 1 of a loopback address: nothing listens there.
    options.admin_addresses.emplace_back("127.9.9.9:1");
    const run_result dump = run(options, {"dump"});
    CHECK(dump.code == exit_code::unreachable);
    CHECK(dump.value()[options.admin_addresses[0]]["versions"]["keys"] == 2);
    CHECK(dump.value()["127.9.9.9:1"].contains("failure"));

    loop.stop();
    thread.join();
}
