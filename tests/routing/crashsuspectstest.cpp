#include "tests/routing/routerharness.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <set>
#include <utility>
#include <vector>

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
// Too late after Start for a common cause of two crashes.
const core::TimePoint Later = Start + 1s;
const TargetIncarnation FirstTarget{core::TargetId("t0"), 1};
const TargetIncarnation SecondTarget{core::TargetId("t1"), 1};
const TargetIncarnation ThirdTarget{core::TargetId("t2"), 1};
const std::string CrashingRequest = fingerprintOf('c');
const std::string ConcurrentRequest = fingerprintOf('n');

TestRouter makeRouter()
{
    return {core::InstanceId("a"), longWaitOptions(), std::mt19937_64(1)};
}

// Routers that exchange their crash reports within a second, and targets that all end when they run
// one request and start again 4.5 s later, under the same id or under a new one. The request is
// sent again every 0.4 s at a random router.
class CrashingFleet
{
public:
    CrashingFleet(int routers, core::Duration goneAfter, bool keepsId)
        : goneAfter(goneAfter)
        , keepsId(keepsId)
    {
        for (int index = 0; index < routers; ++index) {
            TestRouter &router = this->routers.emplace_back(
                core::InstanceId("i" + std::to_string(index)), longWaitOptions(), this->random);
            addTargets(router, 18);
        }
        this->startedTargets = 18;
    }

    void runFor(core::Duration time)
    {
        for (core::TimePoint now = Start; now < Start + time; now += 100ms) {
            this->announceChanges(now);
            if ((now - Start) % 400ms == core::Duration::zero()) {
                this->sendRequest(now);
            }
            if ((now - Start) % 1s == core::Duration::zero()) {
                this->exchangeReports(now);
            }
        }
    }

    [[nodiscard]] const std::vector<core::TimePoint> &crashTimes() const
    {
        return this->crashes;
    }

    // Returns how many targets the request crashed later than that time after the third.
    [[nodiscard]] size_t crashesLaterThan(core::Duration afterThird) const
    {
        constexpr size_t Third = 2;
        if (this->crashes.size() <= Third) {
            return 0;
        }
        const core::TimePoint limit = this->crashes[Third] + afterThird;
        return static_cast<size_t>(
            std::count_if(this->crashes.begin(), this->crashes.end(), [&](core::TimePoint crash) {
                return crash > limit;
            }));
    }

private:
    struct Change {
        core::TimePoint at;
        proto::TargetRecord record;
    };

    void announceChanges(core::TimePoint now)
    {
        std::erase_if(this->changes, [&](const Change &change) {
            if (change.at > now) {
                return false;
            }
            for (TestRouter &router : this->routers) {
                router.onTarget(change.record, now);
            }
            return true;
        });
    }

    // Sends the request until a router refuses it, twice at most.
    void sendRequest(core::TimePoint now)
    {
        TestRouter &router = this->routers[this->random() % this->routers.size()];
        routing::RouteRequest request = requestOf('c');
        for (request.attempt = 1; request.attempt <= 2; ++request.attempt) {
            const auto decision = router.choose(request, now);
            if (!std::holds_alternative<routing::Choice>(decision)) {
                return;
            }
            const routing::Choice choice = choiceOf(decision);
            router.onSent(choice.ticket, now);
            router.onFailed(choice.ticket, RetryReason::ConnectionBroken, now);
            request.excluded.push_back(choice.target);
            this->crash(choice, now);
        }
    }

    void crash(const routing::Choice &choice, core::TimePoint now)
    {
        if (!this->ended.emplace(choice.target.value, choice.incarnation).second) {
            return;
        }
        this->crashes.push_back(now);
        proto::TargetRecord gone = readyRecord(choice.target.value, choice.incarnation);
        gone.set_state(proto::GONE);
        this->changes.push_back({now + this->goneAfter, gone});
        const auto started = this->keepsId
                                 ? readyRecord(choice.target.value, choice.incarnation + 1)
                                 : readyRecord("t" + std::to_string(this->startedTargets++));
        this->changes.push_back({now + 4500ms, started});
    }

    void exchangeReports(core::TimePoint now)
    {
        std::vector<proto::CrashReport> reports;
        for (TestRouter &router : this->routers) {
            const auto made = router.takeCrashReports();
            reports.insert(reports.end(), made.begin(), made.end());
        }
        for (TestRouter &router : this->routers) {
            router.onCrashReports(reports, now);
            router.tick(now);
        }
    }

