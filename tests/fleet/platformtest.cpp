// Tests the start and stop of the program for the users' platform.
#include "tests/support/fleet.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <chrono>
#include <csignal>

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

// Starts the program, waits until it answers at the port, sends SIGTERM and returns its exit code.
int exitCodeAfterStop(const std::string &settings, uint16_t answeringPort)
{
    TemporaryFolder folder;
    const std::filesystem::path file = folder.path() / "settings.yaml";
    writeFile(file, settings);
    ChildProcess process(
        platformProgram(), {"--settings=" + file.string()}, folder.path() / "log.txt");
    http::Client client;
    http::ClientRequest request;
    request.method = "GET";
    request.url = fmt::format("http://127.0.0.1:{}/v1/readiness", answeringPort);
    Fleet::waitFor("the process answers",
                   [&] { return client.fetch(request, std::chrono::seconds(1)).ok(); });
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
