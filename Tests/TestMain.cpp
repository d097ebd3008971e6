// Catch2's main takes long to compile, so it is compiled once for all test programs.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
