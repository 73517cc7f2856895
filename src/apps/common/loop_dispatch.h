/// @file Dispatches the callbacks of a program's RPC node to its event loop.
#pragma once

#include "http/loop.h"
#include "inner/node.h"

#include <functional>
#include <utility>

namespace snipeshore::apps {

/// Returns settings of a node that runs its replies and service calls on the loop's thread.
inline inner::node_settings with_loop_dispatch(inner::node_settings settings, http::loop& loop)
{
    settings.post = [&loop](std::function<void()> work) {
        loop.post(std::move(work));
    };
    return settings;
}

} // namespace snipeshore::apps
