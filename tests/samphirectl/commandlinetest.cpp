#include "samphirebridge/samphirectl/commandline.h"

#include "samphirebridge/core/errors.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace samphirebridge;
using namespace samphirebridge::samphirectl;

namespace
{

std::vector<std::string> splitWords(const std::string &line)
{
    std::istringstream stream(line);
    return {std::istream_iterator<std::string>(stream), std::istream_iterator<std::string>()};
}

// Returns the parsed command, which must be of the expected type.
template <typename Expected>
Expected parseAs(const std::string &line)
{
    const auto commandLine = parseCommandLine(splitWords(line));
    INFO(line);
    REQUIRE(commandLine.ok());
    REQUIRE(std::holds_alternative<Expected>(commandLine->command));
    return std::get<Expected>(commandLine->command);
}

bool isRefused(const std::string &line)
{
    const auto commandLine = parseCommandLine(splitWords(line));
    return core::errorCodeOf(commandLine.status()) == core::ErrorCode::InvalidRequest;
}

} // namespace

TEST_CASE("every command is parsed into its own type")
{
    CHECK(parseAs<ValidateCommand>("validate m.yaml").file == "m.yaml");
    CHECK(parseAs<DiffCommand>("diff m.yaml").file == "m.yaml");
    const auto apply = parseAs<ApplyCommand>("apply m.yaml --expect-version 7 --change-id c-1");
    CHECK(apply.expectedVersion == 7);
    CHECK(apply.changeId == "c-1");
    parseAs<StatusCommand>("status");
    CHECK_FALSE(parseAs<BudgetShowCommand>("budget show").budget);
    CHECK(parseAs<BudgetShowCommand>("budget show a/b").budget == "a/b");
    CHECK(parseAs<BudgetTopUpCommand>("budget top-up b 5 --change-id c").tokens == 5);
    const auto release
        = parseAs<BudgetReleaseCommand>("budget release b --billed 3 --returned 0 --change-id c");
    CHECK(release.billedTokens == 3);
    CHECK(release.returnedTokens == 0);
    parseAs<ClaimListCommand>("claim list");
    CHECK(parseAs<ClaimResolveCommand>("claim resolve o k --ran --change-id c").ran);
    CHECK_FALSE(parseAs<ClaimResolveCommand>("claim resolve o k --not-run --change-id c").ran);
    parseAs<InstanceListCommand>("instance list");
    CHECK(parseAs<InstanceAddCommand>("instance add i").instance == "i");
    CHECK(parseAs<InstanceRemoveCommand>("instance remove i").instance == "i");
    CHECK(parseAs<InstanceRetireCommand>("instance retire i --incarnation 9 --change-id c")
              .incarnation
          == 9);
    CHECK(parseAs<PartClearCommand>("part clear 5f").fingerprint == "5f");
    parseAs<KeyDigestCommand>("key digest --json");
    parseAs<HelpCommand>("--help");
}

TEST_CASE("options are parsed, and endpoints keep their order")
{
    const auto commandLine = parseCommandLine(splitWords(
        "status --endpoint http://a --endpoint=http://b --token-file t --timeout 5 --json"));
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

TEST_CASE("arguments that don't match the usage or are out of range are refused")
{
    CHECK(isRefused(""));
    CHECK(isRefused("frobnicate"));
    CHECK(isRefused("apply m.yaml --expect-version 7"));
    CHECK(isRefused("apply m.yaml --change-id c"));
    CHECK(isRefused("apply m.yaml --expect-version -1 --change-id c"));
    CHECK(isRefused("apply m.yaml --expect-version 1x --change-id c"));
    CHECK(isRefused("apply m.yaml --expect-version 99999999999999999999 --change-id c"));
    CHECK(isRefused("apply m.yaml --expect-version 7 --change-id c?d"));
    CHECK(isRefused("budget top-up b 0 --change-id c"));
    CHECK(isRefused("budget top-up b -5 --change-id c"));
    CHECK(isRefused("budget top-up b 1000000000000001 --change-id c"));
    CHECK(isRefused("budget top-up b 5"));
    CHECK(isRefused("claim resolve o k --change-id c"));
    CHECK(isRefused("claim resolve o k --ran --not-run --change-id c"));
    CHECK(isRefused("instance retire i --incarnation 0 --change-id c"));
    CHECK(isRefused("part clear"));
    CHECK(isRefused("status --timeout 0"));
}
