#include "samphirebridge/settings/settings.h"

#include "samphirebridge/core/digest.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <string>

using namespace samphirebridge::settings;
using namespace samphirebridge::core;

namespace
{

const std::string Root = SAMPHIREBRIDGE_ROOT;

const std::string Valid = R"(instance: quito-1a
data_centre: quito-1
roles: [entry, control]
data_folder: /var/lib/samphirebridge
http:
  listen: 0.0.0.0:8080
rpc:
  listen: "[::1]:9080"
peers:
  - id: quito-1a
    rpc: 10.0.0.1:9080
    http: 10.0.0.1:8080
    data_centre: quito-1
    roles: [control, entry]
  - id: quito-1b
    rpc: 10.0.0.2:9080
    http: 10.0.0.2:8080
    data_centre: quito-1
    roles: [entry]
)";

// Returns the valid settings withReplaced the first occurrence of the piece replaced.
std::string withReplaced(std::string_view piece, std::string_view replacement)
{
    std::string text = Valid;
    const size_t place = text.find(piece);
    REQUIRE(place != std::string::npos);
    return text.replace(place, piece.size(), replacement);
}

// Checks that the text has exactly one problem, and returns it.
Problem problemOf(const std::string &text)
{
    const CheckedSettings checked = checkSettings(text, "a.yaml");
    INFO(messageOf(statusOf(checked.problems)));
    REQUIRE(checked.problems.size() == 1);
    CHECK(checked.problems.front().code == ErrorCode::InvalidSettings);
    CHECK(checked.problems.front().line > 0);
    return checked.problems.front();
}

} // namespace

TEST_CASE("absent settings get their defaults")
{
    const auto settings = parseSettings(Valid, "a.yaml");
    REQUIRE(settings.ok());
    CHECK(settings->instance == InstanceId("quito-1a"));
    CHECK(settings->roles == Roles{.entry = true, .control = true});
    CHECK(settings->http.listen == Address{.host = "0.0.0.0", .port = 8080});
    CHECK(formatAddress(settings->rpcListen) == "[::1]:9080");
    CHECK(settings->http.maxBodyBytes == 1 << 20);
    CHECK(settings->consensus.heartbeat == std::chrono::milliseconds(100));
    CHECK(settings->consensus.electionTimeout == std::chrono::seconds(1));
    CHECK(settings->shutdownGrace == std::chrono::seconds(30));
    CHECK(settings->logLevel == LogLevel::Info);
    CHECK(settings->self().http.host == "10.0.0.1");
    CHECK(settings->peers[1].roles == Roles{.entry = true});
}

TEST_CASE("the settings files of the example fleet are valid")
{
    for (const int number : {1, 2, 3}) {
        const auto settings
            = loadSettings(fmt::format("{}/examples/minimal/instance-{}.yaml", Root, number));
        REQUIRE(settings.ok());
        CHECK(settings->operatorTokenDigests.front() == sha256Of("demo-operator"));
    }
}

TEST_CASE("a problem names the wrong entry, its line, what was found and what is accepted")
{
    const Problem unknown
        = problemOf(withReplaced("http:\n  listen", "http:\n  listn: x\n  listen"));
    CHECK(describeProblem(unknown)
          == "a.yaml:6: http: found the unknown key 'listn'; accepted: listen, threads, "
             "max_body_bytes, max_caller_buffer_bytes");
    const Problem range = problemOf(Valid + "consensus: {heartbeat_ms: 5}\n");
    CHECK(range.entry == "consensus.heartbeat_ms");
    CHECK(range.accepted == "an integer from 10 to 10000");
    CHECK(problemOf(Valid + "shutdown_grace_ms: \"1\"\n").found == "\"1\"");
    CHECK(problemOf(Valid + "shutdown_grace_ms: 010\n").entry == "shutdown_grace_ms");
    CHECK(problemOf(Valid + "log_level: loud\n").accepted == "error, warning, info, debug");
    CHECK(problemOf(withReplaced("10.0.0.2:9080", "10.0.0.2")).entry == "peers[1].rpc");
    CHECK(problemOf(withReplaced("10.0.0.2:9080", "10.0.0.2:65536")).line == 16);
    CHECK(problemOf(Valid + "rpc: {}\n").found == "the key a second time");
}

