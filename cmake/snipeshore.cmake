# Helpers that give every module, test and bench the same options.
find_package(PkgConfig REQUIRED)
find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(CapnProto REQUIRED)
find_package(prometheus-cpp REQUIRED)
find_package(spdlog REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(ZLIB REQUIRED)
find_package(rapidcheck REQUIRED)
pkg_check_modules(H2O REQUIRED IMPORTED_TARGET libh2o-evloop)
pkg_check_modules(SODIUM REQUIRED IMPORTED_TARGET libsodium)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(GFLAGS REQUIRED IMPORTED_TARGET gflags)

add_library(snipeshore_options INTERFACE)
target_include_directories(snipeshore_options INTERFACE ${CMAKE_SOURCE_DIR}/src)
target_compile_options(snipeshore_options INTERFACE -Wall -Wextra -Werror -Wno-missing-field-initializers)
target_compile_definitions(snipeshore_options INTERFACE H2O_USE_LIBUV=0)
target_link_libraries(snipeshore_options INTERFACE Threads::Threads)

# snipeshore_add_module(NAME SOURCES ... DEPENDS ...): static library snipeshore_NAME.
function(snipeshore_add_module name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(snipeshore_${name} STATIC ${ARG_SOURCES})
  target_link_libraries(snipeshore_${name} PUBLIC snipeshore_options ${ARG_DEPENDS})
endfunction()

# snipeshore_add_program(NAME SOURCES ... DEPENDS ...): a binary of the product or a stand-in.
function(snipeshore_add_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE snipeshore_options ${ARG_DEPENDS})
endfunction()

# Compiled once: the linter repeats a file for each compile command. The implementation of doctest is
# generated, as it has no code of the project to check.
file(CONFIGURE OUTPUT ${CMAKE_BINARY_DIR}/doctest_implementation.cpp
  CONTENT "#define DOCTEST_CONFIG_IMPLEMENT\n#include <doctest/doctest.h>\n")
add_library(snipeshore_test_main STATIC EXCLUDE_FROM_ALL
  ${CMAKE_SOURCE_DIR}/tests/support/doctest_main.cpp ${CMAKE_BINARY_DIR}/doctest_implementation.cpp)
target_link_libraries(snipeshore_test_main PRIVATE snipeshore_options)

# snipeshore_add_test(NAME SOURCES ... DEPENDS ... [ARGUMENTS ...]): a doctest program registered with CTest.
# Property tests use a fixed seed; RC_PARAMS in the environment selects another one.
function(snipeshore_add_test name)
  cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;DEPENDS;ARGUMENTS" ${ARGN})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 120)
  endif()
  add_executable(${name} ${ARG_SOURCES})
  if(NOT SNIPESHORE_TESTS)
    set_target_properties(${name} PROPERTIES EXCLUDE_FROM_ALL ON)
  endif()
  target_link_libraries(${name} PRIVATE snipeshore_options snipeshore_test_main rapidcheck ${ARG_DEPENDS})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR})
  add_test(NAME ${name} COMMAND ${name} ${ARG_ARGUMENTS})
  set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
endfunction()

# snipeshore_add_bench(NAME SOURCES ... DEPENDS ...): a program run by `make bench`.
function(snipeshore_add_bench name)
  snipeshore_add_program(bench_${name} ${ARGN})
  target_include_directories(bench_${name} PRIVATE ${CMAKE_SOURCE_DIR})
endfunction()
