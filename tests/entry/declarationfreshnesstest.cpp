#include "samphirebridge/entry/declarationfreshness.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace samphirebridge;
using namespace std::chrono_literals;
using entry::DeclarationFreshness;

namespace
{

const core::TimePoint Begin{1h};

} // namespace

TEST_CASE("a declaration may be old from five seconds after its last confirmation")
{
    DeclarationFreshness freshness;
    // Also on a machine that was booted just now.
    CHECK(freshness.mayBeOld(core::TimePoint(1s)));
    freshness.onInForce(7);
    CHECK(freshness.mayBeOld(Begin));
    freshness.onConfirmed(7, Begin);
    CHECK_FALSE(freshness.mayBeOld(Begin + 4'999ms));
    CHECK(freshness.mayBeOld(Begin + 5s));
    // The answer to an earlier question arrives late.
    freshness.onConfirmed(7, Begin - 1s);
    CHECK_FALSE(freshness.mayBeOld(Begin + 4'999ms));
    freshness.onConfirmed(7, Begin + 6s);
    CHECK_FALSE(freshness.mayBeOld(Begin + 10s));
}

// Guards against an instance that knows of a newer declaration, but can't get it, and goes on with
// the lists of the old one.
TEST_CASE("a confirmation of a newer version counts once that version is in force")
{
    DeclarationFreshness freshness;
    freshness.onInForce(7);
    freshness.onConfirmed(7, Begin);
    for (core::Duration after = 1s; after <= 8s; after += 1s) {
        freshness.onConfirmed(8, Begin + after);
        CHECK(freshness.mayBeOld(Begin + after) == (after >= 5s));
    }
    freshness.onInForce(8);
    CHECK_FALSE(freshness.mayBeOld(Begin + 12s));
    CHECK(freshness.mayBeOld(Begin + 13s));
}

TEST_CASE("a version in force that is older than the one confirmed last is not confirmed")
{
    DeclarationFreshness freshness;
    freshness.onConfirmed(9, Begin);
    freshness.onInForce(8);
    CHECK(freshness.mayBeOld(Begin));
    freshness.onConfirmed(8, Begin - 1s); // Was the newest one second before.
    CHECK_FALSE(freshness.mayBeOld(Begin));
    CHECK(freshness.mayBeOld(Begin + 4s));
    freshness.onInForce(10);
    CHECK_FALSE(freshness.mayBeOld(Begin + 4s));
}
