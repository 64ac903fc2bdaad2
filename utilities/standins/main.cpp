// Command-line program that runs a stand-in target.
#include "utilities/standins/announcer.h"
#include "utilities/standins/engine.h"
#include "utilities/standins/payments.h"
#include "utilities/standins/platformtarget.h"

#include "platform/names.h"
#include "samphirebridge/core/errors.h"

#include <docopt/docopt.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <thread>

using namespace samphirebridge;
using namespace samphirebridge::standins;

namespace
{

using Arguments = std::map<std::string, docopt::value>;

constexpr std::string_view Usage = R"(Stand-in targets for samphirebridge.

Usage:
  samphire-standin engine [--announce-to=URL]... [options]
  samphire-standin payments [--announce-to=URL]... [options]
  samphire-standin platform [--announce-to=URL]... [options]

Options:
  --announce-to=URL      Instance or balancer, http://host:port; may be repeated.
  --id=ID                Name of the target; default: engine-1, payments-1 or target-1.
  --listen=ADDRESS       Address to listen on [default: 127.0.0.1].
  --port=PORT            Port; 0: any, told on standard output [default: 0].
  --advertise=ADDRESS    Address to announce, host:port; default: where it listens.
  --kind=KIND            Announced kind; default: engine, payments or platform.
  --token=TOKEN          Announce token of the kind [default: announce-token].
  --data-centre=ID       Announced data centre [default: dc-1].
  --model=ID             Announced model of an engine [default: letters].
  --incarnation=N        Incarnation; default: milliseconds since 1970.
  --threads=N            Connections served at once [default: 128].
  --run-log=PATH         Append each run to this file.
  --capacity=N           Requests that an engine runs at once [default: 16].
  --token-delay-us=N     Delay of each token [default: 1000].
  --prefill-delay-us=N   Delay of each prompt token that is not cached [default: 0].
  --answer-tokens=N      Length of an answer that max_tokens does not cut [default: 32].
  --ignore-fencing       The engine takes orders with any fencing number.
  --deduplicates         The payment service recognises a repeated key.
  --delay-ms=N           Delay of each payment, and of each answer of a plain target [default: 0].
  --crash-part=ID        A plain target ends when it is to answer a prompt with this part.
  --cold-from=N          Announce a cold state from this announcement on; 0: never [default: 0].
  --linger-ms=N          Serve this long after announcing that it leaves [default: 0].
  -h --help              Show this text.

Faults are asked for by text in a request, [kind], [kind=N] or [kind=N@id] (only on that target), or
for the next requests by POST /standin/faults {"kind": "stall-after", "value": 3, "count": 1}; DELETE
forgets these. Of an engine: crash, crash-after, stall-after, break-after, no-terminator, no-usage,
wrong-attempt, wrong-length, refuse, error; [tokens=N] sets the answer's length. Of a payment service:
crash-before, crash-after, break, wrong-length, wrong-attempt, refuse, delay (milliseconds). Of a plain
target of the users' platform: crash, crash-in (milliseconds), break, error, stream (events), silent
(milliseconds after the first event).
GET /standin/stats tells what was run.
)";

std::string
textOption(const Arguments &arguments, const std::string &name, const std::string &fallback)
{
    const docopt::value &value = arguments.at(name);
    return value.isString() ? value.asString() : fallback;
}

int64_t numberOption(const Arguments &arguments, const std::string &name)
{
    return std::stoll(arguments.at(name).asString());
}

