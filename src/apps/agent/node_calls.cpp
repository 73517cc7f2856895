#include "apps/agent/node_calls.h"

#include <utility>

namespace snipeshore::apps {

void node_calls::exchange(const std::string& address, inner::exchange_request request,
                          base::time_point deadline,
                          inner::reply_callback<inner::exchange_reply> done)
{
    m_node.exchange(address, std::move(request), deadline, std::move(done));
}

void node_calls::push(const std::string& address, inner::push_request request,
                      base::time_point deadline, inner::reply_callback<inner::empty_reply> done)
{
    m_node.push(address, std::move(request), deadline, std::move(done));
}

void node_calls::probe(const std::string& address, inner::host_record sender,
                       base::time_point deadline, inner::reply_callback<inner::host_record> done)
{
    m_node.probe(address, std::move(sender), deadline, std::move(done));
}

} // namespace snipeshore::apps
