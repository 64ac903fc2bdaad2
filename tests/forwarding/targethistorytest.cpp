// At how many targets a request runs, whatever its targets answer and whenever they are silent.
#include "samphirebridge/forwarding/targethistory.h"
#include "tests/forwarding/forwardfixture.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace samphirebridge;
using namespace std::chrono_literals;
using forwarding::AttemptRole;
using forwarding::ForwardFixture;
using forwarding::RequestKind;
using forwarding::TargetHistory;

namespace
{

const core::TargetId First("t1");
const core::TargetId Second("t2");
const core::TargetId Third("t3");

// A request whose targets send the parts of their answers, fall silent, fail and refuse in an order
// that a seed draws.
class RandomRequest
{
public:
    RandomRequest(uint64_t seed, RequestKind kind, uint32_t maximumTargets)
        : random(seed)
        , request(kind, true)
    {
        for (int number = 3; number <= 8; ++number) {
            this->request.host.addTarget("t" + std::to_string(number));
        }
        this->request.host.targets.setRetryShare(100, 100);
        this->request.route.maximumTargets = maximumTargets;
        this->request.route.timeout = 60s;
        this->request.start();
    }

    void play()
    {
        constexpr int MaximumSteps = 400;
        for (int step = 0; step < MaximumSteps && !this->request.machine->done(); ++step) {
            this->takeStep();
        }
    }

    // Returns the targets that may have run the request.
    [[nodiscard]] std::set<std::string> targetsWithRun() const
    {
        std::set<std::string> targets;
        for (const auto &[number, target] : this->possibleRuns) {
            targets.insert(target);
        }
        return targets;
    }

private:
    void takeStep()
    {
        const auto &open = this->request.host.open;
        const bool hasStandby = open.contains(AttemptRole::Standby);
        const bool isStandby = hasStandby && this->random() % 2 == 0;
        const AttemptRole role = isStandby ? AttemptRole::Standby : AttemptRole::Current;
        const size_t number = open.at(role);
        auto &machine = *this->request.machine;
        if (!this->sent.contains(number)) {
            this->connect(number, role);
            return;
        }
        switch (this->random() % 10) {
        case 0:
            machine.onFailed({core::RetryReason::ConnectionBroken, true}, role);
            return;
        case 1:
            this->refuse(number, role);
            return;
        case 2:
            (void)this->receiveHead(number, role);
            return;
        case 3:
        case 4:
            if (this->receiveHead(number, role)) {
                machine.onBody(ForwardFixture::event(++this->lastEvent), role);
            }
            return;
        default:
            this->request.host.time += std::chrono::milliseconds(this->random() % 900);
            machine.onTimer();
        }
    }

    void connect(size_t number, AttemptRole role)
    {
        if (this->random() % 8 == 0) {
            this->request.machine->onFailed({core::RetryReason::ConnectFailed, false}, role);
            return;
        }
        this->sent.insert(number);
        this->possibleRuns[number] = this->request.host.sentTo[number];
        this->request.machine->onSent(role);
    }

    // The target answers that it has not run the request, unless it has begun to answer.
    void refuse(size_t number, AttemptRole role)
    {
        if (this->answered.contains(number)) {
            return;
        }
        this->possibleRuns.erase(number);
        net::ResponseHead answer;
        answer.status = 503;
        (void)this->request.machine->onAnswer(answer, {"id-1", false, true}, role);
    }

    // Returns false if the machine has abandoned the attempt.
    bool receiveHead(size_t number, AttemptRole role)
    {
        if (!this->answered.insert(number).second) {
            return true;
        }
        net::ResponseHead answer;
        answer.status = 200;
        answer.framing = net::BodyFraming::Chunked;
        return this->request.machine->onAnswer(answer, {"id-1", true, false}, role)
               == forwarding::AnswerHandling::Accept;
    }

    std::mt19937_64 random;
    ForwardFixture request;
    // Indices of RecordingHost::sentTo.
    std::set<size_t> sent;
    std::set<size_t> answered;
    std::map<size_t, std::string> possibleRuns;
    int lastEvent = 0;
};

} // namespace

// Guards against streams that run at more targets than their route allows: a standby that had begun
// to run when it was cancelled was not counted, and the next silence brought another one.
TEST_CASE("a request runs at no more targets than its route allows, whenever its targets answer")
{
    for (const RequestKind kind : {RequestKind::Stream, RequestKind::Repeatable}) {
        for (const uint32_t maximum : {1U, 2U, 3U}) {
            for (uint64_t seed = 1; seed <= 300; ++seed) {
                RandomRequest request(seed, kind, maximum);
                request.play();
                INFO("kind " << static_cast<int>(kind) << " seed " << seed);
                REQUIRE(request.targetsWithRun().size() <= maximum);
            }
        }
    }
}

// Guards against the same for a standby that is cancelled before anything of its answer has come:
// its target may run it all the same.
TEST_CASE("a standby that was sent and cancelled counts, whether or not its head has come")
{
    const bool hasHead = GENERATE(false, true);
    ForwardFixture request(RequestKind::Stream, true);
    request.host.addTarget("t3");
    request.startAndFallSilent();
    const std::string standby = request.host.sentTo.back();
    if (hasHead) {
        REQUIRE(request.receiveStandbyHead(200) == forwarding::AnswerHandling::Accept);
    }
    request.machine->onBody(ForwardFixture::event(2));
    REQUIRE(request.host.abandonedStandbys == 1);
    request.beSilent(2s);
    REQUIRE(request.host.sentTo.size() == 3);
    CHECK(request.host.lastRole == AttemptRole::Standby);
    CHECK(request.host.sentTo.back() == standby);
}

// Guards against a stream that is cut, because its limit was used up by a standby that its target's
// pause had made superfluous.
TEST_CASE("a stream at its limit goes on at a target that counts already and did not fail it")
{
    ForwardFixture request(RequestKind::Stream, true);
    request.host.addTarget("t3");
    request.startAndFallSilent();
    const std::string standby = request.host.sentTo.back();
    request.machine->onBody(ForwardFixture::event(2));
    request.machine->onFailed({core::RetryReason::ConnectionBroken, true});
    REQUIRE_FALSE(request.machine->done());
    REQUIRE(request.host.sentTo.size() == 3);
    CHECK(request.host.sentTo.back() == standby);
    CHECK(request.host.lastRole == AttemptRole::Current);
    request.reportSent();
    request.machine->onFailed({core::RetryReason::ConnectionBroken, true});
    CHECK(request.machine->done());
    CHECK(request.host.aborted);
}

TEST_CASE("a target counts once, and not while it has only refused")
{
    TargetHistory history(2);
    CHECK_FALSE(history.mayHaveRun());
    CHECK(history.nextTargets({}).any);
    history.recordFailure(Third);
    CHECK_FALSE(history.mayHaveRun());
    history.recordPossibleRun(First);
    history.recordPossibleRun(First);
    CHECK(history.mayHaveRun());
    CHECK(history.nextTargets({}).any);
    CHECK(history.nextTargets(std::vector{First}).any);
    CHECK(history.nextTargets(std::vector{Second}).only == std::vector{First});
    CHECK_FALSE(history.nextTargets(std::vector{Second}).any);
}

TEST_CASE("a target that failed the request is not among those that may get it at the limit")
{
    TargetHistory history(2);
    history.recordPossibleRun(First);
    history.recordFailure(First);
    history.recordPossibleRun(Second);
    CHECK(history.nextTargets({}).only == std::vector{Second});
    history.recordFailure(Second);
    CHECK(history.nextTargets({}).isNone());
}
