/// @file Handling of failed tasks of the event loop.
#pragma once

#include <kj/async.h>

namespace snipeshore::inner {

/// Ignores failures: calls and accepted connections handle their own failures, and the remaining
/// ones come from connections that were dropped.
class task_error_handler final : public kj::TaskSet::ErrorHandler {
public:
    task_error_handler() = default;
    virtual ~task_error_handler() = default;
    task_error_handler(const task_error_handler&) = delete;
    task_error_handler& operator=(const task_error_handler&) = delete;
    task_error_handler(task_error_handler&&) = delete;
    task_error_handler& operator=(task_error_handler&&) = delete;

    void taskFailed(kj::Exception&& /*exception*/) override {}
};

} // namespace snipeshore::inner
