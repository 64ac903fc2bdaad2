#include "tests/routing/routerharness.h"

#include <catch2/catch.hpp>

#include <set>

using namespace samphirebridge;
using namespace std::chrono_literals;
using core::RefusalReason;
using core::RetryReason;
using routing::SuspectList;
using routing::SuspectTreatment;
using routing::TargetIncarnation;

namespace
{

const core::TimePoint Start;
const TargetIncarnation FirstTarget{core::TargetId("t0"), 1};
const TargetIncarnation SecondTarget{core::TargetId("t1"), 1};
const std::string CrashingRequest = fingerprintOf('c');
const std::string ConcurrentRequest = fingerprintOf('n');

TestRouter makeRouter()
{
    return {core::InstanceId("a"), longWaitOptions(), std::mt19937_64(1)};
}

} // namespace

TEST_CASE(
    "a request in flight in two distinct crashes is refused, and the other suspects are cleared")
{
    SuspectList list{{}};
    list.onCrash(FirstTarget, std::vector{CrashingRequest, ConcurrentRequest}, Start);
    CHECK(list.treatmentOf(CrashingRequest, Start) == SuspectTreatment::RequireExclusive);
    CHECK(list.treatmentOf(ConcurrentRequest, Start) == SuspectTreatment::RequireExclusive);
    list.onCrash(FirstTarget, std::vector{CrashingRequest}, Start);
    CHECK(list.treatmentOf(CrashingRequest, Start) == SuspectTreatment::RequireExclusive);
    list.onCrash(SecondTarget, std::vector{CrashingRequest}, Start);
    CHECK(list.treatmentOf(CrashingRequest, Start) == SuspectTreatment::Refuse);
    CHECK(list.treatmentOf(ConcurrentRequest, Start) == SuspectTreatment::Unrestricted);
}

TEST_CASE("an instance refuses a request whose two crashes were reported by different instances")
{
    SuspectList one{{}};
    SuspectList two{{}};
    SuspectList third{{}};
    one.onCrash(FirstTarget, std::vector{CrashingRequest, ConcurrentRequest}, Start);
    two.onCrash(SecondTarget, std::vector{CrashingRequest}, Start);
    third.onReports(one.takeReports(), Start);
    third.onReports(two.takeReports(), Start);
    CHECK(third.treatmentOf(CrashingRequest, Start) == SuspectTreatment::Refuse);
    CHECK(third.treatmentOf(ConcurrentRequest, Start) == SuspectTreatment::Unrestricted);
    const auto cleared = third.takeReports();
    REQUIRE(cleared.size() == 1);
    CHECK(cleared[0].cleared());
    one.onReports(cleared, Start);
    CHECK(one.treatmentOf(ConcurrentRequest, Start) == SuspectTreatment::Unrestricted);
}

TEST_CASE("a broken connection counts as a crash only after the crash is confirmed")
{
    SuspectList list{{}};
    list.onConnectionBroken(CrashingRequest, FirstTarget, Start);
    CHECK(list.treatmentOf(CrashingRequest, Start) == SuspectTreatment::PreferExclusive);
    list.onConnectionBroken(CrashingRequest, SecondTarget, Start);
    CHECK(list.treatmentOf(CrashingRequest, Start) == SuspectTreatment::RefuseUntilConfirmed);
    CHECK(list.treatmentOf(CrashingRequest, Start + 11s) == SuspectTreatment::Unrestricted);
    list.onAnswered(FirstTarget);
    CHECK(list.treatmentOf(CrashingRequest, Start) == SuspectTreatment::PreferExclusive);
    list.onCrash(SecondTarget, {}, Start);
    CHECK(list.treatmentOf(CrashingRequest, Start) == SuspectTreatment::RequireExclusive);
    CHECK(list.takeReports().size() == 1);
}

TEST_CASE("a suspect is cleared when its request completes, and dropped after its retention")
{
    SuspectList list{{}};
    list.onCrash(FirstTarget, std::vector{CrashingRequest, ConcurrentRequest}, Start);
    list.takeReports();
    list.onFinished(ConcurrentRequest);
    CHECK(list.treatmentOf(ConcurrentRequest, Start) == SuspectTreatment::Unrestricted);
    CHECK(list.takeReports().at(0).cleared());
    list.tick(Start + 2h);
    CHECK(list.treatmentOf(CrashingRequest, Start + 2h) == SuspectTreatment::Unrestricted);
    CHECK(list.size() == 0);
}

TEST_CASE("a new incarnation of a READY target makes the requests in flight suspects")
{
    TestRouter router = makeRouter();
    addTargets(router, 4);
    const routing::Choice crashed = send(router, requestOf('c'), Start);
    router.onFailed(crashed.ticket, RetryReason::ConnectionBroken, Start);
    CHECK(router.takeCrashReports().empty());
    router.onTarget(readyRecord(crashed.target.value, 2), Start + 1s);
    const auto reports = router.takeCrashReports();
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].fingerprint() == CrashingRequest);
    CHECK(reports[0].target_incarnation() == 1);
    CHECK(router.counters().crashes == 1);
}

TEST_CASE("the end of a leaving target, or of one without a broken connection, is no crash")
{
    TestRouter router = makeRouter();
    addTargets(router, 2);
    const routing::Choice choice = send(router, requestOf('c'), Start);
    proto::TargetRecord leaving = readyRecord(choice.target.value);
    leaving.set_state(proto::LEAVING);
    router.onTarget(leaving, Start);
    router.onTarget(readyRecord(choice.target.value, 2), Start);
    const routing::Choice other = send(router, requestOf('d'), Start);
    proto::TargetRecord gone = readyRecord(other.target.value, other.incarnation);
    gone.set_state(proto::GONE);
    router.onTarget(gone, Start);
    CHECK(router.takeCrashReports().empty());
}

TEST_CASE("a suspect waits for an idle target and runs there alone")
{
    TestRouter router = makeRouter();
    addTargets(router, 4);
    const auto firstChoice = send(router, requestOf('x'), Start);
    for (int request = 0; request < 7; ++request) {
        send(router, requestOf('x'), Start);
    }
    proto::CrashReport report;
    report.set_fingerprint(CrashingRequest);
    report.set_target("elsewhere");
    report.set_target_incarnation(1);
    router.onCrashReports({&report, 1}, Start);
    const auto refusal = refusalOf(router.choose(requestOf('c'), Start));
    CHECK(refusal.reason == RefusalReason::CrashSuspect);
    CHECK(refusal.retryAfter == 2s);
    // The refusal drains one target. When its requests have ended, the suspect runs there alone.
    std::set<std::string> usedTargets;
    for (int request = 0; request < 12; ++request) {
        usedTargets.insert(send(router, requestOf('x'), Start).target.value);
    }
    CHECK(usedTargets.size() == 3);
    const routing::Ticket last = firstChoice.ticket + 19;
    for (routing::Ticket ticket = firstChoice.ticket; ticket <= last; ++ticket) {
        router.onFinished(ticket, {}, Start + 1s);
    }
    const routing::Choice exclusive = send(router, requestOf('c'), Start + 2s);
    for (int request = 0; request < 9; ++request) {
        CHECK(send(router, requestOf('x'), Start + 2s).target != exclusive.target);
    }
    router.onFinished(exclusive.ticket, {}, Start + 3s);
    CHECK(router.takeCrashReports().at(0).cleared());
    CHECK(std::holds_alternative<routing::Choice>(router.choose(requestOf('c'), Start + 3s)));
}
