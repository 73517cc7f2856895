/// @file The headers of h2o, which declare C functions without `extern "C"` in places.
#pragma once

extern "C" {
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http2.h>
}
