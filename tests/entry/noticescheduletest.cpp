#include "samphirebridge/entry/noticeschedule.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

using namespace samphirebridge;
using namespace std::chrono_literals;
using entry::NoticeSchedule;

namespace
{

membership::InstanceView viewOf(const std::string &id, bool votes, uint64_t version = 0)
{
    membership::InstanceView view;
    view.record.set_id(id);
    view.record.set_votes(votes);
    view.record.set_serves(!votes);
    view.record.set_declaration_version(version);
    view.inContact = true;
    return view;
}

const std::vector<std::string> Control{"c1", "c2", "c3", "c4", "c5"};

// Returns all control instances and one entry instance that holds the version.
std::vector<membership::InstanceView> fleetWithEntryAt(uint64_t version)
{
    std::vector<membership::InstanceView> views;
    views.reserve(Control.size() + 1);
    for (const std::string &id : Control) {
        views.push_back(viewOf(id, true));
    }
    views.push_back(viewOf("e1", false, version));
    return views;
}

const core::TimePoint Begin{1h};

// Returns how long after a change each of the control instances first notifies the entry instance,
// which does not react.
std::vector<core::Duration> firstNotices()
{
    std::vector<core::Duration> delays;
    delays.reserve(Control.size());
    const auto views = fleetWithEntryAt(1);
    for (const std::string &id : Control) {
        NoticeSchedule schedule{core::InstanceId(id)};
        schedule.onApplied(1, Begin - 1h);
        schedule.onApplied(2, Begin);
        core::Duration delay{};
        while (schedule.takeDue(views, Begin + delay).empty()) {
            delay += 5ms;
        }
        delays.push_back(delay);
    }
    std::ranges::sort(delays);
    return delays;
}

} // namespace

TEST_CASE("one control instance notifies at once and the others take turns")
{
    const auto delays = firstNotices();
    CHECK(delays.front() == 0ms);
    CHECK(delays.back() == 500ms);
    for (size_t turn = 1; turn < delays.size(); ++turn) {
        CHECK(delays[turn] - delays[turn - 1] == 125ms);
    }
}

// Guards against a storm of changes that costs a notice for each of them.
TEST_CASE("the notices to one instance are bounded in time however many versions are applied")
{
    const auto views = fleetWithEntryAt(1);
    for (const std::string &id : Control) {
        NoticeSchedule schedule{core::InstanceId(id)};
        size_t notices = 0;
        core::TimePoint now = Begin;
        for (uint64_t version = 2; now < Begin + 3s; ++version, now += 10ms) {
            schedule.onApplied(version, now);
            notices += schedule.takeDue(views, now).size();
        }
        CHECK(notices >= 9);
        CHECK(notices <= 10);
    }
}

TEST_CASE(
    "an instance that holds the newest version, is out of contact or does not serve gets no notice")
{
    for (const std::string &id : Control) {
        NoticeSchedule schedule{core::InstanceId(id)};
        schedule.onApplied(2, Begin);
        CHECK(schedule.takeDue(fleetWithEntryAt(2), Begin + 1s).empty());
        auto views = fleetWithEntryAt(1);
        views.back().inContact = false;
        CHECK(schedule.takeDue(views, Begin + 1s).empty());
        CHECK(schedule.lags().empty());
    }
}

TEST_CASE("the age of a lag counts from the first version that the instance lacks")
{
    NoticeSchedule schedule{core::InstanceId("c1")};
    schedule.onApplied(1, Begin);
    schedule.onApplied(4, Begin + 1s);
    schedule.onApplied(7, Begin + 2s);
    schedule.takeDue(fleetWithEntryAt(1), Begin + 3s);
    REQUIRE(schedule.lags().size() == 1);
    CHECK(schedule.lags().front().age == 2s);
    schedule.takeDue(fleetWithEntryAt(4), Begin + 3s);
    REQUIRE(schedule.lags().size() == 1);
    CHECK(schedule.lags().front().age == 1s);
}

// Guards against a restart that looks like an instance which has been behind for hours.
TEST_CASE("an instance that has just started is seen behind from then on")
{
    NoticeSchedule schedule{core::InstanceId("c1")};
    schedule.onApplied(1, Begin - 1h);
    schedule.takeDue(fleetWithEntryAt(1), Begin);
    CHECK(schedule.lags().empty());
    for (const core::Duration since : {0ms, 400ms}) {
        schedule.takeDue(fleetWithEntryAt(0), Begin + since);
        REQUIRE(schedule.lags().size() == 1);
        CHECK(schedule.lags().front().seenFor == since);
        CHECK(schedule.lags().front().age == 1h + since);
    }
    schedule.takeDue(fleetWithEntryAt(1), Begin + 1s);
    schedule.takeDue(fleetWithEntryAt(0), Begin + 2s);
    REQUIRE(schedule.lags().size() == 1);
    CHECK(schedule.lags().front().seenFor == 0ms);
}
