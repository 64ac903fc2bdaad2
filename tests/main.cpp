// The entry point that every Catch2 program of the project shares.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
