/// @file Runs a program's application object on its event loop until a signal stops it.
#pragma once

#include "apps/common/stop_signal.h"
#include "base/result.h"
#include "http/loop.h"
#include "settings/settings.h"
#include "telemetry/event_log.h"

#include <sodium.h>

#include <initializer_list>
#include <iostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace snipeshore::apps {

/// Prints the problems found in the settings. Returns whether there are any.
inline bool report_problems(std::initializer_list<std::vector<std::string>> lists)
{
    bool any = false;
    for (const std::vector<std::string>& problems : lists) {
        settings::print_problems(problems);
        any = any || !problems.empty();
    }
    return any;
}

/// Constructs `App` from its settings and runs it; returns the exit status of the program.
template <typename App, typename Settings>
int run_app(std::string_view name, Settings app_settings)
{
    if (sodium_init() < 0) {
        std::cerr << "error: libsodium cannot be initialised\n";
        return 1;
    }
    telemetry::init_event_log(name);
    http::loop loop;
    App* running = nullptr;
    const stop_signal signals(loop, [&running] {
        if (running != nullptr) {
            running->stop();
        }
    });
    App app(loop, std::move(app_settings));
    running = &app;
    const base::status started = app.start();
    if (!base::is_ok(started)) {
        std::cerr << "error: " << base::error_of(started).detail << '\n';
        return 1;
    }
    loop.run();
    return 0;
}

} // namespace snipeshore::apps
