/// @file Includes the headers of h2o, some of which declare C functions without `extern "C"`.
#pragma once

extern "C" {
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http2.h>

// The HTTP parser in libh2o: the library exports it, but the Debian package has no header for it.
struct phr_header {
    const char* name;
    size_t name_len;
    const char* value;
    size_t value_len;
};

int phr_parse_request(const char* buffer, size_t length, const char** method, size_t* method_length,
                      const char** path, size_t* path_length, int* minor_version,
                      struct phr_header* headers, size_t* header_count, size_t last_length);

int phr_parse_response(const char* buffer, size_t length, int* minor_version, int* status,
                       const char** message, size_t* message_length, struct phr_header* headers,
                       size_t* header_count, size_t last_length);
}
