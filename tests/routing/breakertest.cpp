#include "samphirebridge/routing/breaker.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace std::chrono_literals;
using routing::Breaker;
using routing::BreakerState;

namespace
{

const routing::BreakerOptions Options;
const core::TimePoint Start;

Breaker openBreaker()
{
    Breaker breaker;
    breaker.onFailure(Options, 0, Start);
    breaker.onFailure(Options, 0, Start);
    return breaker;
}

} // namespace

TEST_CASE("a breaker opens after consecutive failures and not after a single one")
{
    Breaker breaker;
    breaker.onFailure(Options, 0, Start);
    CHECK(breaker.state(Start) == BreakerState::Closed);
    breaker.onSuccess();
    breaker.onFailure(Options, 0, Start);
    CHECK(breaker.state(Start) == BreakerState::Closed);
    breaker.onFailure(Options, 0, Start);
    CHECK(breaker.state(Start) == BreakerState::Open);
    CHECK_FALSE(breaker.admits(Options, Start));
}

TEST_CASE("a half-open breaker lets a single probe through")
{
    Breaker breaker = openBreaker();
    const core::TimePoint later = Start + 2s;
    CHECK(breaker.state(later) == BreakerState::HalfOpen);
    CHECK(breaker.admits(Options, later));
    breaker.onSent(later);
    CHECK_FALSE(breaker.admits(Options, later));
    breaker.onInconclusive();
    CHECK(breaker.admits(Options, later));
    breaker.onSent(later);
    CHECK(breaker.admits(Options, later + Options.probeTimeout + 1s));
    breaker.onSuccess();
    CHECK(breaker.state(later) == BreakerState::Closed);
}

TEST_CASE("pauses double up to a maximum, with a jitter of at most half their nominal length")
{
    for (const uint64_t random : {uint64_t{0}, uint64_t{123'456'789'012'345}, ~uint64_t{0}}) {
        Breaker breaker = openBreaker();
        core::TimePoint now = breaker.nextProbeAt();
        core::Duration nominal = Options.firstPause;
        for (int probe = 0; probe < 40; ++probe) {
            nominal = std::min(nominal * 2, Options.longestPause);
            breaker.onSent(now);
            breaker.onFailure(Options, random, now);
            const core::Duration pause = breaker.nextProbeAt() - now;
            CHECK(pause >= nominal / 2);
            CHECK(pause <= nominal);
            now = breaker.nextProbeAt();
        }
    }
}

TEST_CASE("failures of attempts sent before a breaker opened do not lengthen its pause")
{
    Breaker breaker = openBreaker();
    const core::TimePoint probe = breaker.nextProbeAt();
    for (int attempt = 0; attempt < 16; ++attempt) {
        breaker.onFailure(Options, 0, Start);
    }
    CHECK(breaker.nextProbeAt() == probe);
}
