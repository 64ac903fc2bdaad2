// Tests the control instances on real processes when they are killed, lose their disk or are
// isolated, and when operators send conflicting changes.
#include "tests/support/fleet.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <csignal>
#include <thread>

using namespace samphirebridge;
using namespace samphirebridge::testing;

namespace
{

int indexOf(const std::string &instance)
{
    return std::stoi(instance.substr(1));
}

absl::StatusOr<http::Answer> putManifest(
    Fleet &fleet, int index, const std::string &manifest, int expected, const std::string &change)
{
    const std::string path
        = fmt::format("/v1/manifest?expected_version={}&change_id={}", expected, change);
    return fleet.call(index, "PUT", path, OperatorToken, manifest);
}

int64_t versionAt(Fleet &fleet, int index)
{
    return static_cast<int64_t>(fleet.metric(index, "samphirebridge_manifest_version"));
}

} // namespace

TEST_CASE(
    "of two concurrent changes to one version one is accepted and the other gets the new version")
{
    constexpr uint16_t Base = 23000;
    Fleet fleet({.basePort = Base});
    fleet.start();
    for (int index = 0; index < 3; ++index) {
        fleet.waitUntilReady(index);
    }
    absl::StatusOr<http::Answer> first;
    absl::StatusOr<http::Answer> second;
    std::thread secondOperator(
        [&] { second = putManifest(fleet, 1, testManifest(2000), 0, "second"); });
    first = putManifest(fleet, 0, testManifest(1000), 0, "first");
    secondOperator.join();
    REQUIRE(first.ok());
    REQUIRE(second.ok());
    INFO(first->body << second->body);
    CHECK(first->status + second->status == 200 + 409);
    const auto &conflicting = first->status == 409 ? *first : *second;
    const auto problem = nlohmann::json::parse(conflicting.body);
    CHECK(problem.at("code") == "version_conflict");
    CHECK(problem.at("current_version") == 1);

    const bool firstAccepted = first->status == 200;
    const auto resend = firstAccepted ? putManifest(fleet, 2, testManifest(1000), 0, "first")
                                      : putManifest(fleet, 2, testManifest(2000), 0, "second");
    REQUIRE(resend.ok());
    INFO(resend->body);
    CHECK(resend->status == 200);
    const auto confirmed = nlohmann::json::parse(resend->body);
    CHECK(confirmed.at("version") == 1);
    CHECK(confirmed.at("resend") == true);

    const auto reused
        = putManifest(fleet, 2, testManifest(3000), 0, firstAccepted ? "first" : "second");
    REQUIRE(reused.ok());
    CHECK(nlohmann::json::parse(reused->body).at("code") == "change_id_reused");
}

TEST_CASE("the newest manifest is in force after many changes and a restart of all instances")
{
    constexpr uint16_t Base = 23100;
    constexpr int Changes = 300;
    Fleet fleet({.basePort = Base});
    fleet.start();
    for (int index = 0; index < 3; ++index) {
        fleet.waitUntilReady(index);
    }
    for (int version = 0; version < Changes; ++version) {
        const auto answer = putManifest(fleet,
                                        version % 3,
                                        testManifest(100'000 + version),
                                        version,
                                        fmt::format("change-{}", version));
        REQUIRE(answer.ok());
        INFO(answer->body);
        REQUIRE(answer->status == 200);
    }
    for (int index = 0; index < 3; ++index) {
        fleet.instance(index).kill();
    }
    for (int index = 0; index < 3; ++index) {
        fleet.startInstance(index);
    }
    for (int index = 0; index < 3; ++index) {
        fleet.waitUntilReady(index);
        CHECK(versionAt(fleet, index) == Changes);
    }
    CHECK(fleet.readBudget(1, "budget-a").at("purchased_tokens") == 100'000 + Changes - 1);
}

TEST_CASE("after the leader is killed the other instances accept changes")
{
    constexpr uint16_t Base = 23200;
    Fleet fleet({.basePort = Base});
    fleet.start();
    for (int index = 0; index < 3; ++index) {
        fleet.waitUntilReady(index);
    }
    fleet.applyManifest(0, testManifest(1000), 0);
    const int leader = indexOf(fleet.leader(0));
    fleet.instance(leader).kill();
    const int survivor = (leader + 1) % 3;
    Fleet::waitFor("a change is accepted by the survivors", [&] {
        const auto answer = putManifest(fleet, survivor, testManifest(2000), 1, "after-kill");
        return answer.ok() && answer->status == 200;
    });
    fleet.startInstance(leader);
    fleet.waitUntilReady(leader);
    CHECK(versionAt(fleet, leader) == 2);
}

TEST_CASE("a voter that lost its disk is replaced under a new name and no accepted change is lost")
{
    constexpr uint16_t Base = 23300;
    Fleet fleet({.basePort = Base});
    fleet.start();
    for (int index = 0; index < 3; ++index) {
        fleet.waitUntilReady(index);
    }
    fleet.applyManifest(0, testManifest(1000), 0);
    const int leader = indexOf(fleet.leader(0));
    const int lost = (leader + 1) % 3;
    const int other = (leader + 2) % 3;
    fleet.instance(lost).kill();
    fleet.loseDisk(lost);
    fleet.startInstance(lost);
    const std::string oldName = fmt::format("i{}/0", lost);
    Fleet::waitFor("the new voter replaces the old one", [&] {
        const auto answer = fleet.call(leader, "GET", "/v1/status", OperatorToken);
        if (!answer.ok() || answer->status != 200) {
            return false;
        }
        const auto status = nlohmann::json::parse(answer->body);
        const auto &voters = status.at("voters");
        const bool oldRemoved = std::find(voters.begin(), voters.end(), oldName) == voters.end();
        return oldRemoved && voters.size() == 3 && status.at("learners").empty();
    });
    // A second instance ends right after the replacement: the other two are still a quorum.
    fleet.instance(other).kill();
    Fleet::waitFor("the two remaining voters accept a change", [&] {
        const auto answer = putManifest(fleet, lost, testManifest(2000), 1, "after-repair");
        return answer.ok() && answer->status == 200;
    });
    CHECK(fleet.readBudget(leader, "budget-a").at("purchased_tokens") == 2000);
}

TEST_CASE("an isolated leader confirms no change or read while the majority accepts changes")
{
    constexpr uint16_t Base = 23400;
    Fleet fleet({.basePort = Base, .relays = true});
    fleet.start();
    for (int index = 0; index < 3; ++index) {
        fleet.waitUntilReady(index);
    }
    fleet.applyManifest(0, testManifest(1000), 0);
    const int leader = indexOf(fleet.leader(0));
    const int survivor = (leader + 1) % 3;
    fleet.isolate(leader);
    Fleet::waitFor("the majority accepts a change", [&] {
        const auto answer = putManifest(fleet, survivor, testManifest(2000), 1, "majority");
        return answer.ok() && answer->status == 200;
    });
    const auto refused = putManifest(fleet, leader, testManifest(3000), 1, "minority");
    REQUIRE(refused.ok());
    INFO(refused->body);
    CHECK((refused->status == 503 || refused->status == 504));
    const auto read = fleet.call(leader, "GET", "/v1/budgets", OperatorToken);
    REQUIRE(read.ok());
    CHECK(read->status == 503);
    fleet.rejoin(leader);
    Fleet::waitFor("the isolated instance has the majority's version in force",
                   [&] { return versionAt(fleet, leader) == 2; });
    CHECK(fleet.readBudget(leader, "budget-a").at("purchased_tokens") == 2000);
}
