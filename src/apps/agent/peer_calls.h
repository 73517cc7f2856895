/// @file Interface for RPC calls to other agents.
#pragma once

#include "base/time.h"
#include "inner/node.h"
#include "inner/types/messages.h"

#include <string>

namespace snipeshore::apps {

/// Implemented by `node_calls` in the program and by a fake in tests. Each callback runs exactly
/// once, on the owner's thread.
class peer_calls {
public:
    peer_calls() = default;
    virtual ~peer_calls() = default;
    peer_calls(const peer_calls&) = delete;
    peer_calls& operator=(const peer_calls&) = delete;
    peer_calls(peer_calls&&) = delete;
    peer_calls& operator=(peer_calls&&) = delete;

    virtual void exchange(const std::string& address, inner::exchange_request request,
                          base::time_point deadline,
                          inner::reply_callback<inner::exchange_reply> done) = 0;
    virtual void push(const std::string& address, inner::push_request request,
                      base::time_point deadline,
                      inner::reply_callback<inner::empty_reply> done) = 0;
    virtual void probe(const std::string& address, inner::host_record sender,
                       base::time_point deadline,
                       inner::reply_callback<inner::host_record> done) = 0;
};

} // namespace snipeshore::apps
