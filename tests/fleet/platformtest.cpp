// Tests the start and stop of the program for the users' platform, and what it tells of its
// callers' connections.
#include "tests/http/peer.h"
#include "tests/support/fleet.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <optional>
#include <string>
#include <string_view>

using namespace samphirebridge;
using namespace samphirebridge::testing;

namespace
{

// Returns the settings of an instance whose discovery seed is not running.
std::string settingsWithoutRunningSeed(const std::string &role,
                                       uint16_t port,
                                       const std::string &additionalSettings)
{
    return fmt::format("instance: \"127.0.0.1:{0}\"\n"
                       "data_centre: \"a\"\n"
                       "roles: [{1}]\n"
                       "http:\n  listen: \"127.0.0.1:{2}\"\n  threads: 2\n"
                       "rpc:\n  listen: \"127.0.0.1:{0}\"\n"
                       "discovery:\n  seed_port: {0}\n  seeds:\n    - \"127.0.0.2:{3}\"\n"
                       "stop_within_s: 1\n{4}",
                       port,
                       role,
                       port + 1,
                       port + 2,
                       additionalSettings);
}

// Returns the body of the answer to a GET request; nothing if the program does not answer.
std::optional<std::string> bodyAt(uint16_t port, const std::string &path)
{
    http::Client client;
    http::ClientRequest request;
    request.method = "GET";
    request.url = fmt::format("http://127.0.0.1:{}{}", port, path);
    const auto answer = client.fetch(request, std::chrono::seconds(1));
    return answer.ok() ? std::optional(answer->body) : std::nullopt;
}

// Starts the program, waits until it answers at the port, sends SIGTERM and returns its exit code.
int exitCodeAfterStop(const std::string &settings, uint16_t answeringPort)
{
    TemporaryFolder folder;
    const std::filesystem::path file = folder.path() / "settings.yaml";
    writeFile(file, settings);
    ChildProcess process(
        platformProgram(), {"--settings=" + file.string()}, folder.path() / "log.txt");
    Fleet::waitFor("the process answers",
                   [&] { return bodyAt(answeringPort, "/v1/readiness").has_value(); });
    process.signal(SIGTERM);
    return process.wait();
}

} // namespace

TEST_CASE("an entry instance of the platform exits with code 0 after SIGTERM")
{
    constexpr uint16_t Base = 25300;
    const std::string addresses = fmt::format("interface:\n  callers: \"127.0.0.1:{}\"\n"
                                              "  readiness: \"127.0.0.1:{}\"\n",
                                              Base + 3,
                                              Base + 4);
    CHECK(exitCodeAfterStop(settingsWithoutRunningSeed("entry", Base, addresses), Base + 4) == 0);
}

TEST_CASE("a control instance of the platform exits with code 0 after SIGTERM")
{
    constexpr uint16_t Base = 25400;
    TemporaryFolder data;
    const std::string addresses = fmt::format("interface:\n  control: \"127.0.0.1:{}\"\n"
                                              "data_folder: \"{}\"\n",
                                              Base + 3,
                                              data.path().string());
    CHECK(exitCodeAfterStop(settingsWithoutRunningSeed("control", Base, addresses), Base + 3) == 0);
}

TEST_CASE("an entry instance tells why a connection ended over a request that was not read whole")
{
    constexpr uint16_t Base = 26100;
    TemporaryFolder folder;
    const std::filesystem::path file = folder.path() / "settings.yaml";
    const std::filesystem::path log = folder.path() / "log.txt";
    const std::string addresses = fmt::format("interface:\n  callers: \"127.0.0.1:{}\"\n"
                                              "  readiness: \"127.0.0.1:{}\"\n",
                                              Base + 3,
                                              Base + 4);
    writeFile(file, settingsWithoutRunningSeed("entry", Base, addresses));
    const ChildProcess process(platformProgram(), {"--settings=" + file.string()}, log);
    Fleet::waitFor("the process answers",
                   [&] { return bodyAt(Base + 4, "/v1/readiness").has_value(); });
    http::Peer caller = http::Peer::connect(Base + 3);
    caller.write(
        "POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-1\r\nContent-Length: 9\r\n\r\nhalf");
    caller.close();
    std::string line;
    Fleet::waitFor("the line is written", [&] {
        const std::string text = readFile(log);
        const size_t start = text.find("event=caller_connection_closed");
        const size_t end = text.find('\n', start);
        line = end == std::string::npos ? "" : text.substr(start, end - start);
        return !line.empty();
    });
    for (const std::string_view field : {"request=\"id-1\"",
                                         "reason=\"caller_closed\"",
                                         "request_open=\"true\"",
                                         "unread_bytes=\"0\""}) {
        CHECK(line.find(field) != std::string::npos);
    }
    const std::string metrics = bodyAt(Base + 1, "/metrics").value_or("");
    CHECK(metrics.find("caller_connections_closed_total{reason=\"caller_closed\"} 1")
          != std::string::npos);
}
