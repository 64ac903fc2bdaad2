// How long a confirmed declaration takes to reach every entry instance, in virtual time.
#include "tests/entry/spreadfleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <vector>

using namespace samphirebridge;
using namespace std::chrono_literals;
using entry::tests::SpreadFleet;
using entry::tests::Trouble;

namespace
{

// The time that the users' rules allow from an acknowledgement to force (ConfigApplyMs).
constexpr core::Duration Bound = 2s;

constexpr size_t ControlInstances = 5;

// Commits a version at intervals of `gap`, for the given time.
void commitEach(SpreadFleet &fleet, core::Duration gap, core::Duration time)
{
    const core::TimePoint end = fleet.now + time;
    while (fleet.now < end) {
        fleet.commit();
        fleet.run(gap);
    }
}

// Commits a version, or with evacuations in half of the cases an order for one of three data
// centres.
void commitAny(SpreadFleet &fleet, bool withEvacuations)
{
    constexpr const char *DataCentres[] = {"a", "b", "c"};
    if (withEvacuations && fleet.random() % 2 == 0) {
        const char *dataCentre = DataCentres[fleet.random() % std::size(DataCentres)];
        fleet.commitEvacuation(dataCentre, fleet.random() % 2 == 0);
        return;
    }
    fleet.commit();
}

// Commits versions at random intervals, of which short ones are the most frequent, while a minority
// of the control instances and some entry instances get into trouble and out of it at random times.
void playRandomDay(SpreadFleet &fleet,
                   size_t controlInstances,
                   size_t entryInstances,
                   bool withEvacuations = false)
{
    constexpr core::Duration Length = 15s;
    constexpr core::Duration ShortestGap = 50ms;
    constexpr uint64_t GapSteps = 4;
    constexpr Trouble Troubles[]
        = {Trouble::CutFromControl, Trouble::CutNear, Trouble::Frozen, Trouble::Full};
    std::vector<bool> isTroubled(controlInstances);
    std::vector<bool> isCutOff(entryInstances);
    const core::TimePoint end = fleet.now + Length;
    while (fleet.now < end) {
        commitAny(fleet, withEvacuations);
        const uint64_t longest = uint64_t{1} << fleet.random() % (GapSteps + 1);
        fleet.run(ShortestGap * (1 + fleet.random() % longest));
        if (fleet.random() % 16 == 0) {
            const size_t entry = fleet.random() % entryInstances;
            isCutOff[entry] = !isCutOff[entry];
            fleet.setCutOff(entry, isCutOff[entry]);
        }
        if (fleet.random() % 8 != 0) {
            continue;
        }
        const size_t control = fleet.random() % controlInstances;
        const auto troubled = static_cast<size_t>(std::ranges::count(isTroubled, true));
        if (isTroubled[control]) {
            fleet.setTrouble(control, Trouble::None);
            isTroubled[control] = false;
        } else if (2 * (troubled + 1) < controlInstances) {
            fleet.setTrouble(control, Troubles[fleet.random() % std::size(Troubles)]);
            isTroubled[control] = true;
        }
    }
    fleet.run(Bound);
}

} // namespace

// Guards against a substitute notifier that waits anew with each version: while one control
// instance is cut off from the others, changes in quick succession reach its share of the fleet
// only when they end.
TEST_CASE("changes in quick succession are in force in time while a control instance is cut off")
{
    for (const Trouble trouble :
         {Trouble::CutFromControl, Trouble::CutNear, Trouble::Frozen, Trouble::Full}) {
        for (const core::Duration gap : {100ms, 300ms, 500ms, 590ms, 900ms}) {
            for (size_t control = 0; control < ControlInstances; ++control) {
                SpreadFleet fleet(ControlInstances, 6, 54);
                fleet.setTrouble(control, trouble);
                commitEach(fleet, gap, 8s);
                fleet.run(Bound);
                CAPTURE(static_cast<int>(trouble), gap.count(), control);
                CHECK(fleet.longestWait() <= Bound);
            }
        }
    }
}

