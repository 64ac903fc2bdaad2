// What a member reports of an outage after its restart.
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

// Entries stored each 10 ms up to 1,003,000 ms, the last one with the highest index.
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

OutageReporter reporter(std::string_view member = "a/0")
{
    return {core::InstanceId("a"), member, recoveredLog()};
}

} // namespace

TEST_CASE("a member reports once for each leader, when it has applied a command since its restart")
{
    OutageReporter member = reporter();
    CHECK_FALSE(member.isDue({LastIndex, {7, 100}}));
    CHECK_FALSE(member.isDue({LastIndex + 1, {}}));
    const AppliedLog applied{LastIndex + 1, {7, 100}};
    REQUIRE(member.isDue(applied));
    const auto report = member.report(applied, timeOfDay(1'004'500));
    REQUIRE(report);
    CHECK(report->voters() == 3);
    CHECK(report->last_index() == LastIndex);
    CHECK(report->as_of().at_ms() == 100);
    CHECK_FALSE(member.isDue({LastIndex + 2, {7, 200}}));
    CHECK(member.isDue({LastIndex + 2, {8, 50}}));
}

TEST_CASE("a report is short, ordered, and exact near the end of the log")
{
    OutageReporter member = reporter();
    const auto report = member.report({LastIndex + 1, {7, 100}}, timeOfDay(1'004'500));
    REQUIRE(report);
    CHECK(report->entries_size() <= 100);
    const proto::EntryAge &last = report->entries(report->entries_size() - 1);
    CHECK(last.index() == LastIndex);
    CHECK(last.age_ms() == 1'500);
    for (int place = 1; place < report->entries_size(); ++place) {
        CHECK(report->entries(place - 1).index() < report->entries(place).index());
        CHECK(report->entries(place - 1).age_ms() > report->entries(place).age_ms());
    }
    CHECK(report->entries(report->entries_size() - 2).age_ms() <= 1'530);
}

TEST_CASE("a member without a vote, and one whose time of day went back, report nothing")
{
    CHECK_FALSE(reporter("a/77").isDue({LastIndex + 1, {7, 100}}));
    OutageReporter member = reporter();
    CHECK_FALSE(member.report({LastIndex + 1, {7, 100}}, timeOfDay(1'002'000)));
}
