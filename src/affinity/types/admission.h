/// @file Inputs and result of admission control.
#pragma once

#include "base/time.h"

namespace snipeshore::affinity {

struct admission_inputs {
    base::duration wait{0};         ///< Predicted wait at the chosen target.
    base::duration service_time{0}; ///< Predicted service time without the wait.
    base::duration typical_time{0}; ///< Average service time of the service's requests.
    base::duration objective{0};    ///< Latency objective of the route; 0: none.
    base::duration time_left{0};    ///< Time until the deadline of the request.
    double urgency = 1;             ///< 0 to 1; 1 is the most urgent.
};

struct admission {
    bool admitted = false;
    base::duration retry_after{0}; ///< Predicted time until the target has room.
};

} // namespace snipeshore::affinity
