#include "inner/internal/errors.h"
#include "inner/internal/wire.h"

#include "base/error_response.h"

#include <capnp/message.h>
#include <doctest/doctest.h>

using namespace snipeshore;
using namespace snipeshore::inner;

// Guards against a refusal that reaches a caller as another kind, which would change its "not run".
TEST_CASE("every error kind survives the wire")
{
    for (std::uint8_t index = 0; index < base::error_kind_count; ++index) {
        const auto kind = static_cast<base::error_kind>(index);
        const auto sent = to_exception({kind, "at: a:b"});
        const kj::Exception received(sent.getType(), __FILE__, __LINE__,
                                     kj::str("remote exception: ", sent.getDescription()));
        const auto back = to_error(received);
        CHECK(back.kind == kind);
        CHECK(back.detail == "at: a:b");
    }
}

// Guards against a newer release's status or verdict being taken for one that permits work.
TEST_CASE("values of a newer schema are read as the safe ones")
{
    capnp::MallocMessageBuilder message;
    auto record = message.initRoot<rpc::HostRecord>();
    record.setStatus(static_cast<rpc::HostStatus>(9));
    CHECK(wire::read(record.asReader()).status == host_status::leaving);
    auto reply = message.initRoot<rpc::Entry::ClaimResults>();
    reply.setVerdict(static_cast<rpc::Entry::ClaimVerdict>(9));
    CHECK(wire::read(reply.asReader()).verdict == claim_verdict::unknown);
}
