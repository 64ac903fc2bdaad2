// A request that crashes its targets comes again after all processes were killed: see claim.txt.
#include "config.h"

using namespace review;

namespace
{

constexpr int Entries = 6;
constexpr int Cores = 3;
constexpr int Targets = 10;
constexpr double ConnectivityS = 3.0;
constexpr double DownS = 3.0; // "the worker is back after some seconds"

struct Shared {
    std::mutex mutex;
    std::vector<double> poisonArrivals;
    std::vector<double> crashes;
    int answered = 0;
    int sound = 0;
};

Shared &shared()
{
    static Shared instance;
    return instance;
}

bool serve(Target &target, const TargetRequest &request, TargetChannel &channel)
{
    if (request.path.find("/poison") == std::string::npos) {
        sleepS(0.06);
        return channel.send(okAnswer(request.id, "paid"));
    }
    {
        const std::lock_guard<std::mutex> lock(shared().mutex);
        shared().poisonArrivals.push_back(seconds());
    }
    NOTE("harmful request %s reaches %s", request.id.c_str(), target.options.id.c_str());
    // It waits for a slot, then begins to run.
    const double end = seconds() + 0.4;
    while (seconds() < end) {
        sleepS(0.02);
        if (channel.closedByPeer() || !target.isUp()) {
            NOTE("harmful request %s was dropped before it ran", request.id.c_str());
            return false;
        }
    }
    NOTE("harmful request %s runs at %s, which crashes",
         request.id.c_str(),
         target.options.id.c_str());
    {
        const std::lock_guard<std::mutex> lock(shared().mutex);
        shared().crashes.push_back(seconds());
    }
    target.crash();
    return false;
}

} // namespace

int main()
{
    return runCase([] {
        Fleet fleet({.entries = Entries, .cores = Cores, .zones = 3});
        fleet.start();
        ConfigSpec spec;
        spec.version = 3;
        spec.plainServices = {"cobros-api"};
        spec.routes = {{.name = "post-payment",
                        .prefix = "/pay/",
                        .kind = "non_idempotent",
                        .service = "cobros-api",
                        .timeoutMs = 2000,
                        .maxAttempts = 1}};
        spec.tenants = {{"tenant-1", "key-1", -1}};
        if (fleet.configure(document(spec), 20) != 200) {
            throw CannotRun("the configuration was not accepted");
        }
        std::vector<std::unique_ptr<Target>> targets;
        for (int index = 0; index < Targets; ++index) {
            targets.push_back(
                std::make_unique<Target>(fleet,
                                         TargetOptions{.id = "i-" + std::to_string(index),
                                                       .service = "cobros-api",
                                                       .zone = fleet.zoneOf(index),
                                                       .slots = 6},
                                         index,
                                         serve));
            targets.back()->start();
        }
        fleet.waitReady(30);
        sleepS(3);
        std::atomic<bool> stop{false};
        // Starts each crashed target again, as a new lifetime under its id, after some seconds.
        std::thread restarter([&] {
            std::map<int, double> downSince;
            while (!stop) {
                for (int index = 0; index < Targets; ++index) {
                    if (targets[index]->isUp()) {
                        downSince.erase(index);
                    } else if (!downSince.contains(index)) {
                        downSince[index] = seconds();
                    } else if (seconds() - downSince[index] >= DownS) {
                        targets[index]->start();
                    }
                }
                sleepS(0.05);
            }
        });
        const auto send
            = [&](int entry, const std::string &path, const std::string &body, double timeoutS) {
                  const std::string id = newRequestId();
                  return std::pair(id,
                                   request(fleet.entryIp(entry),
                                           fleet.frontPort,
                                           "POST",
                                           path,
                                           {{"Host", spec.host},
                                            {"X-Request-Id", id},
                                            {"X-Deadline-Ms", "4000"},
                                            {"Authorization", "Bearer key-1"}},
                                           body,
                                           timeoutS));
              };
        // Sound requests of the same route, two a second at each machine.
        std::vector<std::thread> clients;
        for (int entry = 0; entry < Entries; ++entry) {
            clients.emplace_back([&, entry] {
                int number = 0;
                while (!stop) {
                    ++number;
                    const auto [id, answer] = send(entry,
                                                   text("/pay/%d-%d", entry, number),
                                                   text("sound %d %d", entry, number),
                                                   4);
                    {
                        const std::lock_guard<std::mutex> lock(shared().mutex);
                        ++shared().sound;
                        shared().answered += answer.status == 200 ? 1 : 0;
                    }
                    NOTE("sound %s machine %d status %d", id.c_str(), entry, answer.status);
                    std::this_thread::sleep_for(std::chrono::milliseconds(500));
                }
            });
        }
        // The harmful request comes once at each machine, within 0.5 s.
        const auto round = [&](int number) {
            std::vector<std::thread> senders;
            for (int entry = 0; entry < Entries; ++entry) {
                senders.emplace_back([&, entry] {
                    sleepS(entry * 0.1);
                    NOTE("round %d: harmful request sent to machine %d", number, entry);
                    const auto [id, answer] = send(entry, "/pay/poison", "the same body", 4);
                    NOTE("round %d: harmful request %s at machine %d: status %d %s",
                         number,
                         id.c_str(),
                         entry,
                         answer.status,
                         answer.body.c_str());
                });
            }
            for (std::thread &sender : senders) {
                sender.join();
            }
        };
        round(1);
        size_t firstCrashes = 0;
        double third = 0;
        for (int turn = 0; turn < 5 && third == 0; ++turn) {
            sleepS(1);
            const std::lock_guard<std::mutex> lock(shared().mutex);
            firstCrashes = shared().crashes.size();
            third = firstCrashes >= 3 ? shared().crashes[2] : 0;
        }
        if (third == 0) {
            throw CannotRun("the request crashed fewer than three targets");
        }
        NOTE("it has crashed %zu targets, the third at %.3f", firstCrashes, third);
        sleepS(8);
        round(2);
        sleepS(3);
        if (trouble()) {
            NOTE("all processes are killed");
            for (auto &[name, process] : fleet.processes) {
                process->signal(SIGKILL);
            }
            sleepS(0.5);
            for (auto &[name, process] : fleet.processes) {
                process->start();
            }
            NOTE("all processes are started again");
            fleet.waitReady(20);
            NOTE("all machines are ready");
        }
        sleepS(2 * ConnectivityS + 2);
        const double from = seconds();
        round(3);
        sleepS(8);
        round(4);
        sleepS(1);
        stop = true;
        for (std::thread &client : clients) {
            client.join();
        }
        restarter.join();
        const std::lock_guard<std::mutex> lock(shared().mutex);
        const auto late = std::count_if(shared().poisonArrivals.begin(),
                                        shared().poisonArrivals.end(),
                                        [&](double at) { return at > third + ConnectivityS; });
        const auto afterRestart = std::count_if(shared().poisonArrivals.begin(),
                                                shared().poisonArrivals.end(),
                                                [&](double at) { return at > from; });
        NOTE("sound requests: %d of %d answered", shared().answered, shared().sound);
        NOTE("it reached targets in %ld requests later than ConnectivityMs after the third crash "
             "(%ld since %.1f); "
             "the rule allows three",
             static_cast<long>(late),
             static_cast<long>(afterRestart),
             from);
        const bool holds = late <= 3;
        NOTE("BUDGET %s", holds ? "held" : "broken");
        for (const auto &target : targets) {
            target->crash();
        }
        return holds;
    });
}
