// Tests what the router sends to targets that are cold.
#include "tests/routing/routerharness.h"

#include <catch2/catch.hpp>

#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace samphirebridge;
using namespace std::chrono_literals;
using core::RefusalReason;

namespace
{

const core::TimePoint Start = core::TimePoint(100s);

std::vector<core::InstanceId> instances(size_t count)
{
    std::vector<core::InstanceId> ids{core::InstanceId("a")};
    for (size_t index = 1; index < count; ++index) {
        ids.emplace_back("other-" + std::to_string(index));
    }
    return ids;
}

void setLimit(TestRouter &router, double perSecond, core::TimePoint now = Start)
{
    const routing::ColdLimit limit{core::ServiceId("chat"), perSecond, 3s};
    router.setColdLimits({&limit, 1}, now);
}

// The router of the instance "a" whose service states a limit, with so many targets.
struct ColdRouter : TestRouter {
    ColdRouter(double perSecond, size_t fleet, int targets)
        : TestRouter(core::InstanceId("a"), longWaitOptions(), std::mt19937_64(1))
    {
        addTargets(*this, targets);
        setLimit(*this, perSecond);
        this->setColdMembers(instances(fleet), true, Start);
    }
};

proto::TargetRecord
coldRecord(const std::string &id, uint32_t remainingMs, uint64_t incarnation = 1)
{
    proto::TargetRecord record = readyRecord(id, incarnation);
    record.set_data_centre("dc");
    record.mutable_load()->set_cold_remaining_ms(remainingMs);
    return record;
}

// Sends a request and ends it, preferably at the given one of the targets. Returns its target, or
// nothing if it is refused.
std::optional<std::string>
requestTarget(TestRouter &router, core::TimePoint now, const std::string &preferred = {})
{
    routing::RouteRequest request = requestOf('a');
    for (int target = 0; target < 20 && !preferred.empty(); ++target) {
        request.excluded.emplace_back("t" + std::to_string(target));
    }
    std::erase(request.excluded, core::TargetId(preferred));
    const auto decision = router.choose(request, now);
    const auto *choice = std::get_if<routing::Choice>(&decision);
    if (choice == nullptr) {
        return std::nullopt;
    }
    router.onSent(choice->ticket, now);
    router.onFinished(choice->ticket, {}, now);
    return choice->target.value;
}

// Offers many requests at that time, preferably to the target, and returns how many it gets.
size_t offer(TestRouter &router, const std::string &target, core::TimePoint now)
{
    size_t sent = 0;
    for (int request = 0; request < 60; ++request) {
        sent += requestTarget(router, now, target) == target ? 1 : 0;
    }
    return sent;
}

} // namespace

// Guards against a change for services that state no limit.
TEST_CASE("a cold target of a service without a limit is not restricted")
{
    TestRouter router(core::InstanceId("a"), longWaitOptions(), std::mt19937_64(1));
    addTargets(router, 1);
    router.onTarget(coldRecord("t0", 3000), Start);
    CHECK(offer(router, "t0", Start) == 60);
    CHECK(router.coldTargets(Start) == 0);
    CHECK(router.takeColdChanges().empty());
    CHECK(router.counters().coldSkips == 0);
}

TEST_CASE("a cold target gets this instance's share, and the others get the rest of the load")
{
    ColdRouter router(14, 6, 2);
    router.onTarget(coldRecord("t0", 3000), Start);
    CHECK(router.coldTargets(Start) == 1);
    CHECK(offer(router, "t0", Start) == 2);
    router.setColdMembers(instances(6), true, Start + 900ms);
    CHECK(offer(router, "t0", Start + 999ms) == 0);
    CHECK(offer(router, "t0", Start + 1s) == 2);
    CHECK(router.counters().coldChoices == 4);
    CHECK(router.counters().coldSkips > 0);
    CHECK(offer(router, "t0", Start + 3s) == 60);
    const auto changes = router.takeColdChanges();
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().share.requests == 2);
    CHECK(changes.front().remaining == 3s);
}

