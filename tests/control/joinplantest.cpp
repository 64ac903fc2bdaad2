#include "samphirebridge/control/joinplan.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using Kind = consensus::MemberChangeKind;

namespace
{

proto::Configuration makeConfiguration(const std::vector<std::string> &voters,
                                       const std::vector<std::string> &learners)
{
    proto::Configuration result;
    for (const std::string &voter : voters) {
        result.add_voters(voter);
    }
    for (const std::string &learner : learners) {
        result.add_learners(learner);
    }
    return result;
}

} // namespace

TEST_CASE("a member that lost its disk joins as a learner, replaces its old generation, then votes")
{
    const auto notMember = makeConfiguration({"a/0", "b/0", "c/0"}, {});
    auto step = control::nextJoinStep(notMember, "c/7", false);
    REQUIRE(step);
    CHECK(step->kind == Kind::AddLearner);
    CHECK(step->member == "c/7");

    const auto asLearner = makeConfiguration({"a/0", "b/0", "c/0"}, {"c/7"});
    CHECK_FALSE(control::nextJoinStep(asLearner, "c/7", false));
    step = control::nextJoinStep(asLearner, "c/7", true);
    REQUIRE(step);
    CHECK(step->kind == Kind::Remove);
    CHECK(step->member == "c/0");

    const auto oldRemoved = makeConfiguration({"a/0", "b/0"}, {"c/7"});
    step = control::nextJoinStep(oldRemoved, "c/7", true);
    REQUIRE(step);
    CHECK(step->kind == Kind::Promote);

    CHECK_FALSE(control::nextJoinStep(makeConfiguration({"a/0", "b/0", "c/7"}, {}), "c/7", true));
}

TEST_CASE("a learner that is caught up replaces a silent voter")
{
    // One of five voters is lost for good. A sixth voter would raise the quorum to four, so that
    // two more lost disks among the remaining five would stop the group for ever.
    const auto five = makeConfiguration({"a/0", "b/0", "c/0", "d/0", "e/0"}, {"f/3"});
    auto step = control::nextJoinStep(five, "f/3", true, "b/0");
    REQUIRE(step);
    CHECK(step->kind == Kind::Remove);
    CHECK(step->member == "b/0");

    const auto four = makeConfiguration({"a/0", "c/0", "d/0", "e/0"}, {"f/3"});
    step = control::nextJoinStep(four, "f/3", true, "a/0");
    REQUIRE(step);
    CHECK(step->kind == Kind::Promote);
    CHECK(step->member == "f/3");
}

TEST_CASE("a silent voter stays until a learner is ready to replace it")
{
    const auto five = makeConfiguration({"a/0", "b/0", "c/0", "d/0", "e/0"}, {"f/3"});
    CHECK_FALSE(control::nextJoinStep(five, "f/3", false, "b/0"));
    CHECK_FALSE(control::nextJoinStep(five, "c/0", true, "b/0"));
}

TEST_CASE("a learner is promoted if no voter is silent")
{
    const auto step
        = control::nextJoinStep(makeConfiguration({"a/0", "b/0", "c/0"}, {"d/2"}), "d/2", true);
    REQUIRE(step);
    CHECK(step->kind == Kind::Promote);
}

TEST_CASE("a silent voter is removed from an even number of voters of at least four")
{
    const auto six = makeConfiguration({"a/0", "b/0", "c/0", "d/0", "e/0", "f/3"}, {});
    const auto step = control::nextRemovalStep(six, "a/0");
    REQUIRE(step);
    CHECK(step->kind == Kind::Remove);
    CHECK(step->member == "a/0");
    CHECK_FALSE(control::nextRemovalStep(six, std::nullopt));
    const auto five = makeConfiguration({"a/0", "b/0", "c/0", "d/0", "e/0"}, {});
    CHECK_FALSE(control::nextRemovalStep(five, "a/0"));
    CHECK_FALSE(control::nextRemovalStep(makeConfiguration({"a/0", "b/0"}, {}), "a/0"));
}