TEST_CASE("an entry that contradicts another one is refused")
{
    CHECK(problemOf(withReplaced("data_folder: /var/lib/samphirebridge\n", "")).entry
          == "data_folder");
    CHECK(problemOf(withReplaced("id: quito-1b", "id: quito-1a")).entry == "peers[1].id");
    CHECK(problemOf(withReplaced("http: 10.0.0.2:8080", "http: 10.0.0.1:8080")).entry
          == "peers[1].http");
    CHECK(problemOf(withReplaced("instance: quito-1a", "instance: quito-9")).found
          == "no peer 'quito-9'");
    CHECK(problemOf(withReplaced("data_centre: quito-1\n", "data_centre: lima-1\n")).entry
          == "data_centre");
    CHECK(problemOf(withReplaced("roles: [control, entry]", "roles: [control]")).entry == "roles");
    CHECK(problemOf(Valid + "consensus: {election_timeout_ms: 200}\n").accepted
          == "at least 3 times heartbeat_ms (100)");
    CHECK(problemOf(withReplaced("0.0.0.0:8080", "\"[::1]:9080\"")).entry == "rpc.listen");
}

TEST_CASE("an operator token in plain text is refused and not repeated in the message")
{
    const Problem problem = problemOf(Valid + "operator_token_sha256: [s3cret-token]\n");
    CHECK(problem.entry == "operator_token_sha256[0]");
    CHECK(describeProblem(problem).find("s3cret") == std::string::npos);
}

TEST_CASE("every problem of a file is reported at once")
{
    const absl::StatusOr<Settings> settings = parseSettings("instance: a b\nroles: []\n", "a.yaml");
    CHECK(errorCodeOf(settings.status()) == ErrorCode::InvalidSettings);
    const std::string message(messageOf(settings.status()));
    CHECK(std::count(message.begin(), message.end(), '\n') == 5);
    for (const std::string entry : {"instance", "data_centre", "roles", "http", "rpc", "peers"}) {
        CHECK(message.find(": " + entry + ": found") != std::string::npos);
    }
}

TEST_CASE("a path that is missing or a folder is reported as invalid settings")
{
    CHECK(errorCodeOf(loadSettings(Root + "/no-such-file").status()) == ErrorCode::InvalidSettings);
    CHECK(errorCodeOf(loadSettings(Root).status()) == ErrorCode::InvalidSettings);
}

TEST_CASE("the regions of data centres are read")
{
    const auto settings = parseSettings(
        Valid + "data_centre_regions:\n  quito-1: andes\n  \"lisbon-1\": \"Iberia West\"\n",
        "a.yaml");
    REQUIRE(settings.ok());
    CHECK(settings->dataCentreRegions
          == std::map<std::string, std::string>{{"quito-1", "andes"}, {"lisbon-1", "Iberia West"}});
}

// Guards against an instance that doesn't start because a template rendered an empty table.
TEST_CASE("an empty map of regions, a missing one and data centres without a region are accepted")
{
    for (const char *value : {"data_centre_regions:\n", "data_centre_regions: {}\n", ""}) {
        INFO(value);
        const auto settings = parseSettings(Valid + value, "a.yaml");
        REQUIRE(settings.ok());
        CHECK(settings->dataCentreRegions.empty());
    }
    for (const char *value : {"quito-1:", "quito-1: \"\"", "quito-1: null"}) {
        INFO(value);
        const auto settings
            = parseSettings(Valid + "data_centre_regions:\n  " + value + "\n", "a.yaml");
        REQUIRE(settings.ok());
        CHECK(settings->dataCentreRegions == std::map<std::string, std::string>{{"quito-1", ""}});
    }
}

TEST_CASE("a map of regions with a wrong form, key or value is refused")
{
    for (const char *value : {"andes",
                              "[andes]",
                              "{quito-1: [andes]}",
                              "{quito-1: {region: andes}}",
                              "{\"quito 1\": andes}",
                              "{quito-1: andes, quito-1: iberia}"}) {
        INFO(value);
        const Problem problem = problemOf(Valid + "data_centre_regions: " + value + "\n");
        CHECK(problem.line == 20);
    }
}
