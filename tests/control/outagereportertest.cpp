// The outage reports of a member after its restart.
#include "samphirebridge/control/outagereporter.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using control::AppliedLog;
using control::OutageReporter;

namespace
{

constexpr uint64_t LastIndex = 300;

core::MachineTime timeOfDay(uint64_t ms)
{
    return {{}, ms};
}

// The log of a restarted member: one entry for each 10 ms, the last one stored at 1,003,000 ms.
consensus::RecoveredLog recoveredLog()
{
    consensus::RecoveredLog log;
    log.lastIndex = LastIndex;
    for (const char *voter : {"a/0", "b/0", "c/0"}) {
        log.configuration.add_voters(voter);
    }
    for (uint64_t index = 1; index <= LastIndex; ++index) {
        log.times.push_back({index, timeOfDay(1'000'000 + 10 * index)});
    }
    return log;
}

OutageReporter makeReporter(std::string_view member = "a/0")
{
    return {core::InstanceId("a"), member, recoveredLog()};
}

} // namespace

TEST_CASE("a restarted member reports once for each leader whose command it has applied")
{
    OutageReporter member = makeReporter();
    CHECK_FALSE(member.isDue({LastIndex, {7, 100}}));
    CHECK_FALSE(member.isDue({LastIndex + 1, {}}));
    const AppliedLog applied{LastIndex + 1, {7, 100}};
    REQUIRE(member.isDue(applied));
    const auto report = member.takeReport(applied, timeOfDay(1'004'500));
    REQUIRE(report);
    CHECK(report->voters() == 3);
    CHECK(report->last_index() == LastIndex);
    CHECK(report->as_of().at_ms() == 100);
    CHECK_FALSE(member.isDue({LastIndex + 2, {7, 200}}));
    CHECK(member.isDue({LastIndex + 2, {8, 50}}));
}

TEST_CASE("a report is bounded, ordered by index, and exact near the end of the log")
{
    OutageReporter member = makeReporter();
    const auto report = member.takeReport({LastIndex + 1, {7, 100}}, timeOfDay(1'004'500));
    REQUIRE(report);
    CHECK(report->entries_size() <= 100);
    const proto::EntryAge &last = report->entries(report->entries_size() - 1);
    CHECK(last.index() == LastIndex);
    CHECK(last.age_ms() == 1'500);
    for (int position = 1; position < report->entries_size(); ++position) {
        CHECK(report->entries(position - 1).index() < report->entries(position).index());
        CHECK(report->entries(position - 1).age_ms() > report->entries(position).age_ms());
    }
    CHECK(report->entries(report->entries_size() - 2).age_ms() <= 1'530);
}

TEST_CASE("a member that is not a voter, or whose time of day was set back, reports nothing")
{
    CHECK_FALSE(makeReporter("a/77").isDue({LastIndex + 1, {7, 100}}));
    OutageReporter member = makeReporter();
    CHECK_FALSE(member.takeReport({LastIndex + 1, {7, 100}}, timeOfDay(1'002'000)));
}
