// Tests the start and stop of the program for the users' platform, and what it tells of its
// callers' connections.
#include "tests/http/peer.h"
#include "tests/support/fleet.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

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

// Opens a pipe once a process reads from it.
int openForReader(const std::filesystem::path &pipe)
{
    int descriptor = -1;
    Fleet::waitFor("the pipe is read", [&] {
        descriptor = ::open(pipe.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
        return descriptor >= 0;
    });
    return descriptor;
}

void writeAndClose(int descriptor, std::string_view text)
{
    CHECK(::write(descriptor, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
    ::close(descriptor);
}

std::string requestText(const std::string &path, const std::string &id)
{
    return fmt::format("GET {} HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: {}\r\n\r\n", path, id);
}

// Control instances, an instance that callers use and that is to be stopped, and a target of
// requests that may run once.
class StopScene
{
public:
    static constexpr int Stopped = 3;

    // stopWithin is the setting stop_within_s, timeoutMs the route's.
    StopScene(uint16_t basePort, int stopWithin, int timeoutMs)
        : fleet({.basePort = basePort,
                 .instances = 4,
                 .platform = true,
                 .additionalSettings = fmt::format("stop_within_s: {}\n", stopWithin)})
    {
        this->fleet.start();
        this->fleet.sendDeclaration(
            0,
            fmt::format(
                R"({{"Version":1,"Services":[{{"Name":"s"}}],"Routes":[{{"Name":"r",)"
                R"("Host":"127.0.0.1","PathPrefix":"/r/","Kind":"non_idempotent","TimeoutMs":{},)"
                R"("MaxAttempts":1,"TargetLatencyMs":300,"AllowAnonymous":true,"Service":"s"}}]}})",
                timeoutMs));
        this->fleet.waitForDeclaration(1);
        this->target = &this->fleet.startPlatformTarget(
            "t", basePort + 70, "s", {"--run-log=" + this->runLog().string()});
        this->fleet.waitForTargets(Stopped, 1);
    }

    // Opens a connection that has had one answer.
    http::Peer keptConnection()
    {
        http::Peer caller = http::Peer::connect(this->fleet.callersPort(Stopped));
        caller.write(requestText("/r/first", "first"));
        CHECK(caller.readUntil("done").ends_with("done"));
        return caller;
    }

    // Tells the instance to stop and waits until it drains.
    void stop()
    {
        this->fleet.instance(Stopped).signal(SIGTERM);
        this->waitForLog("event=draining");
    }

    void waitForLog(const std::string &text)
    {
        Fleet::waitFor("the log has " + text,
                       [&] { return this->fleet.log(Stopped).find(text) != std::string::npos; });
    }

    // Tells whether the target ran the request of that id.
    [[nodiscard]] bool hasRun(const std::string &id) const
    {
        return readFile(this->runLog()).find("\"" + id + "\"") != std::string::npos;
    }

    Fleet fleet;
    ChildProcess *target = nullptr;

private:
    [[nodiscard]] std::filesystem::path runLog() const
    {
        return this->fleet.folder() / "t.runs";
    }
};

bool isStopRefusal(const std::string &answer)
{
    return answer.starts_with("HTTP/1.1 503")
           && answer.find("Connection: close") != std::string::npos
           && answer.find("Retry-After: ") != std::string::npos
           && answer.find(R"("reason":"stopping","outcome":"not_run")") != std::string::npos;
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

// Guards against a process that is ended by a signal of its supervisor while it starts: nothing was
// stopped in order, and a reload ended it.
TEST_CASE("a signal that comes while an instance reads its settings waits for its start")
{
    constexpr uint16_t Base = 27100;
    std::signal(SIGPIPE, SIG_IGN);
    TemporaryFolder folder;
    const std::filesystem::path file = folder.path() / "settings.yaml";
    // Whoever opens a pipe waits for the other side, so the process is held while it reads.
    REQUIRE(::mkfifo(file.c_str(), S_IRUSR | S_IWUSR) == 0);
    const std::string readiness
        = fmt::format("interface:\n  readiness: \"127.0.0.1:{}\"\n", Base + 4);
    const std::string settings = settingsWithoutRunningSeed("entry", Base, readiness);
    ChildProcess process(
        platformProgram(), {"--settings=" + file.string()}, folder.path() / "log.txt");
    const int first = openForReader(file);
    SECTION("to stop")
    {
        process.signal(SIGTERM);
        writeAndClose(first, settings);
    }
    SECTION("to reload")
    {
        process.signal(SIGHUP);
        writeAndClose(first, settings);
        Fleet::waitFor("the process answers",
                       [&] { return bodyAt(Base + 4, "/v1/readiness").has_value(); });
        writeAndClose(openForReader(file), settings);
        process.signal(SIGTERM);
    }
    CHECK(process.wait() == 0);
}

TEST_CASE("an entry instance tells why a connection ended over a request that was not read whole")
{
    constexpr uint16_t Base = 26400;
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
                                         "unread_bytes=\"0\"",
                                         "unsent_bytes=\"0\""}) {
        CHECK(line.find(field) != std::string::npos);
    }
    const std::string metrics = bodyAt(Base + 1, "/metrics").value_or("");
    CHECK(metrics.find("caller_connections_closed_total{reason=\"caller_closed\"} 1")
          != std::string::npos);
}

// Guards against taking requests that are then cut off when the process ends.
TEST_CASE("an instance that stops refuses at once a request that may outlast it")
{
    constexpr int StopWithinSeconds = 8;
    constexpr int TimeoutMs = 60'000;
    StopScene scene(26100, StopWithinSeconds, TimeoutMs);
    const http::Peer kept = scene.keptConnection();
    scene.target->signal(SIGSTOP);
    scene.stop();
    kept.write(requestText("/r/late", "late"));
    const std::string answer = kept.readToEnd();
    INFO(answer << scene.fleet.log(StopScene::Stopped));
    CHECK(isStopRefusal(answer));
    scene.target->signal(SIGCONT);
    CHECK(scene.fleet.instance(StopScene::Stopped).wait() == 0);
    CHECK_FALSE(scene.hasRun("late"));
}

// Guards against late callers that find a closed port or connection and can't tell whether their
// request has run.
TEST_CASE("an instance that takes no more requests refuses them until those in progress have ended")
{
    constexpr int StopWithinSeconds = 60;
    constexpr int TimeoutMs = 50'000;
    StopScene scene(26200, StopWithinSeconds, TimeoutMs);
    const http::Peer kept = scene.keptConnection();
    const http::Peer held = http::Peer::connect(scene.fleet.callersPort(StopScene::Stopped));
    scene.target->signal(SIGSTOP);
    held.write(requestText("/r/held", "held"));
    scene.waitForLog(R"(event=target_chosen request="held")");
    scene.stop();
    // A path without a route is answered by the instance alone, as unknown until it takes no more.
    std::string answer;
    Fleet::waitFor("a request is refused since the instance stops", [&] {
        const http::Peer caller = http::Peer::connect(scene.fleet.callersPort(StopScene::Stopped));
        caller.write(requestText("/unknown", "unknown"));
        answer = caller.readToEnd();
        REQUIRE_FALSE(answer.empty());
        return answer.find("stopping") != std::string::npos;
    });
    CHECK(isStopRefusal(answer));
    kept.write(requestText("/r/late", "late"));
    CHECK(isStopRefusal(kept.readToEnd()));
    scene.target->signal(SIGCONT);
    CHECK(held.readUntil("done").ends_with("done"));
    CHECK(scene.fleet.instance(StopScene::Stopped).wait() == 0);
    CHECK_FALSE(scene.hasRun("late"));
}
