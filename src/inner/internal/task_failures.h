/// @file What happens to tasks of the event loop that fail.
#pragma once

#include <kj/async.h>

namespace snipeshore::inner {

/// Ignores failures: each call and each accepted connection handles its own, what remains are
/// failures of connections that were dropped.
class task_failures final : public kj::TaskSet::ErrorHandler {
public:
    task_failures() = default;
    virtual ~task_failures() = default;
    task_failures(const task_failures&) = delete;
    task_failures& operator=(const task_failures&) = delete;
    task_failures(task_failures&&) = delete;
    task_failures& operator=(task_failures&&) = delete;

    void taskFailed(kj::Exception&& /*exception*/) override {}
};

} // namespace snipeshore::inner
