// Case: entry machines are killed one at a time and come back. Counts the answers 402 to a tenant
// whose balance covers the request. See review/14/claim.txt.
#include "letters.h"

using namespace scene;

namespace
{

constexpr LetterSize Size{
    .promptTokens = 500, .maximumOutput = 1500, .events = 20, .eventPauseS = 0.05};
constexpr double ConnectivityS = 3.0; // Bounds.ConnectivityMs
constexpr double SettleS = 1.5; // Bounds.settle_ms
constexpr double OwedShare = 0.97; // Of Prepaid; see the Credit rule on Prepaid.
constexpr int ClientsPerMachine = 8;
constexpr double PauseS = 0.5;
constexpr int64_t Prepaid = 600'000;
constexpr int Kills = 5;
constexpr double KillGapS = 7.0;
constexpr double DownS = 1.0;
constexpr int FreeDenials = 5; // DENIED: more than 5 + one in 500 of all requests.
constexpr int RequestsPerFreeDenial = 500;

// A request that a worker began, and what it made of it.
struct Run {
    std::optional<double> endedAt;
    int events = 0;
};

std::mutex mutex;
std::map<std::string, Run> runs;
std::map<std::string, double> killedAt; // The last time of each machine, until it was started.
std::atomic<int> requests = 0;
std::atomic<int> denials = 0;
std::atomic<int> falseDenials = 0;

// Returns the most that the tenant can have consumed: for each request that a worker began, the
// prompt and all that the worker made, also what no client got; at their most those that had not
// ended settle_ms before.
int64_t consumedAtMost(double time)
{
    const std::lock_guard lock(mutex);
    int64_t tokens = 0;
    for (const auto &[id, run] : runs) {
        const bool isSettled = run.endedAt && *run.endedAt + SettleS <= time;
        tokens += Size.promptTokens
                  + (isSettled ? int64_t{run.events} * EventTokens : Size.maximumOutput);
    }
    return tokens;
}

bool isInTouch(const std::string &entry, double time)
{
    const std::lock_guard lock(mutex);
    const auto found = killedAt.find(entry);
    return found == killedAt.end() || found->second + ConnectivityS <= time;
}

void noteDenial(const std::string &id, const std::string &entry, double sentAt, Record &record)
{
    ++denials;
    const int64_t consumed = consumedAtMost(now());
    const int64_t needed = Size.promptTokens + Size.maximumOutput;
    const bool isCovered = static_cast<double>(consumed + needed) <= OwedShare * Prepaid;
    const bool isFalse = isCovered && isInTouch(entry, sentAt);
    falseDenials += isFalse ? 1 : 0;
    record.line(format("client: %s got 402 from %s; consumed at most %lld of %lld, needed %lld: %s",
                       id.c_str(),
                       entry.c_str(),
                       static_cast<long long>(consumed),
                       static_cast<long long>(Prepaid),
                       static_cast<long long>(needed),
                       isFalse ? "denied though covered" : "excused"));
}

// Asks on a new channel each time until the end. A client that is refused waits before it asks
// again.
void runClient(const std::string &entry, int number, Record &record, const std::atomic<bool> &ends)
{
    for (int count = 0; !ends; ++count) {
        const auto channel = Channel::connect(entry, FrontPort);
        if (!channel) {
            sleepFor(0.2);
            continue;
        }
        const std::string id = format("c%02d-%06d", number, count);
        const double sentAt = now();
        const LetterAnswer answer = askForLetter(*channel, id, Size);
        ++requests;
        record.line(format("client: %s sent to %s at %.3f: %d, %d events",
                           id.c_str(),
                           entry.c_str(),
                           sentAt,
                           answer.status,
                           answer.events));
        if (answer.status == 402) {
            noteDenial(id, entry, sentAt, record);
        }
        sleepFor(answer.status == 200 ? PauseS : 1.0);
    }
}

// Kills the machine's process and starts it again, as the platform does.
void killAndRestart(Fleet &fleet, const std::string &entry, Record &record)
{
    {
        const std::lock_guard lock(mutex);
        killedAt[entry] = now() + DownS;
    }
    record.say("the process on " + entry + " is killed");
    fleet.kill(entry);
    sleepFor(DownS);
    fleet.startMachine(entry);
    const std::lock_guard lock(mutex);
    killedAt[entry] = now();
}

int play(Fleet &fleet, Record &record)
{
    fleet.start();
    if (replaceConfig(fleet, record, letterConfiguration(1, Prepaid, "")) != 200) {
        return CouldNotRun;
    }
    for (int i = 0; i < 4; ++i) {
        startEngine(
            fleet,
            record,
            i,
            Size,
            [](const std::string &id) {
                const std::lock_guard lock(mutex);
                runs[id] = {};
            },
            [](const std::string &id, int events) {
                const std::lock_guard lock(mutex);
                runs[id] = {now(), events};
            });
    }
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
    sleepFor(4);
    for (int i = 0; i < Kills; ++i) {
        const double next = now() + KillGapS;
        if (hasTrouble()) {
            killAndRestart(fleet, fleet.entries[i % fleet.entries.size()], record);
        }
        sleepFor(next - now());
        record.say(format("consumed at most %lld of %lld",
                          static_cast<long long>(consumedAtMost(now())),
                          static_cast<long long>(Prepaid)));
    }
    for (int i = 0; i < 11; ++i) {
        sleepFor(4);
        record.say(format("consumed at most %lld of %lld; %d requests, %d answers 402, %d of them "
                          "though covered",
                          static_cast<long long>(consumedAtMost(now())),
                          static_cast<long long>(Prepaid),
                          requests.load(),
                          denials.load(),
                          falseDenials.load()));
    }
    ends = true;
    for (std::thread &client : clients) {
        client.join();
    }
    const int free = FreeDenials + requests / RequestsPerFreeDenial;
    const bool isBroken = falseDenials > free;
    record.say(format("%s: of %d requests, %d were answered 402 by machines in touch though the "
                      "balance covers them; the rule allows %d",
                      isBroken ? "DENIED broken" : "DENIED held",
                      requests.load(),
                      falseDenials.load(),
                      free));
    return isBroken ? RuleBroken : RuleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    signal(SIGPIPE, SIG_IGN);
    Record record(argc > 1 ? argv[1] : "record.txt");
    Fleet &fleet = *new Fleet(3, 3);
    finish(fleet, play(fleet, record));
}