    core::Duration goneAfter;
    bool keepsId;
    std::mt19937_64 random{1};
    std::deque<TestRouter> routers;
    int startedTargets = 0;
    std::set<std::pair<std::string, core::Incarnation>> ended;
    std::vector<core::TimePoint> crashes;
    std::vector<Change> changes;
};

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
    list.onCrash(SecondTarget, std::vector{CrashingRequest}, Later);
    CHECK(list.treatmentOf(CrashingRequest, Later) == SuspectTreatment::Refuse);
    CHECK(list.treatmentOf(ConcurrentRequest, Later) == SuspectTreatment::Unrestricted);
}

TEST_CASE("an instance refuses a request whose two crashes were reported by different instances")
{
    SuspectList one{{}};
    SuspectList two{{}};
    SuspectList third{{}};
    one.onCrash(FirstTarget, std::vector{CrashingRequest, ConcurrentRequest}, Start);
    two.onCrash(SecondTarget, std::vector{CrashingRequest}, Later);
    third.onReports(one.takeReports(), Start);
    third.onReports(two.takeReports(), Later);
    CHECK(third.treatmentOf(CrashingRequest, Later) == SuspectTreatment::Refuse);
    CHECK(third.treatmentOf(ConcurrentRequest, Later) == SuspectTreatment::Unrestricted);
    const auto cleared = third.takeReports();
    REQUIRE(cleared.size() == 1);
    CHECK(cleared[0].cleared());
    one.onReports(cleared, Later);
    CHECK(one.treatmentOf(ConcurrentRequest, Later) == SuspectTreatment::Unrestricted);
}

// Guards against broken connections that are forgotten before it is known whether their targets
// crashed.
TEST_CASE("a broken connection counts until its target answers")
{
    SuspectList list{{}};
    list.onConnectionBroken(CrashingRequest, FirstTarget, Start);
    CHECK(list.treatmentOf(CrashingRequest, Start) == SuspectTreatment::PreferExclusive);
    list.onConnectionBroken(CrashingRequest, SecondTarget, Later);
    CHECK(list.treatmentOf(CrashingRequest, Later) == SuspectTreatment::RefuseUntilConfirmed);
    CHECK(list.treatmentOf(CrashingRequest, Start + 9min)
          == SuspectTreatment::RefuseUntilConfirmed);
    list.onAnswered(FirstTarget, Later, Start + 2s);
    CHECK(list.treatmentOf(CrashingRequest, Start + 2s) == SuspectTreatment::PreferExclusive);
    list.takeReports();
    list.onCrash(SecondTarget, {}, Start + 2s);
    CHECK(list.treatmentOf(CrashingRequest, Start + 2s) == SuspectTreatment::RequireExclusive);
    CHECK(list.takeReports().size() == 1);
}

// Guards against an answer that the target had sent before it crashed.
TEST_CASE("only the answer to a request sent after a connection broke shows that the target lives")
{
    SuspectList list{{}};
    list.onConnectionBroken(CrashingRequest, FirstTarget, Start + 1s);
    list.onAnswered(FirstTarget, Start, Start + 2s);
    CHECK(list.treatmentOf(CrashingRequest, Start + 2s) == SuspectTreatment::PreferExclusive);
    list.onAnswered(FirstTarget, Start + 2s, Start + 3s);
    CHECK(list.treatmentOf(CrashingRequest, Start + 3s) == SuspectTreatment::Unrestricted);
}

// Guards against instances that each wait for broken connections of their own.
TEST_CASE("a broken connection that one instance saw counts at every instance at once")
{
    SuspectList one{{}};
    SuspectList two{{}};
    SuspectList third{{}};
    one.onConnectionBroken(CrashingRequest, FirstTarget, Start);
    two.onConnectionBroken(CrashingRequest, SecondTarget, Later);
    third.onReports(one.takeReports(), Start);
    third.onReports(two.takeReports(), Later);
    CHECK(third.treatmentOf(CrashingRequest, Later) == SuspectTreatment::RefuseUntilConfirmed);
    third.onAnswered(FirstTarget, Start + 2s, Start + 2s);
    const auto refuted = third.takeReports();
    REQUIRE(refuted.size() == 1);
    one.onReports(refuted, Start + 2s);
    CHECK(one.treatmentOf(CrashingRequest, Start + 2s) == SuspectTreatment::Unrestricted);
}

// Guards against taking the answers of a successor under the same id for the target's own.
TEST_CASE("a target that starts again under its id had crashed although it seemed to answer")
{
    SuspectList list{{}};
    list.onConnectionBroken(CrashingRequest, FirstTarget, Start);
    list.onAnswered(FirstTarget, Start + 1s, Start + 1s);
    CHECK(list.treatmentOf(CrashingRequest, Start + 1s) == SuspectTreatment::Unrestricted);
    list.onRestarted(FirstTarget, {}, Start + 2s);
    CHECK(list.treatmentOf(CrashingRequest, Start + 2s) == SuspectTreatment::RequireExclusive);
}

