#include "samphirebridge/samphirectl/commandrunner.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/manifest/manifestfile.h"
#include "tests/samphirectl/stubserver.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <fstream>
#include <iterator>
#include <sstream>

using namespace samphirebridge;
using namespace samphirebridge::samphirectl;

namespace
{

const std::string Example = std::string(SAMPHIREBRIDGE_ROOT) + "/examples/minimal/manifest.yaml";

Report
runAgainst(const std::string &endpoint, const Command &command, const std::string &input = "")
{
    OperatorClient client({.endpoints = {endpoint}, .token = "t0ken"});
    std::istringstream stream(input);
    return CommandRunner(client, stream).run(command);
}

// Returns the exit code of a change that the server answers with the given status and error code.
ExitCode exitCodeFor(int status, std::string_view code)
{
    StubServer server(jsonAnswer(status, fmt::format(R"({{"code":"{}","detail":"d"}})", code)));
    return runAgainst(server.endpoint(), BudgetTopUpCommand{"b", 1, "c"}).exitCode;
}

// Returns the HTTP request that the command sends.
std::string sentRequest(const Command &command)
{
    StubServer server(jsonAnswer(200, "{}"));
    CHECK(runAgainst(server.endpoint(), command).exitCode == ExitCode::Success);
    return server.requests().at(0);
}

} // namespace

TEST_CASE("each kind of failure has its own exit code")
{
    CHECK(exitCodeFor(400, "invalid_request") == ExitCode::InvalidInput);
    CHECK(exitCodeFor(404, "unknown_budget") == ExitCode::InvalidInput);
    CHECK(exitCodeFor(409, "change_id_reused") == ExitCode::Conflict);
    CHECK(exitCodeFor(503, "no_quorum") == ExitCode::Unreachable);
    CHECK(exitCodeFor(504, "outcome_unknown") == ExitCode::OutcomeUnknown);
    CHECK(exitCodeFor(401, "unauthenticated") == ExitCode::Refused);
    CHECK(exitCodeFor(403, "") == ExitCode::Refused);
    CHECK(exitCodeFor(502, "") == ExitCode::OutcomeUnknown);
    CHECK(exitCodeFor(503, "no_such_code") == ExitCode::OutcomeUnknown);
    CHECK(runAgainst(closedEndpoint(), StatusCommand{}).exitCode == ExitCode::Unreachable);
    StubServer notJson(jsonAnswer(200, "<html>"));
    CHECK(runAgainst(notJson.endpoint(), StatusCommand{}).exitCode == ExitCode::Internal);
    CHECK(runAgainst(notJson.endpoint(), BudgetTopUpCommand{"b", 1, "c"}).exitCode
          == ExitCode::OutcomeUnknown);
}

TEST_CASE("each command sends the request that the HTTP interface specifies")
{
    CHECK(sentRequest(StatusCommand{}).starts_with("GET /v1/status HTTP"));
    CHECK(sentRequest(ClaimListCommand{}).starts_with("GET /v1/status HTTP"));
    CHECK(sentRequest(BudgetShowCommand{}).starts_with("GET /v1/budgets HTTP"));
    CHECK(sentRequest(BudgetShowCommand{"a/b"}).starts_with("GET /v1/budgets/a%2Fb HTTP"));
    CHECK(sentRequest(InstanceListCommand{}).starts_with("GET /v1/instances HTTP"));
    CHECK(sentRequest(InstanceAddCommand{"i"}).starts_with("POST /v1/instances/i/add HTTP"));
    CHECK(sentRequest(InstanceRemoveCommand{"i"}).starts_with("POST /v1/instances/i/remove HTTP"));
    const std::string retire = sentRequest(InstanceRetireCommand{"i", 9, "c"});
    CHECK(retire.starts_with("POST /v1/instances/i/retire HTTP"));
    CHECK(retire.ends_with(R"({"change_id":"c","incarnation":9})"));
    CHECK(sentRequest(PartClearCommand{"5f"}).starts_with("POST /v1/prompt-parts/5f/clear HTTP"));
    CHECK(sentRequest(EvacuationStartCommand{"a/1"})
              .starts_with("POST /v1/evacuations/a%2F1/start HTTP"));
    CHECK(sentRequest(EvacuationFinishCommand{"a"})
              .starts_with("POST /v1/evacuations/a/finish HTTP"));
    CHECK(sentRequest(EvacuationListCommand{}).starts_with("GET /v1/evacuations HTTP"));
    const std::string topUp = sentRequest(BudgetTopUpCommand{"b", 5, "c"});
    CHECK(topUp.starts_with("POST /v1/budgets/b/top-up HTTP"));
    CHECK(topUp.ends_with(R"({"change_id":"c","tokens":5})"));
    const std::string release = sentRequest(BudgetReleaseCommand{"b", 3, 4, "c"});
    CHECK(release.starts_with("POST /v1/budgets/b/release HTTP"));
    CHECK(release.ends_with(R"({"billed_tokens":3,"change_id":"c","returned_tokens":4})"));
    const std::string resolve = sentRequest(ClaimResolveCommand{"o", "k", true, "c"});
    CHECK(resolve.starts_with("POST /v1/claims/resolve HTTP"));
    CHECK(resolve.ends_with(R"({"change_id":"c","key":"k","organisation":"o","ran":true})"));
}

