#include "schedule.h"

#include <catch2/catch.hpp>

#include <string>

using namespace samphirebridge::consensus::tests;

namespace
{

constexpr unsigned Steps = 300;
constexpr uint64_t Seeds = 100;

// What many schedules came to.
struct Verdict {
    std::string violation; // The first one, with its seed; empty if all is well.
    uint64_t applied = 0;
    uint64_t reads = 0;
};

// Runs one schedule per seed, half of them with three voters and half with five.
Verdict runSeeds(ScheduleSettings settings)
{
    Verdict verdict;
    for (uint64_t seed = 1; seed <= Seeds && verdict.violation.empty(); ++seed) {
        settings.seed = seed;
        settings.voters = 3 + 2 * (seed % 2);
        Schedule schedule(settings);
        schedule.run(Steps);
        verdict.applied += schedule.invariants.highestApplied();
        verdict.reads += schedule.invariants.confirmedReads();
        const bool settled = schedule.settle();
        if (!schedule.invariants.violation().empty()) {
            verdict.violation
                = "seed " + std::to_string(seed) + ": " + schedule.invariants.violation();
        } else if (!settled) {
            verdict.violation
                = "seed " + std::to_string(seed) + ": no agreement after the faults ended";
        }
    }
    return verdict;
}

} // namespace

TEST_CASE("no mixture of faults breaks an invariant, and every group agrees afterwards")
{
    const Verdict verdict = runSeeds({});
    INFO(verdict.violation);
    CHECK(verdict.violation.empty());
    CHECK(verdict.applied > 20 * Seeds);
    CHECK(verdict.reads > Seeds);
}

TEST_CASE("no sequence of crashes and refused syncs loses or changes what was committed")
{
    ScheduleSettings settings;
    settings.stops = 10;
    settings.restarts = 500;
    settings.syncRefusals = 80;
    settings.transfers = 20;
    settings.partitions = 4;
    const Verdict verdict = runSeeds(settings);
    INFO(verdict.violation);
    CHECK(verdict.violation.empty());
    CHECK(verdict.applied > 20 * Seeds);
}

TEST_CASE("no partition, one-way or not, lets two leaders commit or confirm a stale read")
{
    ScheduleSettings settings;
    settings.partitions = 40;
    settings.reads = 500;
    settings.stops = 2;
    const Verdict verdict = runSeeds(settings);
    INFO(verdict.violation);
    CHECK(verdict.violation.empty());
    CHECK(verdict.reads > 5 * Seeds);
}

TEST_CASE("no loss, delay, repeat or change of order of messages breaks an invariant")
{
    ScheduleSettings settings;
    settings.network.dropped = 150;
    settings.network.duplicated = 200;
    settings.network.delayed = 400;
    settings.stops = 2;
    const Verdict verdict = runSeeds(settings);
    INFO(verdict.violation);
    CHECK(verdict.violation.empty());
    CHECK(verdict.applied > 20 * Seeds);
}

TEST_CASE("members come and go and disks are lost without a loss of what was committed")
{
    ScheduleSettings settings;
    settings.memberChanges = 60;
    settings.lostDisks = 10;
    settings.transfers = 10;
    const Verdict verdict = runSeeds(settings);
    INFO(verdict.violation);
    CHECK(verdict.violation.empty());
    CHECK(verdict.applied > 20 * Seeds);
}
