#include "samphirebridge/control/joinplan.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using Kind = consensus::MemberChangeKind;

namespace
{

proto::Configuration configuration(const std::vector<std::string> &voters,
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

TEST_CASE("a member that lost its disk learns first, then its former self goes, then it votes")
{
    const auto stranger = configuration({"a/0", "b/0", "c/0"}, {});
    auto step = control::nextJoinStep(stranger, "c/7", false);
    REQUIRE(step);
    CHECK(step->kind == Kind::AddLearner);
    CHECK(step->member == "c/7");

    const auto learning = configuration({"a/0", "b/0", "c/0"}, {"c/7"});
    CHECK_FALSE(control::nextJoinStep(learning, "c/7", false));
    step = control::nextJoinStep(learning, "c/7", true);
    REQUIRE(step);
    CHECK(step->kind == Kind::Remove);
    CHECK(step->member == "c/0");

    const auto alone = configuration({"a/0", "b/0"}, {"c/7"});
    step = control::nextJoinStep(alone, "c/7", true);
    REQUIRE(step);
    CHECK(step->kind == Kind::Promote);

    CHECK_FALSE(control::nextJoinStep(configuration({"a/0", "b/0", "c/7"}, {}), "c/7", true));
}

TEST_CASE("a newcomer takes the place of a voter that is not heard any more")
{
    // Five voters of which one is gone for good: with the newcomer they would be six, and two lost
    // disks among the five that are left would stop them for ever.
    const auto five = configuration({"a/0", "b/0", "c/0", "d/0", "e/0"}, {"f/3"});
    auto step = control::nextJoinStep(five, "f/3", true, "b/0");
    REQUIRE(step);
    CHECK(step->kind == Kind::Remove);
    CHECK(step->member == "b/0");

    const auto four = configuration({"a/0", "c/0", "d/0", "e/0"}, {"f/3"});
    step = control::nextJoinStep(four, "f/3", true, "a/0");
    REQUIRE(step);
    CHECK(step->kind == Kind::Promote);
    CHECK(step->member == "f/3");
}

TEST_CASE("a silent voter stays while nobody is ready to take its place")
{
    const auto five = configuration({"a/0", "b/0", "c/0", "d/0", "e/0"}, {"f/3"});
    CHECK_FALSE(control::nextJoinStep(five, "f/3", false, "b/0"));
    CHECK_FALSE(control::nextJoinStep(five, "c/0", true, "b/0"));
}

TEST_CASE("a newcomer is promoted beside voters that are all heard")
{
    const auto step
        = control::nextJoinStep(configuration({"a/0", "b/0", "c/0"}, {"d/2"}), "d/2", true);
    REQUIRE(step);
    CHECK(step->kind == Kind::Promote);
}

TEST_CASE("of an even number of voters one that is silent goes, since its place was taken")
{
    const auto six = configuration({"a/0", "b/0", "c/0", "d/0", "e/0", "f/3"}, {});
    const auto step = control::nextTrimStep(six, "a/0");
    REQUIRE(step);
    CHECK(step->kind == Kind::Remove);
    CHECK(step->member == "a/0");
    CHECK_FALSE(control::nextTrimStep(six, std::nullopt));
    const auto five = configuration({"a/0", "b/0", "c/0", "d/0", "e/0"}, {});
    CHECK_FALSE(control::nextTrimStep(five, "a/0"));
    CHECK_FALSE(control::nextTrimStep(configuration({"a/0", "b/0"}, {}), "a/0"));
}
