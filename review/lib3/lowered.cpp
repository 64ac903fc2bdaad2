// Case: the operator lowers a tenant's Prepaid while the tenant is busy, to more than the tenant has
// had. Counts what the tenant gets. See review/12/claim.txt.
#include "letters.h"

using namespace scene;

namespace
{

constexpr LetterSize Size{.promptTokens = 1500, .maximumOutput = 80, .events = 80 / EventTokens};
constexpr double ConfigApplyS = 2.0; // Bounds.ConfigApplyMs
constexpr int ClientsPerMachine = 8;
constexpr double PauseS = 0.2;
constexpr int64_t AmplePrepaid = 50'000'000;
constexpr int64_t UnchangedPrepaid = 1'500'000; // With TROUBLE=0, from the first configuration on.

// The route by which the script sees which configuration is in force.
constexpr const char *AddedRoute
    = R"(,{"Name":"added","Host":"fees.example","PathPrefix":"/added/","Kind":"idempotent",)"
      R"("TimeoutMs":4000,"TargetLatencyMs":300,"Priority":1,"Service":"plain","MaxAttempts":2,)"
      R"("AllowAnonymous":true,"Sticky":false,"StreamResume":false,"TargetGapMs":400})";

struct Asked {
    double sentAt = 0;
    int64_t tokens = 0; // Input once, and the output of the events that the client has got.
};

std::mutex askedMutex;
std::vector<Asked> asked;

int64_t tokensOfRequestsSentUntil(double time)
{
    const std::lock_guard lock(askedMutex);
    int64_t tokens = 0;
    for (const Asked &each : asked) {
        tokens += each.sentAt <= time ? each.tokens : 0;
    }
    return tokens;
}

// Asks on a kept channel until the end. A client that is refused waits before it asks again.
void runClient(const std::string &entry, int number, Record &record, const std::atomic<bool> &ends)
{
    std::unique_ptr<Channel> channel;
    for (int count = 0; !ends; ++count) {
        if (!channel) {
            channel = Channel::connect(entry, FrontPort);
        }
        if (!channel) {
            sleepFor(0.2);
            continue;
        }
        const std::string id = format("c%02d-%06d", number, count);
        Asked result;
        result.sentAt = now();
        const LetterAnswer answer = askForLetter(*channel, id, Size);
        if (answer.events > 0) {
            result.tokens = Size.promptTokens + int64_t{answer.events} * EventTokens;
        }
        {
            const std::lock_guard lock(askedMutex);
            asked.push_back(result);
        }
        record.line(format("client: %s sent to %s at %.3f: %d, %d events",
                           id.c_str(),
                           entry.c_str(),
                           result.sentAt,
                           answer.status,
                           answer.events));
        if (!answer.isKept) {
            channel.reset();
        }
        sleepFor(answer.status == 200 ? PauseS : 1.0);
    }
}

// Tells whether the machine knows the route that the second configuration added.
bool knowsAddedRoute(const std::string &entry)
{
    const auto channel = Channel::connect(entry, FrontPort);
    if (!channel) {
        return false;
    }
    channel->setTimeout(2);
    channel->write("GET /added/x HTTP/1.1\r\nHost: fees.example\r\nX-Request-Id: probe-" + entry
                   + "\r\nX-Deadline-Ms: 2000\r\n\r\n");
    const auto answer = channel->read();
    return answer && answer->status() == 200;
}

int play(Fleet &fleet, Record &record)
{
    const bool trouble = hasTrouble();
    fleet.start();
    const int64_t firstPrepaid = trouble ? AmplePrepaid : UnchangedPrepaid;
    if (replaceConfig(fleet, record, letterConfiguration(1, firstPrepaid, "")) != 200) {
        return CouldNotRun;
    }
    for (int i = 0; i < 4; ++i) {
        startEngine(fleet, record, i, Size);
    }
    startPlainWorker(fleet);
    if (!fleet.waitUntilReady(20)) {
        record.say("the machines are not ready");
        return CouldNotRun;
    }
    sleepFor(4);
    std::atomic<bool> ends = false;
    std::vector<std::thread> clients;
    for (size_t machine = 0; machine < fleet.entries.size(); ++machine) {
        for (int i = 0; i < ClientsPerMachine; ++i) {
            clients.emplace_back(runClient,
                                 fleet.entries[machine],
                                 static_cast<int>(machine) * ClientsPerMachine + i,
                                 std::ref(record),
                                 std::cref(ends));
        }
    }
    sleepFor(7);
    const int64_t before = tokensOfRequestsSentUntil(now());
    sleepFor(5);
    const int64_t delivered = tokensOfRequestsSentUntil(now());
    const double rate = static_cast<double>(delivered - before) / 5;
    // More than the tenant has had, by what it asks for in twice the time that a configuration may
    // take until it applies.
    const int64_t lowered = delivered + static_cast<int64_t>(2 * ConfigApplyS * rate);
    const int64_t prepaid = trouble ? lowered : UnchangedPrepaid;
    record.say(format("the tenant has got %lld tokens and takes %.0f a second; the operator sends "
                      "version 2 with Prepaid %lld",
                      static_cast<long long>(delivered),
                      rate,
                      static_cast<long long>(prepaid)));
    if (replaceConfig(fleet, record, letterConfiguration(2, prepaid, AddedRoute)) != 200) {
        return CouldNotRun;
    }
    const double acknowledgedAt = now();
    record.say("version 2 is acknowledged");
    sleepFor(ConfigApplyS);
    for (const std::string &entry : fleet.entries) {
        record.say(entry + (knowsAddedRoute(entry) ? ": version 2 is in force"
                                                   : ": version 2 is not in force"));
    }
    for (int i = 0; i < 6; ++i) {
        sleepFor(3);
        record.say(format("the tenant has got %lld tokens",
                          static_cast<long long>(tokensOfRequestsSentUntil(now()))));
    }
    ends = true;
    for (std::thread &client : clients) {
        client.join();
    }
    const int64_t early = tokensOfRequestsSentUntil(acknowledgedAt + ConfigApplyS);
    const int64_t total = tokensOfRequestsSentUntil(now());
    record.say(format("Prepaid %lld; got by requests sent until ConfigApplyMs after the "
                      "acknowledgement: %lld; in all: %lld",
                      static_cast<long long>(prepaid),
                      static_cast<long long>(early),
                      static_cast<long long>(total)));
    if (total <= prepaid) {
        record.say("BUDGET held");
        return RuleHeld;
    }
    if (early > prepaid) {
        record.say("the tenant was faster than the configuration; this run shows nothing");
        return CouldNotRun;
    }
    record.say(format("BUDGET broken: the tenant got %lld tokens more than its Prepaid, all of them "
                      "by requests sent after the configuration applied",
                      static_cast<long long>(total - prepaid)));
    return RuleBroken;
}

} // namespace

int main(int argc, char **argv)
{
    signal(SIGPIPE, SIG_IGN);
    Record record(argc > 1 ? argv[1] : "record.txt");
    Fleet &fleet = *new Fleet(3, 3);
    finish(fleet, play(fleet, record));
}
