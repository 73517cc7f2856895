/// @file A Cap'n Proto connection to one peer.
#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <cstddef>

namespace snipeshore::inner {

/// Limits on the data that one peer can make this process hold.
struct connection_limits {
    std::size_t max_message_bytes = 0;

    capnp::ReaderOptions reader_options() const
    {
        capnp::ReaderOptions options;
        options.traversalLimitInWords = max_message_bytes / sizeof(capnp::word);
        return options;
    }
};

struct connection {
    using system = capnp::RpcSystem<capnp::rpc::twoparty::VatId>;

    connection(kj::Own<kj::AsyncIoStream> opened, const connection_limits& limits)
        : stream(kj::mv(opened)),
          network(*stream, capnp::rpc::twoparty::Side::CLIENT, limits.reader_options()),
          rpc(capnp::makeRpcClient(network))
    {}

    connection(kj::Own<kj::AsyncIoStream> accepted, const connection_limits& limits,
               capnp::Capability::Client bootstrap)
        : stream(kj::mv(accepted)),
          network(*stream, capnp::rpc::twoparty::Side::SERVER, limits.reader_options()),
          rpc(capnp::makeRpcServer(network, kj::mv(bootstrap)))
    {
        rpc.setFlowLimit(limits.max_message_bytes / sizeof(capnp::word));
    }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    system rpc;
};

/// Closes a connection whose peer acknowledges or reads no data for this long, so that data queued
/// for the peer does not accumulate.
inline constexpr unsigned tcp_user_timeout_ms = 10000;

inline void set_socket_options(kj::AsyncIoStream& stream)
{
    const unsigned timeout = tcp_user_timeout_ms;
    stream.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
    const int on = 1;
    stream.setsockopt(SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
}

} // namespace snipeshore::inner
