#include "samphirebridge/core/errors.h"

#include <catch2/catch.hpp>

using namespace samphirebridge::core;

TEST_CASE("an error keeps its code and message through absl::Status")
{
    const absl::Status status = makeError(ErrorCode::VersionConflict, "version 4, expected 3");
    CHECK(errorCodeOf(status) == ErrorCode::VersionConflict);
    CHECK(messageOf(status) == "version 4, expected 3");
    CHECK(errorName(errorCodeOf(status)) == "version_conflict");
}

TEST_CASE("a status without an error code is internal, and OK has the code none")
{
    CHECK(errorCodeOf(absl::InternalError("x")) == ErrorCode::Internal);
    CHECK(errorCodeOf(absl::OkStatus()) == ErrorCode::None);
}