uint64_t incarnationOf(const Arguments &arguments)
{
    if (arguments.at("--incarnation")) {
        return std::stoull(arguments.at("--incarnation").asString());
    }
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

EngineSettings engineSettings(const Arguments &arguments)
{
    EngineSettings settings;
    settings.id = textOption(arguments, "--id", settings.id);
    settings.model = textOption(arguments, "--model", settings.model);
    settings.capacity = numberOption(arguments, "--capacity");
    settings.tokenDelay = std::chrono::microseconds(numberOption(arguments, "--token-delay-us"));
    settings.prefillDelay
        = std::chrono::microseconds(numberOption(arguments, "--prefill-delay-us"));
    settings.answerTokens = numberOption(arguments, "--answer-tokens");
    settings.checksFencing = !arguments.at("--ignore-fencing").asBool();
    settings.runLog = textOption(arguments, "--run-log", "");
    return settings;
}

PaymentsSettings paymentsSettings(const Arguments &arguments)
{
    PaymentsSettings settings;
    settings.id = textOption(arguments, "--id", settings.id);
    settings.deduplicates = arguments.at("--deduplicates").asBool();
    settings.delay = std::chrono::milliseconds(numberOption(arguments, "--delay-ms"));
    settings.runLog = textOption(arguments, "--run-log", "");
    return settings;
}

PlatformTargetSettings platformTargetSettings(const Arguments &arguments)
{
    PlatformTargetSettings settings;
    settings.id = textOption(arguments, "--id", settings.id);
    settings.runLog = textOption(arguments, "--run-log", "");
    settings.delay = std::chrono::milliseconds(numberOption(arguments, "--delay-ms"));
    settings.crashPart = textOption(arguments, "--crash-part", "");
    settings.coldFrom = static_cast<uint64_t>(numberOption(arguments, "--cold-from"));
    return settings;
}

// Returns the announcement of an engine or a payment service, without `state` and `load`.
nlohmann::json announcementOf(const Arguments &arguments, uint16_t port)
{
    const bool isEngine = arguments.at("engine").asBool();
    const std::string kind = isEngine ? "engine" : "payments";
    const std::string address = arguments.at("--listen").asString() + ":" + std::to_string(port);
    nlohmann::json announcement;
    announcement["id"] = textOption(arguments, "--id", kind + "-1");
    announcement["incarnation"] = incarnationOf(arguments);
    announcement["address"] = textOption(arguments, "--advertise", address);
    announcement["kind"] = textOption(arguments, "--kind", kind);
    announcement["data_centre"] = arguments.at("--data-centre").asString();
    announcement["models"] = nlohmann::json::array();
    if (isEngine) {
        announcement["models"].push_back(arguments.at("--model").asString());
    }
    announcement["checks_fencing"] = isEngine && !arguments.at("--ignore-fencing").asBool();
    return announcement;
}

AnnouncerSettings announcerSettings(const Arguments &arguments)
{
    AnnouncerSettings settings;
    settings.announceTo = arguments.at("--announce-to").asStringList();
    settings.token = arguments.at("--token").asString();
    return settings;
}

template <typename Target>
std::unique_ptr<Announcer> announce(Target &target, const Arguments &arguments, uint16_t port)
{
    return std::make_unique<Announcer>(
        announcerSettings(arguments),
        [&target, announcement = announcementOf(arguments, port)](bool leaving) {
            nlohmann::json body = announcement;
            body["state"] = leaving ? "leaving" : "ready";
            body["load"] = target.load();
            return body;
        });
}

std::unique_ptr<Announcer>
announce(PlatformTarget &target, const Arguments &arguments, uint16_t port)
{
    AnnouncerSettings settings = announcerSettings(arguments);
    settings.path = std::string(platform::call::Heartbeat)
                    + textOption(arguments, "--id", PlatformTargetSettings().id);
    const std::string address = arguments.at("--listen").asString() + ":" + std::to_string(port);
    const nlohmann::json announcement{
        {"Service", textOption(arguments, "--kind", "platform")},
        {"Address", textOption(arguments, "--advertise", address)},
        {"Zone", arguments.at("--data-centre").asString()},
        {"Version", "v1"},
        {"born", incarnationOf(arguments)},
    };
    return std::make_unique<Announcer>(std::move(settings), [&target, announcement](bool leaving) {
        nlohmann::json body = announcement;
        body.update(target.heartbeat(leaving));
        return body;
    });
}

// Serves until SIGTERM or SIGINT, then announces `leaving`, serves for --linger-ms longer, waits
// for running requests and returns the exit code.
template <typename Target>
int serve(Target &target, const Arguments &arguments, const sigset_t &signals)
{
    http::ServerSettings settings;
    settings.address = arguments.at("--listen").asString();
    settings.port = static_cast<uint16_t>(numberOption(arguments, "--port"));
    settings.threads = static_cast<uint32_t>(numberOption(arguments, "--threads"));
    const auto server = http::Server::start(
        settings, [&target](const http::Request &request, http::ResponseWriter &writer) {
            target.serve(request, writer);
        });
    if (!server.ok()) {
        std::cerr << core::messageOf(server.status()) << '\n';
        return EXIT_FAILURE;
    }
    std::cout << (*server)->port() << std::endl;
    const auto announcer = announce(target, arguments, (*server)->port());
    int signal = 0;
    ::sigwait(&signals, &signal);
    announcer->leave();
    std::this_thread::sleep_for(std::chrono::milliseconds(numberOption(arguments, "--linger-ms")));
    (*server)->stop();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argumentCount, char **argumentTexts)
{
    // Blocked before any thread starts, so that all threads inherit the mask and only sigwait()
    // receives the signals.
    sigset_t signals;
    ::sigemptyset(&signals);
    ::sigaddset(&signals, SIGTERM);
    ::sigaddset(&signals, SIGINT);
    ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const Arguments arguments = docopt::docopt(
        std::string(Usage), {argumentTexts + 1, argumentTexts + argumentCount}, true);
    if (arguments.at("engine").asBool()) {
        Engine engine(engineSettings(arguments));
        return serve(engine, arguments, signals);
    }
    if (arguments.at("platform").asBool()) {
        PlatformTarget target(platformTargetSettings(arguments));
        return serve(target, arguments, signals);
    }
    Payments payments(paymentsSettings(arguments));
    return serve(payments, arguments, signals);
}
