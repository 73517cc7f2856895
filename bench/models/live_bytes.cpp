#include "bench/models/live_bytes.h"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::size_t> allocated{0};

} // namespace

void* operator new(std::size_t size)
{
    void* memory = std::malloc(size);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    allocated += malloc_usable_size(memory);
    return memory;
}

void operator delete(void* memory) noexcept
{
    allocated -= malloc_usable_size(memory);
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept
{
    operator delete(memory);
}

namespace snipeshore::bench_models {

std::size_t live_bytes()
{
    return allocated;
}

} // namespace snipeshore::bench_models
