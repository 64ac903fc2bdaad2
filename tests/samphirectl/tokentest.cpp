#include "samphirebridge/samphirectl/token.h"

#include "samphirebridge/core/errors.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <random>

using namespace samphirebridge;
using namespace samphirebridge::samphirectl;

TEST_CASE("the token is the file's first line, or the variable's value if no file is given")
{
    const std::filesystem::path file
        = std::filesystem::temp_directory_path()
          / ("samphirectl-token-" + std::to_string(std::random_device{}()));
    std::ofstream(file) << "from-file\r\nsecond line\n";
    CHECK(*readToken(file, "from-variable") == "from-file");
    CHECK(*readToken("", "from-variable") == "from-variable");
    std::ofstream(file) << "bad token\n";
    CHECK(core::errorCodeOf(readToken(file, "x").status()) == core::ErrorCode::Unauthenticated);
    std::filesystem::remove(file);
}

TEST_CASE("an unusable token gives Unauthenticated, and the message never contains the token")
{
    for (const char *variable : {static_cast<const char *>(nullptr), "", "s3\ncret", "s3\xFF"}) {
        const absl::Status status = readToken("", variable).status();
        CHECK(core::errorCodeOf(status) == core::ErrorCode::Unauthenticated);
        CHECK(core::messageOf(status).find("s3") == std::string::npos);
    }
    CHECK(core::errorCodeOf(readToken("/no/such/file", "x").status())
          == core::ErrorCode::Unauthenticated);
}
