/// @file RPC calls to other agents through `inner::node`.
#pragma once

#include "apps/agent/peer_calls.h"

namespace snipeshore::apps {

class node_calls final : public peer_calls {
public:
    explicit node_calls(inner::node& node) : m_node(node) {}

    void exchange(const std::string& address, inner::exchange_request request,
                  base::time_point deadline,
                  inner::reply_callback<inner::exchange_reply> done) override;
    void push(const std::string& address, inner::push_request request, base::time_point deadline,
              inner::reply_callback<inner::empty_reply> done) override;
    void probe(const std::string& address, inner::host_record sender, base::time_point deadline,
               inner::reply_callback<inner::host_record> done) override;

private:
    inner::node& m_node;
};

} // namespace snipeshore::apps
