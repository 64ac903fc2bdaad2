#include "samphirebridge/forwarding/answercheck.h"

#include "samphirebridge/core/errors.h"

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

// Guards against a status that callers can't interpret, also if the target says that it did not run
// the request or answers another one: nothing that such a head states is to be trusted.
TEST_CASE("an answer whose status is no final status of HTTP is not relayed")
{
    for (const int status : {-1, 0, 20, 99, 100, 101, 199, 600, 799, 999, 1000}) {
        CHECK(classifyAnswer("a", status, {"a", true, false}) == AnswerClass::Unusable);
        CHECK(classifyAnswer("a", status, {"a", true, true}) == AnswerClass::Unusable);
        CHECK(classifyAnswer("a", status, {"b", true, false}) == AnswerClass::Unusable);
    }
    CHECK(classifyAnswer("a", 599, {"a", true, false}) == AnswerClass::Failed);
}

// Guards against a malformed answer that counts as a crash, which the request is then suspected of.
TEST_CASE("a malformed answer is told apart from a broken connection")
{
    const auto reasonOf = [](core::ErrorCode code) {
        return forwarding::failureReasonOf(core::makeError(code, "ended"));
    };
    CHECK(reasonOf(core::ErrorCode::InvalidRequest) == core::RetryReason::ForeignAnswer);
    CHECK(reasonOf(core::ErrorCode::ConnectionBroken) == core::RetryReason::ConnectionBroken);
    // The instance ended it, at its own limit: this is no crash either.
    CHECK(reasonOf(core::ErrorCode::TooLarge) == core::RetryReason::AnswerTooLong);
}
