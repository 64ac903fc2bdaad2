#include "schedule.h"

#include <catch2/catch.hpp>

#include <string>

using namespace samphirebridge::consensus::tests;

namespace
{

constexpr unsigned Steps = 300;
constexpr uint64_t Seeds = 100;

// The outcome of many schedules.
struct Outcome {
    std::string violation; // The first one, with its seed; empty if there was none.
    uint64_t appliedEntries = 0;
    uint64_t confirmedReads = 0;
};

// Runs one schedule per seed up to the first violation, half of them with three voters and half
// with five.
Outcome runSeeds(ScheduleSettings settings)
{
    Outcome outcome;
    for (uint64_t seed = 1; seed <= Seeds && outcome.violation.empty(); ++seed) {
        settings.seed = seed;
        settings.voters = 3 + 2 * (seed % 2);
        Schedule schedule(settings);
        schedule.run(Steps);
        outcome.appliedEntries += schedule.invariants.highestAppliedIndex();
        outcome.confirmedReads += schedule.invariants.confirmedReadCount();
        const bool hasConverged = schedule.converge();
        if (!schedule.invariants.violation().empty()) {
            outcome.violation
                = "seed " + std::to_string(seed) + ": " + schedule.invariants.violation();
        } else if (!hasConverged) {
            outcome.violation
                = "seed " + std::to_string(seed) + ": no agreement after the faults ended";
        }
    }
    return outcome;
}

} // namespace

TEST_CASE("no combination of faults violates an invariant, and every group agrees afterwards")
{
    const Outcome outcome = runSeeds({});
    INFO(outcome.violation);
    CHECK(outcome.violation.empty());
    CHECK(outcome.appliedEntries > 20 * Seeds);
    CHECK(outcome.confirmedReads > Seeds);
}

TEST_CASE("no sequence of crashes and refused syncs loses or changes what was committed")
{
    ScheduleSettings settings;
    settings.stops = 10;
    settings.restarts = 500;
    settings.syncRefusals = 80;
    settings.transfers = 20;
    settings.partitions = 4;
    const Outcome outcome = runSeeds(settings);
    INFO(outcome.violation);
    CHECK(outcome.violation.empty());
    CHECK(outcome.appliedEntries > 20 * Seeds);
}

TEST_CASE(
    "no network partition, one-way or not, lets two leaders commit or a stale read be confirmed")
{
    ScheduleSettings settings;
    settings.partitions = 40;
    settings.reads = 500;
    settings.stops = 2;
    const Outcome outcome = runSeeds(settings);
    INFO(outcome.violation);
    CHECK(outcome.violation.empty());
    CHECK(outcome.confirmedReads > 5 * Seeds);
}

TEST_CASE("no dropped, delayed, duplicated or reordered messages violate an invariant")
{
    ScheduleSettings settings;
    settings.network.dropped = 150;
    settings.network.duplicated = 200;
    settings.network.delayed = 400;
    settings.stops = 2;
    const Outcome outcome = runSeeds(settings);
    INFO(outcome.violation);
    CHECK(outcome.violation.empty());
    CHECK(outcome.appliedEntries > 20 * Seeds);
}

TEST_CASE("changes of members and lost disks lose nothing that was committed")
{
    ScheduleSettings settings;
    settings.memberChanges = 60;
    settings.lostDisks = 10;
    settings.transfers = 10;
    const Outcome outcome = runSeeds(settings);
    INFO(outcome.violation);
    CHECK(outcome.violation.empty());
    CHECK(outcome.appliedEntries > 20 * Seeds);
}

TEST_CASE("full disks end no member and lose nothing that was acknowledged")
{
    ScheduleSettings settings;
    settings.fullDisks = 100;
    settings.stops = 10;
    settings.restarts = 200;
    settings.syncRefusals = 10;
    settings.memberChanges = 10;
    settings.lostDisks = 0;
    settings.transfers = 10;
    const Outcome outcome = runSeeds(settings);
    INFO(outcome.violation);
    CHECK(outcome.violation.empty());
    CHECK(outcome.appliedEntries > 20 * Seeds);
    CHECK(outcome.confirmedReads > Seeds);
}