TEST_CASE("apply sends the file unchanged and lists the instances that have not confirmed")
{
    StubServer server(jsonAnswer(
        200, R"({"version":8,"resend":true,"in_force_on":["a"],"not_confirmed_by":["b","c"]})"));
    const Report report = runAgainst(server.endpoint(), ApplyCommand{Example, 7, "c-1"});
    CHECK(report.exitCode == ExitCode::Success);
    CHECK(report.text == "version 8 (accepted before)\nin force on: a\nnot confirmed by: b, c\n");
    CHECK(report.json["result"]["version"] == 8);
    const std::string request = server.requests().at(0);
    CHECK(request.starts_with("PUT /v1/manifest?expected_version=7&change_id=c-1 HTTP"));
    std::ifstream stream(Example);
    const std::string text{std::istreambuf_iterator<char>(stream), {}};
    CHECK(request.ends_with("\r\n\r\n" + text));
}

// Guards against a list that hides where an evacuation is not in force yet.
TEST_CASE("the list of evacuations shows since when and on which instances each is in force")
{
    StubServer server(jsonAnswer(
        200,
        R"({"evacuations":[{"data_centre":"a","evacuated":true,"since_ms":1700000000123,)"
        R"("revision":8,"in_force_on":["i0"],"not_confirmed_by":["i1","i2"]},)"
        R"({"data_centre":"b","evacuated":false,"since_ms":0,"revision":9,"in_force_on":[],)"
        R"("not_confirmed_by":[]}]})"));
    const Report report = runAgainst(server.endpoint(), EvacuationListCommand{});
    CHECK(report.exitCode == ExitCode::Success);
    CHECK(report.text
          == "a: evacuated since 2023-11-14T22:13:20Z, revision 8\n"
             "  in force on: i0\n  not confirmed by: i1, i2\n"
             "b: not evacuated since 1970-01-01T00:00:00Z, revision 9\n"
             "  in force on: none\n  not confirmed by: none\n");
}

TEST_CASE("the report of a version conflict contains the current version")
{
    StubServer server(
        jsonAnswer(409, R"({"code":"version_conflict","detail":"found 7","current_version":9})"));
    const Report report = runAgainst(server.endpoint(), ApplyCommand{Example, 7, "c-1"});
    CHECK(report.exitCode == ExitCode::Conflict);
    CHECK(report.text == "HTTP 409: found 7; current version: 9\n");
    CHECK(report.json["error"]["code"] == "version_conflict");
}

TEST_CASE("an invalid file is refused before anything is sent")
{
    StubServer server(jsonAnswer(200, "{}"));
    const std::string invalid
        = std::string(SAMPHIREBRIDGE_ROOT) + "/examples/minimal/instance-1.yaml";
    const Report report = runAgainst(server.endpoint(), ApplyCommand{invalid, 0, "c"});
    CHECK(report.exitCode == ExitCode::InvalidInput);
    CHECK(report.json["error"]["problems"].size() == 8);
    CHECK(report.json["error"]["problems"][0]["line"] == 2);
    CHECK(runAgainst("", ValidateCommand{"/no/such/file"}).exitCode == ExitCode::InvalidInput);
    CHECK(server.requests().empty());
}

TEST_CASE("diff lists what the file would add, change and remove")
{
    StubServer server(jsonAnswer(200,
                                 "organisations: [{id: gone}, {id: prestamar}]\n"
                                 "budgets: [{id: prestamar-trial, organisation: prestamar, "
                                 "tokens: 50000}]\n"));
    const Report report = runAgainst(server.endpoint(), DiffCommand{Example});
    REQUIRE(report.exitCode == ExitCode::Success);
    CHECK(report.json["result"]["current_version"] == 7);
    CHECK(report.text.starts_with("against version 7\n+ organisation cuotabierta\n"));
    CHECK(report.text.find("~ organisation prestamar\n- organisation gone\n") != std::string::npos);
    CHECK(report.text.find("prestamar-trial") == std::string::npos);
}

TEST_CASE("a key's digest is printed and an unusable key refused")
{
    const Report report = runAgainst("", KeyDigestCommand{}, "demo-key-a\n");
    CHECK(report.text == core::toHex(core::sha256Of("demo-key-a")) + "\n");
    for (const std::string input : {"", "\n", "two words\n", "two\nlines\n"}) {
        CHECK(runAgainst("", KeyDigestCommand{}, input).exitCode == ExitCode::InvalidInput);
    }
}

TEST_CASE("every error code is found by its name")
{
    for (uint32_t value = 1; value < 100; ++value) {
        const auto code = static_cast<core::ErrorCode>(value);
        const std::string_view name = core::errorName(code);
        if (name != "internal" || code == core::ErrorCode::Internal) {
            CHECK(errorCodeNamed(name) == code);
        }
    }
    CHECK(errorCodeNamed("none") == core::ErrorCode::None);
}
