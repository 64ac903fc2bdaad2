// Tests on real processes that accepted requests get their whole answers: with callers that read
// late, and beside targets whose answers have no end.
#include "platform/names.h"
#include "tests/http/peer.h"
#include "tests/support/fleet.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <unistd.h>

#include <chrono>
#include <csignal>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

using namespace samphirebridge;
using namespace samphirebridge::testing;
using namespace std::chrono_literals;

namespace
{

constexpr int Entry = 3; // The instance that callers use.
constexpr size_t LargeBytes = size_t{8} * 1024 * 1024;
// More than sockets buffer, and little enough that an instance holds several.
constexpr size_t LateBytes = size_t{5} * 1024 * 1024;

// Returns a declaration with the service s at /r/, which may be repeated, and the service f at /f/.
std::string declarationOf(uint64_t version, int idleTimeoutMs)
{
    constexpr std::string_view Route
        = R"({{"Name":"{0}","Host":"127.0.0.1","PathPrefix":"/{0}/","Kind":"{1}","TimeoutMs":60000,)"
          R"("MaxAttempts":1,"TargetLatencyMs":500,"AllowAnonymous":true,"Service":"{2}"}})";
    return fmt::format(
        R"({{"Version":{},"Limits":{{"IdleTimeoutMs":{}}},"Services":[{{"Name":"s"}},{{"Name":"f"}}],)"
        R"("Routes":[{},{}]}})",
        version,
        idleTimeoutMs,
        fmt::format(fmt::runtime(Route), "r", "idempotent", "s"),
        fmt::format(fmt::runtime(Route), "f", "non_idempotent", "f"));
}

// Sends a request whose body tells its target how to answer, and reads nothing.
http::Peer sendRequest(Fleet &fleet,
                       const std::string &path,
                       const std::string &id,
                       const std::string &markers)
{
    http::Peer caller = http::Peer::connect(fleet.callersPort(Entry));
    caller.write(fmt::format("POST {} HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: {}\r\n"
                             "Content-Length: {}\r\n\r\n{}",
                             path,
                             id,
                             markers.size(),
                             markers));
    return caller;
}

void waitForLog(const Fleet &fleet, const std::string &text)
{
    Fleet::waitFor("the log has " + text,
                   [&] { return fleet.log(Entry).find(text) != std::string::npos; });
}

// Returns the memory that a process has in use.
double residentBytes(pid_t process)
{
    std::istringstream text(readFile(fmt::format("/proc/{}/statm", process)));
    int64_t pages = 0;
    text >> pages >> pages;
    return static_cast<double>(pages) * static_cast<double>(::sysconf(_SC_PAGESIZE));
}

} // namespace

