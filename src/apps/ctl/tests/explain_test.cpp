#include "apps/ctl/command_context.h"
#include "apps/ctl/commands.h"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

using namespace snipeshore::apps;

namespace {

std::string write_log(const std::string& name, const std::string& text)
{
    const std::string path = std::string(SNIPESHORE_BINARY_DIR) + "/" + name;
    std::ofstream(path) << text;
    return path;
}

} // namespace

TEST_CASE("explain prints the log lines about a request from the logs of several hosts")
{
    const std::string one = write_log(
        "one.log",
        "time=2 level=info event=attempt_failed request_id=r1 target=t1 cause=\"no response\"\n"
        "time=4 level=info event=request_done request_id=r1 status=504\n"
        "time=1 level=info event=request_done request_id=other status=200\n");
    const std::string two =
        write_log("two.log", "time=3 level=info event=target_ejected target=t1\n"
                             "time=3 level=info event=target_ejected target=t2\n");
    const ctl_options options;
    std::istringstream in;
    std::ostringstream out;
    std::ostringstream err;
    const auto run = [&](const std::vector<std::string>& arguments) {
        return run_command({options, arguments, in, out, err});
    };
    SUBCASE("sorted by time, with the events of its targets")
    {
        CHECK(run({"explain", "r1", one, two}) == exit_code::success);
        CHECK(out.str() ==
              "time=2 level=info event=attempt_failed request_id=r1 target=t1 cause=\"no "
              "response\"\n"
              "time=3 level=info event=target_ejected target=t1\n"
              "time=4 level=info event=request_done request_id=r1 status=504\n");
    }
    SUBCASE("an unknown id, an unreadable file or a missing argument is an error")
    {
        CHECK(run({"explain", "r9", one}) == exit_code::not_found);
        CHECK(run({"explain", "r1", "/nowhere.log"}) == exit_code::usage);
        CHECK(run({"explain"}) == exit_code::usage);
    }
}