// Guards against a wait, and against callers that return together.
TEST_CASE("a request whose targets are all cold without a free slot is refused at once")
{
    ColdRouter router(14, 14, 2);
    router.onTarget(coldRecord("t0", 3000), Start);
    router.onTarget(coldRecord("t1", 400), Start);
    CHECK(requestTarget(router, Start));
    CHECK(requestTarget(router, Start + 100ms));
    std::set<core::Duration> waits;
    for (int request = 0; request < 50; ++request) {
        const auto refusal = refusalOf(router.choose(requestOf('a'), Start + 200ms));
        CHECK(refusal.reason == RefusalReason::TargetsCold);
        CHECK(refusal.retryAfter >= 200ms); // The cold time of t1 ends first.
        CHECK(refusal.retryAfter <= 250ms);
        waits.insert(refusal.retryAfter);
    }
    CHECK(waits.size() > 10);
    CHECK(router.counters().refusedCold == 50);
    CHECK(requestTarget(router, Start + 400ms) == "t1");
}

TEST_CASE("an instance without permission sends nothing to a cold target")
{
    ColdRouter router(14, 6, 1);
    router.onTarget(coldRecord("t0", 3000), Start);
    router.setColdMembers(instances(6), false, Start);
    CHECK(offer(router, "t0", Start) == 0);
    const auto refusal = refusalOf(router.choose(requestOf('a'), Start));
    CHECK(refusal.reason == RefusalReason::TargetsCold);
    CHECK(refusal.retryAfter >= 3s);
    // The permission is not repeated: the process stood still.
    router.setColdMembers(instances(6), true, Start + 500ms);
    CHECK(offer(router, "t0", Start + 1600ms) == 0);
}

// Guards against a sum above the limit right after the change: what was sent in the last second
// counts.
TEST_CASE("a target that becomes cold while in operation gets no more than its limit from then on")
{
    ColdRouter router(14, 6, 1);
    CHECK(offer(router, "t0", Start) == 60);
    router.onLoad("t0", 1, coldRecord("t0", 3000).load(), Start + 500ms);
    CHECK(offer(router, "t0", Start + 500ms) == 0);
    CHECK(offer(router, "t0", Start + 1s) == 2);
}

TEST_CASE("a target that says in an answer that it is cold is restricted from then on")
{
    ColdRouter router(14, 6, 1);
    const routing::Choice choice = send(router, requestOf('a'), Start);
    router.onTargetNotice(choice.ticket, {.coldRemaining = 2s}, Start + 1s);
    CHECK(router.takeColdChanges().front().source == routing::ColdSource::Answer);
    CHECK(offer(router, "t0", Start + 1s) == 2);
    // An older statement that arrives late shortens nothing, nor does one of another incarnation.
    router.onLoad("t0", 1, coldRecord("t0", 0).load(), Start + 1001ms);
    router.onLoad("t0", 2, coldRecord("t0", 9000, 2).load(), Start + 1001ms);
    CHECK(offer(router, "t0", Start + 1999ms) == 0);
    router.onTarget(readyRecord("t0", 2), Start + 2s);
    CHECK(offer(router, "t0", Start + 2s) == 60);
}

// Guards against targets that are taken for warm because the notification is late.
TEST_CASE("all targets of a data centre count as cold after its evacuation, whatever they announce")
{
    ColdRouter router(14, 6, 1);
    router.onTarget(coldRecord("t0", 0), Start);
    router.assumeCold("dc", Start);
    router.onLoad("t0", 1, coldRecord("t0", 0).load(), Start + 1ms);
    router.onTarget(coldRecord("t0", 0, 2), Start + 2ms);
    router.onTarget(coldRecord("t1", 0), Start + 2ms); // It was not known before.
    CHECK(router.coldTargets(Start + 2ms) == 2);
    CHECK(offer(router, "t0", Start + 10ms) == 2);
    CHECK(offer(router, "t1", Start + 10ms) == 0); // Used up by the requests offered before.
    CHECK(router.counters().coldChoices == 4);
    CHECK(router.takeColdChanges().front().source == routing::ColdSource::Evacuation);
    CHECK(router.coldTargets(Start + 3s) == 0);
}

// Guards against a log line about a cold time that is over.
TEST_CASE("the end of an evacuation counts for a limit that is declared later, until it is over")
{
    ColdRouter router(14, 6, 0);
    router.setColdLimits({}, Start);
    router.onTarget(coldRecord("t0", 0), Start);
    router.assumeCold("dc", Start);
    CHECK(router.coldTargets(Start) == 0);
    setLimit(router, 14, Start + 1s);
    CHECK(router.coldTargets(Start + 1s) == 1);
    CHECK(router.takeColdChanges().front().remaining == 2s);
    CHECK(offer(router, "t0", Start + 1s) == 2);
    router.onTarget(coldRecord("t1", 0), Start + 3s);
    setLimit(router, 14, Start + 4s);
    CHECK(router.takeColdChanges().empty());
}

