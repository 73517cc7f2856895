#include "retries/liveness.h"

namespace snipeshore::retries {

liveness liveness_after(const base::status& outcome)
{
    if (base::is_ok(outcome)) {
        return liveness::running;
    }
    return base::error_of(outcome).kind == base::error_kind::connect_failed ? liveness::ended
                                                                            : liveness::unknown;
}

} // namespace snipeshore::retries
