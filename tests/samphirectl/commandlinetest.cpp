#include "samphirebridge/samphirectl/commandline.h"

#include "samphirebridge/core/errors.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace samphirebridge;
using namespace samphirebridge::samphirectl;

namespace
{

std::vector<std::string> split(const std::string &line)
{
    std::istringstream stream(line);
    return {std::istream_iterator<std::string>(stream), std::istream_iterator<std::string>()};
}

// Returns the parsed command, which must be of the expected type.
template <typename Expected>
Expected parsed(const std::string &line)
{
    const auto commandLine = parseCommandLine(split(line));
    INFO(line);
    REQUIRE(commandLine.ok());
    REQUIRE(std::holds_alternative<Expected>(commandLine->command));
    return std::get<Expected>(commandLine->command);
}

bool refused(const std::string &line)
{
    const auto commandLine = parseCommandLine(split(line));
    return core::errorCodeOf(commandLine.status()) == core::ErrorCode::InvalidRequest;
}

} // namespace

TEST_CASE("every command is parsed into its own type")
{
    CHECK(parsed<ValidateCommand>("validate m.yaml").file == "m.yaml");
    CHECK(parsed<DiffCommand>("diff m.yaml").file == "m.yaml");
    const auto apply = parsed<ApplyCommand>("apply m.yaml --expect-version 7 --change-id c-1");
    CHECK(apply.expectedVersion == 7);
    CHECK(apply.changeId == "c-1");
    parsed<StatusCommand>("status");
    CHECK_FALSE(parsed<BudgetShowCommand>("budget show").budget);
    CHECK(parsed<BudgetShowCommand>("budget show a/b").budget == "a/b");
    CHECK(parsed<BudgetTopUpCommand>("budget top-up b 5 --change-id c").tokens == 5);
    const auto release
        = parsed<BudgetReleaseCommand>("budget release b --billed 3 --returned 0 --change-id c");
    CHECK(release.billedTokens == 3);
    CHECK(release.returnedTokens == 0);
    parsed<ClaimListCommand>("claim list");
    CHECK(parsed<ClaimResolveCommand>("claim resolve o k --ran --change-id c").ran);
    CHECK_FALSE(parsed<ClaimResolveCommand>("claim resolve o k --not-run --change-id c").ran);
    parsed<InstanceListCommand>("instance list");
    CHECK(parsed<InstanceAddCommand>("instance add i").instance == "i");
    CHECK(parsed<InstanceRemoveCommand>("instance remove i").instance == "i");
    CHECK(
        parsed<InstanceRetireCommand>("instance retire i --incarnation 9 --change-id c").incarnation
        == 9);
    parsed<KeyDigestCommand>("key digest --json");
    parsed<HelpCommand>("--help");
}

TEST_CASE("options are parsed, and endpoints keep their order")
{
    const auto commandLine = parseCommandLine(
        split("status --endpoint http://a --endpoint=http://b --token-file t --timeout 5 --json"));
    REQUIRE(commandLine.ok());
    CHECK(commandLine->endpoints == std::vector<std::string>{"http://a", "http://b"});
    CHECK(commandLine->tokenFile == "t");
    CHECK(commandLine->timeoutSeconds == 5);
    CHECK(commandLine->json);
    const auto defaults = parseCommandLine({"status"});
    CHECK(defaults->endpoints == std::vector<std::string>{std::string(DefaultEndpoint)});
    CHECK(defaults->timeoutSeconds == 60);
    CHECK_FALSE(defaults->json);
}

TEST_CASE("what doesn't fit the usage or is out of range is refused")
{
    CHECK(refused(""));
    CHECK(refused("frobnicate"));
    CHECK(refused("apply m.yaml --expect-version 7"));
    CHECK(refused("apply m.yaml --change-id c"));
    CHECK(refused("apply m.yaml --expect-version -1 --change-id c"));
    CHECK(refused("apply m.yaml --expect-version 1x --change-id c"));
    CHECK(refused("apply m.yaml --expect-version 99999999999999999999 --change-id c"));
    CHECK(refused("apply m.yaml --expect-version 7 --change-id c?d"));
    CHECK(refused("budget top-up b 0 --change-id c"));
    CHECK(refused("budget top-up b -5 --change-id c"));
    CHECK(refused("budget top-up b 1000000000000001 --change-id c"));
    CHECK(refused("budget top-up b 5"));
    CHECK(refused("claim resolve o k --change-id c"));
    CHECK(refused("claim resolve o k --ran --not-run --change-id c"));
    CHECK(refused("instance retire i --incarnation 0 --change-id c"));
    CHECK(refused("status --timeout 0"));
}
