/// @file Inputs and outcome of admitting a request under load.
#pragma once

#include "base/time.h"

namespace snipeshore::affinity {

struct admission_inputs {
    base::duration wait{0};         ///< Predicted, at the chosen target.
    base::duration service_time{0}; ///< Predicted, without the wait.
    base::duration objective{0};    ///< Latency objective of the route; 0: none.
    base::duration time_left{0};    ///< Until the request's time limit.
    double urgency = 1;             ///< 0 to 1; 1 is the most urgent kind of request.
};

struct admission {
    bool admitted = false;
    base::duration retry_after{0}; ///< When the target will have room again.
};

} // namespace snipeshore::affinity