// Guards against an instance that learns of a version by notices only, which it gets once a control
// instance has heard its heartbeat: in a large fleet that may take longer than the change may.
TEST_CASE("an instance that was cut off has the newest version in time once it is back")
{
    constexpr size_t FleetSizes[] = {6, 82, 190};
    for (const size_t size : FleetSizes) {
        for (const core::Duration isolation : {5s, 40s}) {
            SpreadFleet fleet(ControlInstances, size, 54);
            for (size_t entry = 0; entry < size; entry += 5) {
                fleet.setCutOff(entry, true);
            }
            fleet.run(isolation - 100ms);
            fleet.commit();
            fleet.run(100ms);
            for (size_t entry = 0; entry < size; entry += 5) {
                fleet.setCutOff(entry, false);
            }
            fleet.run(12s);
            CAPTURE(size, isolation.count());
            CHECK(fleet.longestWait() <= Bound);
        }
    }
}

// Guards against departures and other news that reach an instance late: control instances bring
// them to those in contact, and in a large fleet heard of one that was back only when others
// relayed it.
TEST_CASE(
    "an instance that was cut off is in contact with every control instance soon after it is back")
{
    for (const size_t size : {6, 82, 190}) {
        SpreadFleet fleet(ControlInstances, size, 54);
        for (size_t entry = 0; entry < size; entry += 5) {
            fleet.setCutOff(entry, true);
        }
        fleet.run(60s);
        for (size_t entry = 0; entry < size; entry += 5) {
            fleet.setCutOff(entry, false);
        }
        fleet.run(1500ms);
        size_t inContact = 0;
        for (size_t entry = 0; entry < size; entry += 5) {
            inContact += fleet.isInContact(entry) ? 1 : 0;
        }
        CAPTURE(size);
        CHECK(inContact == (size + 4) / 5);
    }
}

// Guards against notices that are repeated although the instances have the version, and against
// questions that cost more than the heartbeats.
TEST_CASE(
    "a change costs at most one notice of each control instance, and a quiet fleet few questions")
{
    for (const size_t size : {6, 82, 190}) {
        SpreadFleet fleet(ControlInstances, size, 54);
        fleet.commit();
        fleet.run(10s);
        CAPTURE(size);
        CHECK(fleet.notices() <= ControlInstances * size);
        CHECK(fleet.questions() <= 2 * size * 10);
        CHECK(fleet.longestWait() <= Bound);
    }
}

// Guards against every wait on the way to force that another event begins anew, and against taking
// an instance in contact for one that is able to do the work, in fleets of any size.
TEST_CASE("at random intervals and under random losses every confirmed change is in force in time")
{
    constexpr uint64_t Seeds = 24;
    constexpr size_t ControlSizes[] = {3, 5, 5, 7};
    constexpr size_t EntrySizes[] = {6, 8, 30, 82, 8};
    for (uint64_t seed = 1; seed <= Seeds; ++seed) {
        const size_t controlInstances = ControlSizes[seed % std::size(ControlSizes)];
        const size_t entryInstances = EntrySizes[seed % std::size(EntrySizes)];
        SpreadFleet fleet(controlInstances, entryInstances, seed);
        playRandomDay(fleet, controlInstances, entryInstances);
        CAPTURE(seed, controlInstances, entryInstances);
        CHECK(fleet.longestWait() <= Bound);
    }
}

// Guards against an evacuation that is propagated later than a declaration, that a declaration
// after it undoes at an instance, or that leaves an instance with the content of another version.
TEST_CASE("evacuations between the versions are in force in time with the right content")
{
    constexpr uint64_t Seeds = 24;
    constexpr size_t ControlSizes[] = {3, 5, 5, 7};
    constexpr size_t EntrySizes[] = {6, 8, 30, 82, 8};
    for (uint64_t seed = 1; seed <= Seeds; ++seed) {
        const size_t controlInstances = ControlSizes[seed % std::size(ControlSizes)];
        const size_t entryInstances = EntrySizes[seed % std::size(EntrySizes)];
        SpreadFleet fleet(controlInstances, entryInstances, seed);
        playRandomDay(fleet, controlInstances, entryInstances, true);
        CAPTURE(seed, controlInstances, entryInstances);
        CHECK(fleet.longestWait() <= Bound);
        CHECK(fleet.wrongStates() == 0);
    }
}
