#include "samphirebridge/forwarding/answercheck.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using forwarding::AnswerClass;
using forwarding::AnswerMetadata;
using forwarding::classifyAnswer;

TEST_CASE("only a signed success of the same request is relayed")
{
    CHECK(classifyAnswer("a", 200, {"a", true, false}) == AnswerClass::Relay);
    CHECK(classifyAnswer("a", 200, {"", true, false}) == AnswerClass::Relay);
    CHECK(classifyAnswer("a", 200, {"a", false, false}) == AnswerClass::Unusable);
    CHECK(classifyAnswer("a", 200, {"b", true, false}) == AnswerClass::Foreign);
}

TEST_CASE("a target's refusal to run a request is distinguished from a failure")
{
    CHECK(classifyAnswer("a", 503, {"a", false, true}) == AnswerClass::NotRun);
    CHECK(classifyAnswer("a", 421, {"", false, false}) == AnswerClass::NotRun);
    CHECK(classifyAnswer("a", 500, {"a", true, false}) == AnswerClass::Failed);
    CHECK(classifyAnswer("a", 404, {"a", true, false}) == AnswerClass::Relay);
}

TEST_CASE(
    "a status that promises that a request did not run is not relayed unless the target says so")
{
    for (const int status : {408, 429, 503}) {
        CHECK(classifyAnswer("a", status, {"a", true, false}) == AnswerClass::Unusable);
    }
}
