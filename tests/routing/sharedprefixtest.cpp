// Tests the routing of requests with a shared prefix by rendezvous hashing: prompts about a few
// hundred subjects, each requested every few seconds through instances that don't communicate. If
// their choices differed, each subject's prompt would be prefilled and cached at several targets.
#include "samphirebridge/routing/router.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace samphirebridge;
using namespace std::chrono_literals;
using routing::Router;

namespace
{

constexpr int TargetCount = 18;
constexpr int SubjectCount = 300;

std::vector<std::unique_ptr<Router<std::mt19937_64>>> makeInstances(int count)
{
    std::vector<std::unique_ptr<Router<std::mt19937_64>>> instances;
    proto::TargetKind kind;
    kind.set_id("letters");
    kind.set_service("letters");
    for (int instance = 0; instance < count; ++instance) {
        auto router = std::make_unique<Router<std::mt19937_64>>(
            core::InstanceId("i" + std::to_string(instance)),
            routing::RoutingOptions(),
            std::mt19937_64(instance));
        router->setKinds(std::vector{kind});
        for (int target = 0; target < TargetCount; ++target) {
            proto::TargetRecord record;
            record.set_id("t" + std::to_string(target));
            record.set_incarnation(1);
            record.set_address("10.0.0.1:80");
            record.set_kind("letters");
            record.set_state(proto::READY);
            record.mutable_load()->set_capacity(128);
            router->onTarget(record, core::TimePoint(1s));
        }
        instances.push_back(std::move(router));
    }
    return instances;
}

routing::RouteRequest requestAbout(int subject, int number, uint32_t ownTokens)
{
    routing::RouteRequest request;
    request.service = core::ServiceId("letters");
    request.fingerprint = std::to_string(number);
    request.prefix
        = {1, 1'000U + static_cast<uint64_t>(subject), 1'000'000U + static_cast<uint64_t>(number)};
    request.prefixTokens = {512, 4870, ownTokens};
    request.sharedBlocks = 2;
    request.rendezvousSlack = 200ms;
    request.promptTokens = 512 + 4870 + ownTokens;
    return request;
}

} // namespace

TEST_CASE("instances that do not communicate choose the same target for a shared prefix")
{
    auto instances = makeInstances(6);
    std::mt19937_64 random(7);
    std::map<int, std::set<std::string>> targetsBySubject;
    core::TimePoint now(10s);
    for (int number = 0; number < 3'000; ++number) {
        const int subject = static_cast<int>(random() % SubjectCount);
        // Long-tailed prompt lengths; the longest take longer to prefill than rendezvousSlack.
        const auto ownTokens
            = static_cast<uint32_t>(500 + random() % 6'000 + (random() % 20 == 0 ? 40'000 : 0));
        auto &router = *instances[random() % instances.size()];
        const routing::Decision decision
            = router.choose(requestAbout(subject, number, ownTokens), now);
        REQUIRE(std::holds_alternative<routing::Choice>(decision));
        const routing::Choice choice = std::get<routing::Choice>(decision);
        targetsBySubject[subject].insert(choice.target.value);
        router.onSent(choice.ticket, now);
        router.onFirstToken(choice.ticket, now + 60ms + std::chrono::microseconds(ownTokens * 9));
        router.onFinished(choice.ticket, {.outputTokens = 80}, now + 1s);
        now += 25ms;
    }
    size_t pairsOfSubjectAndTarget = 0;
    std::map<std::string, int> subjectsByFirstTarget;
    for (const auto &[subject, targets] : targetsBySubject) {
        pairsOfSubjectAndTarget += targets.size();
        ++subjectsByFirstTarget[*targets.begin()];
    }
    CHECK(pairsOfSubjectAndTarget <= targetsBySubject.size() * 11 / 10);
    CHECK(subjectsByFirstTarget.size() == TargetCount);
}

TEST_CASE("requests with a shared prefix go to the next target when the first has a backlog")
{
    auto instances = makeInstances(1);
    Router<std::mt19937_64> &router = *instances.front();
    std::set<std::string> usedTargets;
    for (int number = 0; number < 40; ++number) {
        const routing::Decision decision
            = router.choose(requestAbout(1, number, 6'000), core::TimePoint(10s));
        REQUIRE(std::holds_alternative<routing::Choice>(decision));
        usedTargets.insert(std::get<routing::Choice>(decision).target.value);
        router.onSent(std::get<routing::Choice>(decision).ticket, core::TimePoint(10s));
    }
    CHECK(usedTargets.size() > 1);
    CHECK(usedTargets.size() <= 4);
}