// Guards against refusing what an idle target was sent when its connections were reset.
TEST_CASE("a target that announces itself long after a connection broke had not crashed")
{
    SuspectList list{{}};
    list.onConnectionBroken(CrashingRequest, FirstTarget, Start);
    list.onAnnounced(FirstTarget, Start + 5s);
    CHECK(list.treatmentOf(CrashingRequest, Start + 5s) == SuspectTreatment::PreferExclusive);
    list.onAnnounced(FirstTarget, Start + 21s);
    CHECK(list.treatmentOf(CrashingRequest, Start + 21s) == SuspectTreatment::Unrestricted);
    CHECK(list.takeReports().size() == 2);
}

// Guards against refusing a sound request that happened to be in flight in the crashes of another.
TEST_CASE("of two requests in flight in the same two crashes each runs alone and a third decides")
{
    SuspectList list{{}};
    list.onCrash(FirstTarget, std::vector{CrashingRequest, ConcurrentRequest}, Start);
    list.onCrash(SecondTarget, std::vector{CrashingRequest, ConcurrentRequest}, Later);
    CHECK(list.treatmentOf(CrashingRequest, Later) == SuspectTreatment::RequireExclusive);
    CHECK(list.treatmentOf(ConcurrentRequest, Later) == SuspectTreatment::RequireExclusive);
    list.onCrash(ThirdTarget, std::vector{CrashingRequest}, Later);
    CHECK(list.treatmentOf(CrashingRequest, Later) == SuspectTreatment::Refuse);
    list.onFinished(ConcurrentRequest, Later);
    CHECK(list.treatmentOf(ConcurrentRequest, Later) == SuspectTreatment::Unrestricted);
}

// Guards against refusing a sound request that was retried from one target of a failing rack to
// another that had failed too.
TEST_CASE("two targets that fail at the same moment do not make a request refused")
{
    SuspectList list{{}};
    list.onConnectionBroken(CrashingRequest, FirstTarget, Start);
    list.onConnectionBroken(CrashingRequest, SecondTarget, Start + 100ms);
    CHECK(list.treatmentOf(CrashingRequest, Later) == SuspectTreatment::PreferExclusive);
    list.onCrash(FirstTarget, {}, Start + 5s);
    list.onCrash(SecondTarget, {}, Start + 6s);
    CHECK(list.treatmentOf(CrashingRequest, Start + 6s) == SuspectTreatment::RequireExclusive);
    list.onConnectionBroken(CrashingRequest, ThirdTarget, Start + 7s);
    CHECK(list.treatmentOf(CrashingRequest, Start + 7s) == SuspectTreatment::Refuse);
}

// Guards against refusing a popular request that is in flight at many targets when they fail.
TEST_CASE("a request that was answered of late is not suspected at any instance")
{
    SuspectList serving{{}};
    SuspectList other{{}};
    serving.onFinished(CrashingRequest, Start);
    for (const TargetIncarnation &target : {FirstTarget, SecondTarget, ThirdTarget}) {
        other.onConnectionBroken(CrashingRequest, target, Start + 10s);
    }
    serving.onReports(other.takeReports(), Start + 10s);
    CHECK(serving.treatmentOf(CrashingRequest, Start + 10s) == SuspectTreatment::Unrestricted);
    other.onReports(serving.takeReports(), Start + 10s);
    CHECK(other.treatmentOf(CrashingRequest, Start + 10s) == SuspectTreatment::Unrestricted);
    // Answers of long ago don't count: what a request does to its targets may have changed.
    serving.tick(Start + 60s);
    serving.tick(Start + 120s);
    for (const TargetIncarnation &target : {FirstTarget, SecondTarget, ThirdTarget}) {
        serving.onCrash({target.target, 2}, std::vector{CrashingRequest}, Start + 120s);
    }
    CHECK(serving.treatmentOf(CrashingRequest, Start + 120s) == SuspectTreatment::Refuse);
}

TEST_CASE("a suspect is cleared when its request completes, and dropped after its retention")
{
    SuspectList list{{}};
    list.onCrash(FirstTarget, std::vector{CrashingRequest, ConcurrentRequest}, Start);
    list.takeReports();
    list.onFinished(ConcurrentRequest, Start);
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
    CHECK(router.takeCrashReports().at(0).finding() == proto::CONNECTION_BROKEN);
    router.onTarget(readyRecord(crashed.target.value, 2), Start + 1s);
    const auto reports = router.takeCrashReports();
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].fingerprint() == CrashingRequest);
    CHECK(reports[0].target_incarnation() == 1);
    CHECK(reports[0].finding() == proto::TARGET_CRASHED);
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

