// Tests the bound that outage reports of the members set on how long an ended holder may have been
// out of contact.
#include "samphirebridge/ledger/outagebook.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace samphirebridge::ledger;

namespace
{

constexpr uint64_t LeaderClock = 9;

struct Age {
    uint64_t index = 0;
    uint64_t ms = 0;
};

// Returns the report of one of five voters, as of 50,000 ms on the leader's clock.
proto::ReportOutage
reportOf(const std::string &instance, uint64_t lastIndex, std::initializer_list<Age> ages)
{
    proto::ReportOutage report;
    report.set_instance(instance);
    report.set_voters(5);
    report.set_last_index(lastIndex);
    report.mutable_as_of()->set_clock(LeaderClock);
    report.mutable_as_of()->set_at_ms(50'000);
    for (const Age &age : ages) {
        proto::EntryAge *entry = report.add_entries();
        entry->set_index(age.index);
        entry->set_age_ms(age.ms);
    }
    return report;
}

// Returns reports of three of the five voters; "c" stored entry 100 later than the others.
OutageBook majority()
{
    OutageBook book;
    book.addReport(reportOf("a", 110, {{90, 2'500}, {100, 2'000}}));
    book.addReport(reportOf("b", 105, {{95, 2'400}, {100, 2'000}}));
    book.addReport(reportOf("c", 100, {{80, 3'000}, {100, 1'500}}));
    return book;
}

std::optional<uint64_t> longestMs(const OutageBook &book, uint64_t index, uint64_t untilMs)
{
    return book.longestElapsedSince(index, {LeaderClock, untilMs});
}

} // namespace

// Guards against a bound that is too short because a member stored the entry only after the holder
// had received its result.
TEST_CASE("the longest time that a majority reports bounds how long a holder was out of contact")
{
    const auto ms = longestMs(majority(), 100, 50'000);
    REQUIRE(ms);
    CHECK(*ms >= 2'000);
    CHECK(*ms <= 2'030);
}

// Guards against a bound by members that all stored the entry only after the holder had received
// its result: without a majority, none of them need have acknowledged it before.
TEST_CASE("reports of fewer than a majority of the voters give no bound")
{
    OutageBook book;
    book.addReport(reportOf("a", 110, {{100, 2'000}}));
    book.addReport(reportOf("b", 110, {{100, 2'000}}));
    CHECK_FALSE(longestMs(book, 100, 50'000));
    // A second report of the same instance does not count as a third one.
    book.addReport(reportOf("b", 110, {{100, 2'000}}));
    CHECK_FALSE(longestMs(book, 100, 50'000));
}

TEST_CASE("a member whose log ends before the entry does not count for the majority")
{
    CHECK_FALSE(longestMs(majority(), 101, 50'000));
}

TEST_CASE("an entry between two reported ones is taken to be as old as the earlier one")
{
    OutageBook book = majority();
    book.addReport(reportOf("c", 130, {{98, 2'900}, {120, 1'500}}));
    const auto ms = longestMs(book, 100, 50'000);
    REQUIRE(ms);
    CHECK(*ms >= 2'900);
}

TEST_CASE("an entry before all reported ones has no bound")
{
    CHECK_FALSE(longestMs(majority(), 85, 50'000));
}

TEST_CASE("the time between a report and the holder's end is taken from the leader's clock")
{
    CHECK(longestMs(majority(), 100, 50'300) >= 2'300);
    const auto earlier = longestMs(majority(), 100, 49'400);
    REQUIRE(earlier);
    CHECK(*earlier >= 1'400);
    CHECK(*earlier <= 1'450);
    CHECK_FALSE(majority().longestElapsedSince(100, {LeaderClock + 1, 50'000}));
    CHECK_FALSE(majority().longestElapsedSince(100, {}));
}
