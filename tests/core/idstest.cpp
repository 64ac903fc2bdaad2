#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/errors.h"

#include <catch2/catch.hpp>

using namespace samphirebridge::core;

TEST_CASE("names of accepted characters and length pass, and all others are InvalidName")
{
    CHECK(checkName("ec-sierra/quito_1.a").ok());
    CHECK(errorCodeOf(checkName("")) == ErrorCode::InvalidName);
    CHECK(errorCodeOf(checkName("a b")) == ErrorCode::InvalidName);
    CHECK(errorCodeOf(checkName("\xff")) == ErrorCode::InvalidName);
    CHECK(checkName(std::string(MaximumIdLength, 'a')).ok());
    CHECK(errorCodeOf(checkName(std::string(MaximumIdLength + 1, 'a'))) == ErrorCode::InvalidName);
}
