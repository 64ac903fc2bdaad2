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
