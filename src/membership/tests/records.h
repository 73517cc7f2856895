/// @file Host records for tests.
#pragma once

#include "inner/types/messages.h"

#include <rapidcheck.h>

#include <string>

namespace snipeshore::membership {

inline inner::host_record make_record(const std::string& host, std::uint64_t incarnation,
                                      std::uint64_t counter,
                                      inner::host_status status = inner::host_status::live,
                                      const std::string& domain = "fd1")
{
    inner::host_record record;
    record.host = base::host_id(host);
    record.failure_domain = base::failure_domain_id(domain);
    record.incarnation = base::incarnation(incarnation);
    record.counter = counter;
    record.status = status;
    record.agent_address = host + ":1";
    return record;
}

/// Uses few different values, so that records conflict in every way.
inline inner::host_record any_record()
{
    auto record =
        make_record(std::string(1, *rc::gen::inRange('a', 'd')),
                    *rc::gen::inRange<std::uint64_t>(1, 4), *rc::gen::inRange<std::uint64_t>(0, 4),
                    static_cast<inner::host_status>(*rc::gen::inRange(0, 3)));
    record.ticket_epoch = *rc::gen::inRange<std::uint64_t>(0, 2);
    return record;
}

} // namespace snipeshore::membership