// Guards against answers that are taken for delivered when they are queued: an idle limit, a change
// that lowers it or a planned stop cut them, without a line in the log.
TEST_CASE("callers that read late get whole answers beside a lower idle limit and a planned stop")
{
    constexpr uint16_t Base = 26800;
    constexpr int Callers = 4;
    Fleet fleet({.basePort = Base,
                 .instances = Entry + 1,
                 .platform = true,
                 .additionalSettings = "stop_within_s: 60\n"});
    fleet.start();
    fleet.sendDeclaration(0, declarationOf(1, 15'000));
    fleet.waitForDeclaration(1);
    fleet.startPlatformTarget("t", Base + 70, "s");
    fleet.waitForTargets(Entry, 1);
    std::vector<http::Peer> callers;
    callers.reserve(Callers);
    for (int number = 0; number < Callers; ++number) {
        const std::string id = fmt::format("late-{}", number);
        callers.push_back(sendRequest(fleet, "/r/", id, fmt::format("[body={}]", LateBytes)));
    }
    for (int number = 0; number < Callers; ++number) {
        waitForLog(fleet, fmt::format(R"(event=answered request="late-{}")", number));
    }
    for (uint64_t version = 2; version <= 4; ++version) {
        fleet.sendDeclaration(0, declarationOf(version, 200));
    }
    fleet.waitForDeclaration(4);
    std::this_thread::sleep_for(1s);
    fleet.instance(Entry).signal(SIGTERM);
    waitForLog(fleet, "event=accepting_ended");
    std::this_thread::sleep_for(1s);
    for (const http::Peer &caller : callers) {
        CHECK(http::bodySize(caller.readToEnd()) == LateBytes);
    }
    CHECK(fleet.instance(Entry).wait() == 0);
    CHECK(fleet.log(Entry).find("event=caller_connection_closed") == std::string::npos);
}

// Guards against a request that is lost because its caller may still use the connection by the
// declaration that it knows, and by its own clock, when the instance closes it.
TEST_CASE("a request that comes when its connection has just been idle for too long is answered")
{
    constexpr uint16_t Base = 27000;
    constexpr int IdleTimeoutMs = 300;
    Fleet fleet({.basePort = Base, .instances = Entry + 1, .platform = true});
    fleet.start();
    fleet.sendDeclaration(0, declarationOf(1, IdleTimeoutMs));
    fleet.waitForDeclaration(1);
    fleet.startPlatformTarget("t", Base + 70, "s");
    fleet.waitForTargets(Entry, 1);
    const http::Peer caller = sendRequest(fleet, "/r/", "first", "[body=10]");
    CHECK(caller.readUntil("xxxxxxxxxx").ends_with("xxxxxxxxxx"));
    std::this_thread::sleep_for(2 * std::chrono::milliseconds(IdleTimeoutMs));
    caller.write("GET /r/second HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: second\r\n"
                 "Connection: close\r\n\r\n");
    CHECK(caller.readToEnd().starts_with("HTTP/1.1 200"));
}

// Guards against a few answers that are full and silent and fail all others of the instance.
TEST_CASE("answers are relayed while those of other targets have no end and take much memory")
{
    constexpr uint16_t Base = 26900;
    constexpr int Endless = 8;
    constexpr int Sound = 60;
    Fleet fleet({.basePort = Base, .instances = Entry + 1, .platform = true});
    fleet.start();
    fleet.sendDeclaration(0, declarationOf(1, 15'000));
    fleet.waitForDeclaration(1);
    fleet.startPlatformTarget("t", Base + 70, "s");
    fleet.startPlatformTarget("f1", Base + 71, "f");
    fleet.startPlatformTarget("f2", Base + 72, "f");
    fleet.waitForTargets(Entry, 3);
    std::vector<http::Peer> held;
    held.reserve(Endless);
    for (int number = 0; number < Endless; ++number) {
        held.push_back(sendRequest(fleet,
                                   "/f/",
                                   fmt::format("endless-{}", number),
                                   fmt::format("[body={}][hang]", LargeBytes)));
    }
    for (int number = 0; number < Endless; ++number) {
        waitForLog(fleet, fmt::format(R"(event=target_chosen request="endless-{}")", number));
    }
    std::this_thread::sleep_for(1s);
    int served = 0;
    for (int number = 0; number < Sound; ++number) {
        const auto answer = fleet.callPlatform(Entry, "GET", fmt::format("/r/{}", number));
        served += answer.ok() && answer->status == 200 ? 1 : 0;
    }
    CHECK(served == Sound);
}

// Guards against memory that is counted as free and still held: callers that read endless answers
// made the process grow by the largest of these each time.
TEST_CASE("an instance does not grow with the endless answers that its callers read")
{
    constexpr uint16_t Base = 26600;
    constexpr int Endless = 16;
    constexpr size_t EndlessBytes = size_t{15} * 1024 * 1024;
    constexpr double MaximumBytes = 160e6; // The memory of an entry instance.
    Fleet fleet({.basePort = Base, .instances = Entry + 1, .platform = true});
    fleet.start();
    fleet.sendDeclaration(0, declarationOf(1, 15'000));
    fleet.waitForDeclaration(1);
    fleet.startPlatformTarget("f1", Base + 71, "f");
    fleet.waitForTargets(Entry, 1);
    const pid_t entry = fleet.instance(Entry).processId();
    const double before = residentBytes(entry);
    std::vector<http::Peer> callers;
    callers.reserve(Endless + 1);
    // This one is held; beside it the others may not be.
    callers.push_back(
        sendRequest(fleet, "/f/", "held", fmt::format("[body={}][hang]", EndlessBytes)));
    Fleet::waitFor("the first answer is held", [&] {
        return residentBytes(entry) > before + static_cast<double>(EndlessBytes);
    });
    for (int number = 0; number < Endless; ++number) {
        callers.push_back(sendRequest(fleet,
                                      "/f/",
                                      fmt::format("endless-{}", number),
                                      fmt::format("[body={}][hang]", EndlessBytes)));
        std::string received;
        while (received.size() < EndlessBytes) {
            const std::string part = callers.back().readUntil("x");
            REQUIRE_FALSE(part.empty());
            received += part;
        }
    }
    CHECK(residentBytes(entry) < MaximumBytes);
}

// Guards against a change that was read whole and gets neither an answer nor a refusal: a control
// instance that stopped closed its interface over it.
TEST_CASE("a control instance that stops answers the change that it has read")
{
    constexpr uint16_t Base = 26700;
    Fleet fleet({.basePort = Base, .platform = true, .additionalSettings = "stop_within_s: 60\n"});
    fleet.start();
    fleet.sendDeclaration(0, declarationOf(1, 15'000));
    fleet.waitForDeclaration(1);
    for (int index = 1; index < 3; ++index) {
        fleet.instance(index).signal(SIGSTOP);
    }
    const std::string content = declarationOf(2, 15'000);
    const http::Peer change = http::Peer::connect(fleet.controlPort(0));
    change.write(fmt::format("POST {} HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: {}\r\n\r\n{}",
                             platform::call::ReplaceDeclaration,
                             content.size(),
                             content));
    std::this_thread::sleep_for(200ms);
    fleet.instance(0).signal(SIGTERM);
    Fleet::waitFor("the instance has begun to stop",
                   [&] { return fleet.log(0).find("event=accepting_ended") != std::string::npos; });
    std::this_thread::sleep_for(2s);
    for (int index = 1; index < 3; ++index) {
        fleet.instance(index).signal(SIGCONT);
    }
    CHECK(change.readUntil("\r\n\r\n").starts_with("HTTP/1.1 "));
    CHECK(fleet.instance(0).wait() == 0);
}
