// Tests on real processes that no malformed answer of a target reaches a caller, and that its
// request is handled by what may have run.
#include "platform/names.h"
#include "samphirebridge/core/reasons.h"
#include "tests/http/peer.h"
#include "tests/support/fleet.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic>
#include <deque>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

using namespace samphirebridge;
using namespace samphirebridge::testing;

namespace
{

constexpr int Entry = 3; // The instance that callers use.
constexpr size_t TargetsPerFault = 2;
constexpr size_t SmallBytes = 10;
constexpr size_t LargeBytes = size_t{14} << 20U; // More than sockets buffer.
constexpr std::string_view Part = "a part of a body";

// Returns a declaration with so many services, and a route of each kind for each of them.
std::string declarationOf(size_t services)
{
    constexpr std::string_view Route
        = R"({{"Name":"{0}{2}","Host":"127.0.0.1","PathPrefix":"/{0}{2}/","Kind":"{1}","TimeoutMs":9000,)"
          R"("MaxAttempts":2,"TargetLatencyMs":500,"AllowAnonymous":true,"Service":"s{2}"}})";
    std::vector<std::string> names;
    std::vector<std::string> routes;
    for (size_t number = 0; number < services; ++number) {
        names.push_back(fmt::format(R"({{"Name":"s{}"}})", number));
        routes.push_back(fmt::format(fmt::runtime(Route), "once", "non_idempotent", number));
        routes.push_back(fmt::format(fmt::runtime(Route), "repeat", "idempotent", number));
        routes.push_back(fmt::format(fmt::runtime(Route), "stream", "streaming", number));
    }
    return fmt::format(
        R"({{"Version":1,"Limits":{{"MaxBodyBytes":16000000}},"Services":[{}],"Routes":[{}]}})",
        fmt::join(names, ","),
        fmt::join(routes, ","));
}

// What a target sends, and when.
struct Fault {
    std::string statusLine;
    bool resets = true; // Else it ends its answer in order.
    bool readsRequest = false; // Else it answers to the first byte.
};

// A listening target that shows a fault to each request, and counts them.
class FaultyTarget
{
public:
    explicit FaultyTarget(Fault shown)
        : fault(std::move(shown))
        , thread([this] { this->run(); })
    {
    }

    ~FaultyTarget()
    {
        this->stopping = true;
        (void)http::Peer::connect(this->listener.port());
        this->thread.join();
    }

    FaultyTarget(const FaultyTarget &) = delete;
    FaultyTarget &operator=(const FaultyTarget &) = delete;

    [[nodiscard]] std::string address() const
    {
        return this->listener.address();
    }

    [[nodiscard]] int requests() const
    {
        return this->count;
    }

private:
    void run()
    {
        while (true) {
            http::Peer peer = this->listener.accept();
            const std::string first = peer.readBytes(1);
            if (this->stopping) {
                return;
            }
            if (!first.empty()) {
                this->answer(peer);
            }
        }
    }

    void answer(http::Peer &peer)
    {
        ++this->count;
        if (this->fault.readsRequest) {
            (void)peer.readUntil("\r\n\r\n");
        }
        peer.write(fmt::format("{}\r\n{}: t\r\n\r\n{}",
                               this->fault.statusLine,
                               platform::header::TargetSignature,
                               Part));
        if (this->fault.resets) {
            peer.close(true);
            return;
        }
        peer.endWriting();
        this->kept.push_back(std::move(peer)); // Closing it with unread bytes would be a reset.
    }

    http::Listener listener;
    const Fault fault;
    std::vector<http::Peer> kept;
    std::atomic<int> count{0};
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace

// Guards against a part of an answer, or a status that callers can't interpret, that an instance
// relays, and against requests that run twice or are told as not run.
TEST_CASE("no malformed answer of a target reaches a caller")
{
    constexpr uint16_t Base = 27900;
    constexpr int FirstTargetPort = Base + 70;
    const std::vector<Fault> faults{{"HTTP/1.1 200 OK"},
                                    {"HTTP/1.1 200 OK", false},
                                    {"HTTP/1.1 600 Any", false, true},
                                    {"HTTP/1.1 000 None", false, true},
                                    {"HTTP/1.1 0200 OK", false, true},
                                    {"HTTP/1.1 101 Switching Protocols", false, true}};
    std::deque<FaultyTarget> targets;
    Fleet fleet({.basePort = Base, .instances = Entry + 1, .platform = true});
    fleet.start();
    fleet.sendDeclaration(0, declarationOf(faults.size()));
    fleet.waitForDeclaration(1);
    // Each fault has targets of its own: one that has failed often is not asked for a while.
    for (size_t number = 0; number < TargetsPerFault * faults.size(); ++number) {
        const size_t fault = number / TargetsPerFault;
        const std::string address = targets.emplace_back(faults[fault]).address();
        fleet.startPlatformTarget(fmt::format("t{}", number),
                                  FirstTargetPort + static_cast<int>(number),
                                  fmt::format("s{}", fault),
                                  {"--advertise=" + address});
    }
    fleet.waitForTargets(Entry, static_cast<int>(targets.size()));
    const auto requests = [&targets] {
        int sum = 0;
        for (const FaultyTarget &target : targets) {
            sum += target.requests();
        }
        return sum;
    };
    for (size_t number = 0; number < faults.size(); ++number) {
        const Fault &fault = faults[number];
        for (const std::string_view route : {"once", "repeat", "stream"}) {
            const size_t bytes = fault.readsRequest ? SmallBytes : LargeBytes;
            const int before = requests();
            const std::string path = fmt::format("/{}{}/x", route, number);
            const auto answer = fleet.callPlatform(Entry, "POST", path, std::string(bytes, 'u'));
            INFO(fault.statusLine << ' ' << fault.resets << ' ' << path);
            REQUIRE(answer.ok());
            CHECK(answer->status == 502);
            CHECK(answer->body.find(Part) == std::string::npos);
            CHECK(answer->body.find(core::outcomeName(core::Outcome::Unknown))
                  != std::string::npos);
            CHECK(requests() - before == (route == "repeat" ? 2 : 1));
        }
    }
}
