#include "samphirebridge/core/reasons.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace samphirebridge::core;

TEST_CASE("each refusal reason has a unique name and an HTTP error status")
{
    std::set<std::string_view> names;
    for (const RefusalReason reason : AllRefusalReasons) {
        names.insert(refusalName(reason));
        CHECK(refusalStatus(reason) >= 400);
    }
    CHECK(names.size() == AllRefusalReasons.size());
}

TEST_CASE("each retry reason has a unique name")
{
    std::set<std::string_view> names;
    for (const RetryReason reason : AllRetryReasons) {
        names.insert(retryName(reason));
    }
    CHECK(names.size() == AllRetryReasons.size());
}
