/// @file Joins the RPC thread of a program with its loop.
#pragma once

#include "http/loop.h"
#include "inner/node.h"

#include <functional>
#include <utility>

namespace snipeshore::apps {

/// Settings of a node whose replies and service calls run on the loop's thread.
inline inner::node_settings with_loop_dispatch(inner::node_settings settings, http::loop& loop)
{
    settings.post = [&loop](std::function<void()> work) {
        loop.post(std::move(work));
    };
    return settings;
}

} // namespace snipeshore::apps