// Guards against cleared requests that leave no room for harmful ones.
TEST_CASE("suspects that are cleared make room for new ones")
{
    routing::SuspectOptions options;
    options.suspectLimit = 4;
    SuspectList list(options);
    for (const char name : {'p', 'q', 'r'}) {
        list.onConnectionBroken(fingerprintOf(name), FirstTarget, Start);
    }
    list.onAnswered(FirstTarget, Later, Later);
    list.onConnectionBroken(CrashingRequest, SecondTarget, Later);
    list.onConnectionBroken(ConcurrentRequest, SecondTarget, Later);
    CHECK(list.treatmentOf(ConcurrentRequest, Later) == SuspectTreatment::Unrestricted);
    list.tick(Start + 30s);
    list.onConnectionBroken(ConcurrentRequest, SecondTarget, Start + 30s);
    CHECK(list.size() == 2);
    CHECK(list.treatmentOf(CrashingRequest, Start + 30s) == SuspectTreatment::PreferExclusive);
    CHECK(list.treatmentOf(ConcurrentRequest, Start + 30s) == SuspectTreatment::PreferExclusive);
}

// Guards against clearing a request because a failing target answered it with an error.
TEST_CASE("an answer that states a failure of the target does not clear a suspect")
{
    TestRouter router = makeRouter();
    addTargets(router, 4);
    const routing::Choice broken = send(router, requestOf('c'), Start);
    router.onFailed(broken.ticket, RetryReason::ConnectionBroken, Start);
    router.takeCrashReports();
    const routing::Choice failed = send(router, requestOf('c'), Start);
    router.onFinished(failed.ticket, {.failed = true}, Start);
    CHECK(router.takeCrashReports().empty());
    CHECK(router.crashSuspects() == 1);
}

// Guards against losing the request that crashed a target because its caller left first, or because
// it was retried elsewhere before the connection broke.
TEST_CASE("a request that ended without an answer is a suspect once its target is gone")
{
    TestRouter router = makeRouter();
    addTargets(router, 1);
    const routing::Choice left = send(router, requestOf('l'), Start);
    const routing::Choice stalled = send(router, requestOf('s'), Start);
    const routing::Choice broken = send(router, requestOf('c'), Start);
    router.onCancelled(left.ticket, Start);
    router.onFailed(stalled.ticket, RetryReason::Stalled, Start);
    router.onFailed(broken.ticket, RetryReason::MissingTerminator, Start);
    CHECK(router.crashSuspects() == 1);
    proto::TargetRecord gone = readyRecord("t0");
    gone.set_state(proto::GONE);
    router.onTarget(gone, Start + 5s);
    CHECK(router.crashSuspects() == 3);
}

// Guards against taking the end of a target that leaves as planned for a crash.
TEST_CASE("a connection that breaks at a leaving target makes no suspect")
{
    TestRouter router = makeRouter();
    addTargets(router, 2);
    const routing::Choice before = send(router, requestOf('b'), Start);
    const routing::Choice after = send(router, requestOf('a'), Start);
    router.onFailed(before.ticket, RetryReason::ConnectionBroken, Start);
    for (const char *target : {"t0", "t1"}) {
        proto::TargetRecord leaving = readyRecord(target);
        leaving.set_state(proto::LEAVING);
        router.onTarget(leaving, Start + 1s);
    }
    router.onFailed(after.ticket, RetryReason::ConnectionBroken, Start + 2s);
    CHECK(router.crashSuspects() == 0);
}

// Guards against sending a request to more targets while proof of its crashes is delayed.
TEST_CASE("routers that exchange reports stop a crashing request however late targets are gone")
{
    constexpr int Routers = 8;
    constexpr size_t AllowedRuns = 3;
    constexpr auto SpreadTime = 3s;
    for (const auto goneAfter : {3s, 12s, 60s}) {
        for (const bool keepsId : {false, true}) {
            CrashingFleet fleet(Routers, goneAfter, keepsId);
            fleet.runFor(3min);
            INFO("gone after " << goneAfter.count() << " s, keeps its id: " << keepsId);
            REQUIRE(fleet.crashTimes().size() >= 2);
            CHECK(fleet.crashesLaterThan(SpreadTime) <= AllowedRuns);
        }
    }
}