TEST_CASE("a target that may get less than one request per second gets one in so many seconds")
{
    ColdRouter router(0.5, 1, 1);
    router.onTarget(coldRecord("t0", 60'000), Start);
    size_t sent = 0;
    for (int tick = 1; tick <= 200; ++tick) {
        const core::TimePoint now = Start + tick * 100ms;
        router.setColdMembers(instances(1), true, now);
        sent += offer(router, "t0", now);
        CHECK((tick >= 20 || sent == 0)); // An earlier process may have sent one.
    }
    CHECK(sent == 10);
}

TEST_CASE("a request that was never sent frees its slot, and a retry takes one")
{
    ColdRouter router(14, 14, 1);
    router.onTarget(coldRecord("t0", 3000), Start);
    const auto choice = choiceOf(router.choose(requestOf('a'), Start));
    CHECK_FALSE(requestTarget(router, Start));
    router.onCancelled(choice.ticket, Start);
    routing::RouteRequest retry = requestOf('b');
    retry.attempt = 2;
    send(router, retry, Start);
    CHECK_FALSE(requestTarget(router, Start));
}

// Guards against a home of a shared prefix that holds up its requests while it is cold.
TEST_CASE("the next target in the order of a shared prefix stands in for a cold one")
{
    ColdRouter router(14, 14, 3);
    routing::RouteRequest request = requestOf('a');
    request.prefix = {7, 8};
    request.sharedBlocks = 2;
    request.rendezvousSlack = 10s;
    const std::string home = send(router, request, Start).target.value;
    router.onTarget(coldRecord(home, 3000), Start + 2s);
    router.setColdMembers(instances(14), true, Start + 2s);
    CHECK(send(router, request, Start + 2s).target.value == home);
    std::set<std::string> standIns;
    for (int number = 0; number < 5; ++number) {
        standIns.insert(send(router, request, Start + 2s).target.value);
    }
    CHECK(standIns.size() == 1);
    CHECK_FALSE(standIns.contains(home));
}

// Guards against cold targets that no instance warms up in a fleet with more targets than one
// instance uses.
TEST_CASE("an instance adds the cold targets in which it has a share to those that it uses")
{
    routing::RoutingOptions options = longWaitOptions();
    options.subset.targetsPerModel = 2;
    TestRouter router(core::InstanceId("a"), options, std::mt19937_64(1));
    addTargets(router, 20);
    setLimit(router, 14);
    router.setColdMembers(instances(6), true, Start);
    std::set<std::string> used;
    for (int target = 0; target < 20; ++target) {
        used.insert(*requestTarget(router, Start, "t" + std::to_string(target)));
    }
    REQUIRE(used.size() == 2);
    std::string unused = "t0";
    for (int target = 1; used.contains(unused); ++target) {
        unused = "t" + std::to_string(target);
    }
    router.onLoad(unused, 1, coldRecord(unused, 3000).load(), Start);
    CHECK(offer(router, unused, Start) == 2);
    router.setColdMembers(instances(6), true, Start + 3s);
    CHECK(offer(router, unused, Start + 3s) == 0); // It is warm, and others use it.
    // An erased target is not used again.
    router.onLoad(unused, 1, coldRecord(unused, 3000).load(), Start + 3s);
    proto::TargetRecord gone = readyRecord(unused);
    gone.set_state(proto::GONE);
    router.onTarget(gone, Start + 3s);
    router.tick(Start + 3s);
    CHECK(offer(router, unused, Start + 3s) == 0);
}

// Guards against targets that come back cold with the end of an evacuation and get the whole load
// before they announce it, and against a cold target that is added to the candidates although its
// data centre is evacuated.
TEST_CASE("the targets of a data centre are limited from the end of its evacuation on")
{
    ColdRouter router(14, 14, 0);
    proto::TargetRecord record = readyRecord("t0");
    record.set_data_centre("dc");
    router.onTarget(record, Start);
    const std::vector<std::string> evacuated{"dc"};
    router.setEvacuated(evacuated, Start);
    router.onTarget(coldRecord("t0", 3000), Start);
    CHECK(offer(router, "t0", Start) == 0);

    const core::TimePoint end = Start + 10s;
    router.setColdMembers(instances(14), true, end);
    router.setEvacuated({}, end);
    CHECK(offer(router, "t0", end) == 1);
    CHECK(offer(router, "t0", end + 500ms) == 0);
    CHECK(offer(router, "t0", end + 4s) == 60);
}
