// The program of the users' platform as a process.
#include "tests/support/fleet.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <chrono>
#include <csignal>

using namespace samphirebridge;
using namespace samphirebridge::testing;

namespace
{

// Settings of an instance whose seeds do not run.
std::string loneInstance(const std::string &role, uint16_t port, const std::string &more)
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
                       more);
}

// Starts the program, waits until it answers at the address, stops it and returns its exit code.
int exitCodeAfterStop(const std::string &settings, uint16_t answering)
{
    TemporaryFolder folder;
    const std::filesystem::path file = folder.path() / "settings.yaml";
    writeFile(file, settings);
    ChildProcess process(
        platformProgram(), {"--settings=" + file.string()}, folder.path() / "log.txt");
    http::Client client;
    http::ClientRequest request;
    request.method = "GET";
    request.url = fmt::format("http://127.0.0.1:{}/v1/readiness", answering);
    Fleet::waitFor("the process answers",
                   [&] { return client.fetch(request, std::chrono::seconds(1)).ok(); });
    process.signal(SIGTERM);
    return process.wait();
}

} // namespace

TEST_CASE("an entry instance of the platform that is told to stop ends by itself")
{
    constexpr uint16_t Base = 25300;
    const std::string addresses = fmt::format("interface:\n  callers: \"127.0.0.1:{}\"\n"
                                              "  readiness: \"127.0.0.1:{}\"\n",
                                              Base + 3,
                                              Base + 4);
    CHECK(exitCodeAfterStop(loneInstance("entry", Base, addresses), Base + 4) == 0);
}

TEST_CASE("a control instance of the platform that is told to stop ends by itself")
{
    constexpr uint16_t Base = 25400;
    TemporaryFolder data;
    const std::string addresses = fmt::format("interface:\n  control: \"127.0.0.1:{}\"\n"
                                              "data_folder: \"{}\"\n",
                                              Base + 3,
                                              data.path().string());
    CHECK(exitCodeAfterStop(loneInstance("control", Base, addresses), Base + 3) == 0);
}
