#include "samphirebridge/forwarding/answercheck.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using forwarding::AnswerTerms;
using forwarding::AnswerVerdict;
using forwarding::judgeAnswer;

TEST_CASE("only a signed success of the same request is relayed")
{
    CHECK(judgeAnswer("a", 200, {"a", true, false}) == AnswerVerdict::Relay);
    CHECK(judgeAnswer("a", 200, {"", true, false}) == AnswerVerdict::Relay);
    CHECK(judgeAnswer("a", 200, {"a", false, false}) == AnswerVerdict::Unusable);
    CHECK(judgeAnswer("a", 200, {"b", true, false}) == AnswerVerdict::Foreign);
}

TEST_CASE("a target's refusal to run is told from its failures")
{
    CHECK(judgeAnswer("a", 503, {"a", false, true}) == AnswerVerdict::NotRun);
    CHECK(judgeAnswer("a", 421, {"", false, false}) == AnswerVerdict::NotRun);
    CHECK(judgeAnswer("a", 500, {"a", true, false}) == AnswerVerdict::Failed);
    CHECK(judgeAnswer("a", 404, {"a", true, false}) == AnswerVerdict::Relay);
}

TEST_CASE("a status that promises that nothing ran is not relayed for a request that ran")
{
    for (const int status : {408, 429, 503}) {
        CHECK(judgeAnswer("a", status, {"a", true, false}) == AnswerVerdict::Unusable);
    }
}
