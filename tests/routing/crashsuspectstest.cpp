#include "tests/routing/routerharness.h"

#include <catch2/catch.hpp>

#include <set>

using namespace samphirebridge;
using namespace std::chrono_literals;
using core::RefusalReason;
using core::RetryReason;
using routing::SuspectList;
using routing::SuspectVerdict;
using routing::TargetLife;

namespace
{

const core::TimePoint Start;
const TargetLife First{core::TargetId("t0"), 1};
const TargetLife Second{core::TargetId("t1"), 1};
const std::string Culprit = fingerprintNamed('c');
const std::string Neighbour = fingerprintNamed('n');

TestRouter makeRouter()
{
    return {core::InstanceId("a"), patientOptions(), std::mt19937_64(1)};
}

} // namespace

TEST_CASE("after the second distinct crash a request is refused and its neighbours are cleared")
{
    SuspectList list{{}};
    list.onCrash(First, std::vector{Culprit, Neighbour}, Start);
    CHECK(list.verdictOf(Culprit, Start) == SuspectVerdict::RunAlone);
    CHECK(list.verdictOf(Neighbour, Start) == SuspectVerdict::RunAlone);
    list.onCrash(First, std::vector{Culprit}, Start);
    CHECK(list.verdictOf(Culprit, Start) == SuspectVerdict::RunAlone);
    list.onCrash(Second, std::vector{Culprit}, Start);
    CHECK(list.verdictOf(Culprit, Start) == SuspectVerdict::Refuse);
    CHECK(list.verdictOf(Neighbour, Start) == SuspectVerdict::Innocent);
}

TEST_CASE("every instance refuses what crashed targets twice, whoever saw it")
{
    SuspectList one{{}};
    SuspectList two{{}};
    SuspectList third{{}};
    one.onCrash(First, std::vector{Culprit, Neighbour}, Start);
    two.onCrash(Second, std::vector{Culprit}, Start);
    third.onReports(one.takeReports(), Start);
    third.onReports(two.takeReports(), Start);
    CHECK(third.verdictOf(Culprit, Start) == SuspectVerdict::Refuse);
    CHECK(third.verdictOf(Neighbour, Start) == SuspectVerdict::Innocent);
    const auto cleared = third.takeReports();
    REQUIRE(cleared.size() == 1);
    CHECK(cleared[0].cleared());
    one.onReports(cleared, Start);
    CHECK(one.verdictOf(Neighbour, Start) == SuspectVerdict::Innocent);
}

TEST_CASE("a broken connection alone is no crash")
{
    SuspectList list{{}};
    list.onBroken(Culprit, First, Start);
    CHECK(list.verdictOf(Culprit, Start) == SuspectVerdict::PreferAlone);
    list.onBroken(Culprit, Second, Start);
    CHECK(list.verdictOf(Culprit, Start) == SuspectVerdict::RefuseForNow);
    CHECK(list.verdictOf(Culprit, Start + 11s) == SuspectVerdict::Innocent);
    list.onAlive(First);
    CHECK(list.verdictOf(Culprit, Start) == SuspectVerdict::PreferAlone);
    list.onCrash(Second, {}, Start);
    CHECK(list.verdictOf(Culprit, Start) == SuspectVerdict::RunAlone);
    CHECK(list.takeReports().size() == 1);
}

TEST_CASE("a suspect that runs to its end is cleared, and suspicion ends with time")
{
    SuspectList list{{}};
    list.onCrash(First, std::vector{Culprit, Neighbour}, Start);
    list.takeReports();
    list.onFinished(Neighbour);
    CHECK(list.verdictOf(Neighbour, Start) == SuspectVerdict::Innocent);
    CHECK(list.takeReports().at(0).cleared());
    list.tick(Start + 2h);
    CHECK(list.verdictOf(Culprit, Start + 2h) == SuspectVerdict::Innocent);
    CHECK(list.size() == 0);
}

TEST_CASE("a target that comes back with a new life makes its requests suspects")
{
    TestRouter router = makeRouter();
    setUp(router, 4);
    const routing::Choice culprit = send(router, requestNamed('c'), Start);
    router.onFailed(culprit.ticket, RetryReason::ConnectionBroken, Start);
    CHECK(router.takeCrashReports().empty());
    router.onTarget(engineRecord(culprit.target.value, 2), Start + 1s);
    const auto reports = router.takeCrashReports();
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].fingerprint() == Culprit);
    CHECK(reports[0].target_incarnation() == 1);
    CHECK(router.counters().crashes == 1);
}

TEST_CASE("the end of a leaving target, and one that nothing broke on, are no crashes")
{
    TestRouter router = makeRouter();
    setUp(router, 2);
    const routing::Choice choice = send(router, requestNamed('c'), Start);
    proto::TargetRecord leaving = engineRecord(choice.target.value);
    leaving.set_state(proto::LEAVING);
    router.onTarget(leaving, Start);
    router.onTarget(engineRecord(choice.target.value, 2), Start);
    const routing::Choice other = send(router, requestNamed('d'), Start);
    proto::TargetRecord gone = engineRecord(other.target.value, other.incarnation);
    gone.set_state(proto::GONE);
    router.onTarget(gone, Start);
    CHECK(router.takeCrashReports().empty());
}

TEST_CASE("a suspect runs alone: it waits for an idle target and nobody joins it")
{
    TestRouter router = makeRouter();
    setUp(router, 4);
    const auto busy = send(router, requestNamed('x'), Start);
    for (int request = 0; request < 7; ++request) {
        send(router, requestNamed('x'), Start);
    }
    proto::CrashReport report;
    report.set_fingerprint(Culprit);
    report.set_target("elsewhere");
    report.set_target_incarnation(1);
    router.onCrashReports({&report, 1}, Start);
    const auto refusal = refusalOf(router.choose(requestNamed('c'), Start));
    CHECK(refusal.reason == RefusalReason::CrashSuspect);
    CHECK(refusal.retryAfter == 2s);
    // One target is kept free from now on; when its work ends, the suspect has it for itself.
    std::set<std::string> used;
    for (int request = 0; request < 12; ++request) {
        used.insert(send(router, requestNamed('x'), Start).target.value);
    }
    CHECK(used.size() == 3);
    const routing::Ticket last = busy.ticket + 19;
    for (routing::Ticket ticket = busy.ticket; ticket <= last; ++ticket) {
        router.onFinished(ticket, {}, Start + 1s);
    }
    const routing::Choice alone = send(router, requestNamed('c'), Start + 2s);
    for (int request = 0; request < 9; ++request) {
        CHECK(send(router, requestNamed('x'), Start + 2s).target != alone.target);
    }
    router.onFinished(alone.ticket, {}, Start + 3s);
    CHECK(router.takeCrashReports().at(0).cleared());
    CHECK(std::holds_alternative<routing::Choice>(router.choose(requestNamed('c'), Start + 3s)));
}
