#include "samphirebridge/samphirectl/token.h"

#include "samphirebridge/core/errors.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <random>

using namespace samphirebridge;
using namespace samphirebridge::samphirectl;

TEST_CASE("the token is the file's first line, or without a file the variable")
{
    const std::filesystem::path file
        = std::filesystem::temp_directory_path()
          / ("samphirectl-token-" + std::to_string(std::random_device{}()));
    std::ofstream(file) << "from-file\r\nsecond line\n";
    CHECK(*findToken(file, "from-variable") == "from-file");
    CHECK(*findToken("", "from-variable") == "from-variable");
    std::ofstream(file) << "bad token\n";
    CHECK(core::errorCodeOf(findToken(file, "x").status()) == core::ErrorCode::Unauthenticated);
    std::filesystem::remove(file);
}

TEST_CASE("without a usable token there is a typed error that never shows it")
{
    for (const char *variable : {static_cast<const char *>(nullptr), "", "s3\ncret", "s3\xFF"}) {
        const absl::Status status = findToken("", variable).status();
        CHECK(core::errorCodeOf(status) == core::ErrorCode::Unauthenticated);
        CHECK(core::messageOf(status).find("s3") == std::string::npos);
    }
    CHECK(core::errorCodeOf(findToken("/no/such/file", "x").status())
          == core::ErrorCode::Unauthenticated);
}
