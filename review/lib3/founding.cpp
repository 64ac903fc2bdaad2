// Case: a control process is killed and restarted while the whole system starts for the first time;
// later two machines lose their disks. See review/11/claim.txt.
#include "scene.h"

using namespace scene;

namespace
{

constexpr double KilledAfterS = 0.15; // After its start.
constexpr double DownS = 1.0;
constexpr double CalmS = 20.0; // Much longer than CatchUpS (4) and ConnectivityMs (3,000).
constexpr double LostDiskDownS = 1.0;
constexpr double RecoveryS = 12.0; // Bounds.RecoveryS
constexpr double ReadingS = 30.0; // How long the operator tries to read back: RecoveryS and more.
constexpr int ControlMachines = 5;
constexpr int KilledMachine = 4; // The last one, which is no seed.
constexpr int FirstLostDisk = 0;
constexpr int LostDisks = 2; // FaultTolerance.Machines

std::string configuration(int version)
{
    const std::string added
        = R"(,{"Name":"added","Host":"fees.example","PathPrefix":"/added/","Kind":"idempotent",)"
          R"("TimeoutMs":4000,"TargetLatencyMs":300,"Priority":1,"Service":"fees",)"
          R"("MaxAttempts":2,"AllowAnonymous":true,"Sticky":false,"StreamResume":false,)"
          R"("TargetGapMs":400})";
    return format(R"({"Version":%d,"Routes":[{"Name":"fees","Host":"fees.example",)"
                  R"("PathPrefix":"/fees/","Kind":"idempotent","TimeoutMs":4000,)"
                  R"("TargetLatencyMs":300,"Priority":1,"Service":"fees","MaxAttempts":2,)"
                  R"("AllowAnonymous":true,"Sticky":false,"StreamResume":false,)"
                  R"("TargetGapMs":400})",
                  version)
           + (version > 1 ? added : "")
           + R"(],"Services":[{"Name":"fees","HealthPath":"/health","MaxConnections":96,)"
             R"("Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,)"
             R"("MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
}

// Starts all machines within 0.3 s of each other, in an order in which the last control machine is
// the first. Without the disruption its process is not killed.
void startForTheFirstTime(Fleet &fleet, Record &record)
{
    const std::string &killed = fleet.controls[KilledMachine];
    fleet.startMachine(killed, true);
    record.line("started " + killed);
    sleepFor(KilledAfterS);
    if (hasTrouble()) {
        fleet.kill(killed);
        record.say("the process on " + killed + " is killed");
    }
    const double killedAt = now();
    sleepFor(0.05);
    for (const std::string &ip : fleet.controls) {
        if (ip != killed) {
            fleet.startMachine(ip, true);
            record.line("started " + ip);
        }
    }
    for (const std::string &ip : fleet.entries) {
        fleet.startMachine(ip, true);
        record.line("started " + ip);
    }
    if (hasTrouble()) {
        sleepFor(killedAt + DownS - now());
        fleet.startMachine(killed);
        record.say("the process on " + killed + " is started again, with its disk");
    }
}

// Tells whether a machine answers a read of the configuration with the given content.
bool isReadBack(const Fleet &fleet, Record &record, const std::string &content)
{
    for (const std::string &ip : fleet.controls) {
        const auto [status, body] = callControl(ip, "GET", "/v1/Config.Read", "");
        record.line(format("operator: Config.Read from %s: %d %s",
                           ip.c_str(),
                           status,
                           body.substr(0, 80).c_str()));
        if (status == 200) {
            record.say(format("%s answers the read with %s",
                              ip.c_str(),
                              body == content ? "what was acknowledged" : "something else"));
            return body == content;
        }
    }
    return false;
}

int play(Fleet &fleet, Record &record)
{
    startForTheFirstTime(fleet, record);
    if (replaceConfig(fleet, record, configuration(1)) != 200) {
        return CouldNotRun;
    }
    record.say("version 1 is acknowledged");
    new Worker(fleet,
               "i-fees",
               fleet.net + ".201",
               "fees",
               [&record](Worker &worker, Channel &channel, const Message &request) {
                   record.line("worker: runs " + request.fieldOf("x-request-id"));
                   return channel.write(
                       workerHead(worker, request, 200, "Content-Length: 2\r\n") + "ok");
               });
    if (!fleet.waitUntilReady(20)) {
        record.say("the machines are not ready");
        return CouldNotRun;
    }
    record.say(format("all is calm for %.0f s", CalmS));
    sleepFor(CalmS);
    if (!isReadBack(fleet, record, configuration(1))) {
        return CouldNotRun;
    }
    const std::string last = configuration(2);
    if (replaceConfig(fleet, record, last) != 200) {
        return CouldNotRun;
    }
    record.say("version 2 is acknowledged");
    for (int i = FirstLostDisk; i < FirstLostDisk + LostDisks; ++i) {
        fleet.kill(fleet.controls[i]);
        fleet.loseDisk(fleet.controls[i]);
        record.say(fleet.controls[i] + " loses its disk");
    }
    sleepFor(LostDiskDownS);
    for (int i = FirstLostDisk; i < FirstLostDisk + LostDisks; ++i) {
        fleet.startMachine(fleet.controls[i]);
        record.say(fleet.controls[i] + " is back, with an empty disk");
    }
    const double backAt = now();
    while (now() < backAt + ReadingS) {
        if (isReadBack(fleet, record, last)) {
            record.say(format("read back %.1f s after the machines were back: LOST held",
                              now() - backAt));
            return RuleHeld;
        }
        sleepFor(0.5);
    }
    record.say(format("LOST broken: %.0f s after the machines were back (RecoveryS is %.0f) no "
                      "machine answers a read with what was acknowledged",
                      ReadingS,
                      RecoveryS));
    return RuleBroken;
}

} // namespace

int main(int argc, char **argv)
{
    signal(SIGPIPE, SIG_IGN);
    Record record(argc > 1 ? argv[1] : "record.txt");
    Fleet &fleet = *new Fleet(ControlMachines, 2);
    finish(fleet, play(fleet, record));
}
