// What reports of the members after an outage prove about holders that ended meanwhile.
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

// The report of one of five voters, as of 50,000 ms on the leader's clock.
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

// Three of five, of which one stored entry 100 later than the others.
OutageBook majority()
{
    OutageBook book;
    book.take(reportOf("a", 110, {{90, 2'500}, {100, 2'000}}));
    book.take(reportOf("b", 105, {{95, 2'400}, {100, 2'000}}));
    book.take(reportOf("c", 100, {{80, 3'000}, {100, 1'500}}));
    return book;
}

std::optional<uint64_t> since(const OutageBook &book, uint64_t index, uint64_t untilMs)
{
    return book.longestSince(index, {LeaderClock, untilMs});
}

} // namespace

// Guards against a bound by a member that stored the entry long after the holder was answered.
TEST_CASE("the longest of a majority's times bounds the silence of a holder")
{
    const auto ms = since(majority(), 100, 50'000);
    REQUIRE(ms);
    CHECK(*ms >= 2'000);
    CHECK(*ms <= 2'030);
}

// Guards against a bound by members of which none acknowledged the entry before it was answered.
TEST_CASE("fewer than a majority of the voters prove nothing")
{
    OutageBook book;
    book.take(reportOf("a", 110, {{100, 2'000}}));
    book.take(reportOf("b", 110, {{100, 2'000}}));
    CHECK_FALSE(since(book, 100, 50'000));
    // The same instance twice is no third.
    book.take(reportOf("b", 110, {{100, 2'000}}));
    CHECK_FALSE(since(book, 100, 50'000));
}

TEST_CASE("a member whose log ended before the entry tells nothing of it")
{
    CHECK_FALSE(since(majority(), 101, 50'000));
}

TEST_CASE("an entry between two that were reported counts as stored with the earlier one")
{
    OutageBook book = majority();
    book.take(reportOf("c", 130, {{98, 2'900}, {120, 1'500}}));
    const auto ms = since(book, 100, 50'000);
    REQUIRE(ms);
    CHECK(*ms >= 2'900);
}

TEST_CASE("an entry older than all that were reported has no bound")
{
    CHECK_FALSE(since(majority(), 85, 50'000));
}

TEST_CASE("the leader's clock tells the time between a report and the holder's end")
{
    CHECK(since(majority(), 100, 50'300) >= 2'300);
    const auto earlier = since(majority(), 100, 49'400);
    REQUIRE(earlier);
    CHECK(*earlier >= 1'400);
    CHECK(*earlier <= 1'450);
    CHECK_FALSE(majority().longestSince(100, {LeaderClock + 1, 50'000}));
    CHECK_FALSE(majority().longestSince(100, {}));
}
