#include "tests/support/fleet.h"

#include "platform/names.h"
#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/errors.h"

#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <sstream>
#include <thread>

namespace samphirebridge::testing
{

namespace
{

// How long waitFor() waits; no test result depends on a shorter time.
constexpr std::chrono::seconds WaitTimeout{120};
constexpr std::chrono::milliseconds PollInterval{20};
constexpr std::chrono::seconds CallTimeout{60};

// Offsets from the fleet's base port, within its 100 ports.
constexpr int RpcOffset = 10;
constexpr int RelayOffset = 20;
constexpr int MaximumRelayedInstances = 5;
constexpr int InterfaceOffset = 50;

// The HTTP interfaces of an instance of the platform's program; each has a port of its own.
constexpr int ControlInterface = 0;
constexpr int CallersInterface = 1;
constexpr int ReadinessInterface = 2;
constexpr int InterfacesPerInstance = 3;

std::string hexDigest(std::string_view secret)
{
    return core::toHex(core::sha256Of(secret));
}

void require(bool holds, std::string_view what, std::string_view detail = {})
{
    if (!holds) {
        throw FleetError(detail.empty() ? std::string(what) : fmt::format("{}: {}", what, detail));
    }
}

} // namespace

Fleet::Fleet(FleetOptions fleetOptions)
    : options(std::move(fleetOptions))
{
    std::signal(SIGPIPE, SIG_IGN);
    if (!this->options.relays) {
        return;
    }
    for (int from = 0; from < this->options.instances; ++from) {
        for (int to = 0; to < this->options.instances; ++to) {
            if (from != to) {
                this->relays[{from, to}]
                    = std::make_unique<Relay>(this->relayPort(from, to), this->rpcPort(to));
            }
        }
    }
}

void Fleet::start()
{
    for (int index = 0; index < this->options.instances; ++index) {
        std::filesystem::create_directories(this->dataFolder(index));
        this->writeSettings(index);
        if (index < this->options.controlInstances) {
            const ProgramResult result
                = runProgram(SAMPHIREBRIDGED_PATH,
                             {fmt::format("--settings={}/i{}.yaml", this->folder().string(), index),
                              "--initialise"},
                             this->folder());
            require(result.exitCode == 0, "cannot initialise a data folder", result.output);
        }
    }
    for (int index = 0; index < this->options.instances; ++index) {
        this->startInstance(index);
    }
}

void Fleet::startInstance(int index)
{
    const std::string base = fmt::format("{}/i{}", this->folder().string(), index);
    this->instances.erase(index);
    this->instances.emplace(
        index,
        ChildProcess(this->options.platform ? platformProgram() : SAMPHIREBRIDGED_PATH,
                     {"--settings=" + base + ".yaml"},
                     base + ".log"));
}

ChildProcess &Fleet::instance(int index)
{
    return this->instances.at(index);
}

void Fleet::loseDisk(int index)
{
    std::filesystem::remove_all(this->dataFolder(index));
    std::filesystem::create_directories(this->dataFolder(index));
}

void Fleet::isolate(int index)
{
    this->forEachRelayOf(index, [](Relay &relay) { relay.blockAll(); });
}

void Fleet::rejoin(int index)
{
    this->forEachRelayOf(index, [](Relay &relay) { relay.heal(); });
}

void Fleet::resetLinks(int index)
{
    this->forEachRelayOf(index, [](Relay &relay) { relay.reset(); });
}

void Fleet::delayLinks(int index, std::chrono::milliseconds time)
{
    this->forEachRelayOf(index, [time](Relay &relay) { relay.delay(time); });
}

void Fleet::limitLinkRates(size_t bytesPerSecond)
{
    for (auto &[link, relay] : this->relays) {
        relay->limitRate(bytesPerSecond);
    }
}

void Fleet::blockRequestsFrom(int index)
{
    for (auto &[link, relay] : this->relays) {
        if (link.first == index) {
            relay->blockRequests();
        }
    }
}

void Fleet::forEachRelayOf(int index, const std::function<void(Relay &)> &action)
{
    for (auto &[link, relay] : this->relays) {
        if (link.first == index || link.second == index) {
            action(*relay);
        }
    }
}

void Fleet::blockLink(int first, int second)
{
    this->relays.at({first, second})->blockAll();
    this->relays.at({second, first})->blockAll();
}

void Fleet::waitUntilReady(int index)
{
    waitFor(fmt::format("instance {} is ready", index), [this, index] {
        const auto answer = this->call(index, "GET", "/health/ready", "");
        return answer.ok() && answer->status == 200;
    });
}

ChildProcess &Fleet::startEngine(const std::string &name,
                                 int port,
                                 const std::vector<int> &announceTo,
                                 const std::vector<std::string> &arguments)
{
    return this->startStandin(
        "engine", name, port, EngineToken, this->httpUrls(announceTo), arguments);
}

ChildProcess &Fleet::startPayments(const std::string &name,
                                   int port,
                                   const std::vector<int> &announceTo,
                                   const std::vector<std::string> &arguments)
{
    return this->startStandin(
        "payments", name, port, PaymentsToken, this->httpUrls(announceTo), arguments);
}

ChildProcess &Fleet::startPlatformTarget(const std::string &name,
                                         int port,
                                         const std::string &service,
                                         const std::vector<std::string> &arguments)
{
    std::vector<std::string> urls;
    urls.reserve(this->options.controlInstances);
    for (int index = 0; index < this->options.controlInstances; ++index) {
        urls.push_back(
            fmt::format("http://127.0.0.1:{}", this->interfacePort(index, ControlInterface)));
    }
    std::vector<std::string> all{"--kind=" + service};
    all.insert(all.end(), arguments.begin(), arguments.end());
    return this->startStandin("platform", name, port, "", urls, all);
}

ChildProcess &Fleet::startStandin(const std::string &mode,
                                  const std::string &name,
                                  int port,
                                  const std::string &token,
                                  const std::vector<std::string> &announceTo,
                                  const std::vector<std::string> &arguments)
{
    std::vector<std::string> commandLine{mode,
                                         fmt::format("--id={}", name),
                                         fmt::format("--port={}", port),
                                         fmt::format("--token={}", token)};
    for (const std::string &url : announceTo) {
        commandLine.push_back(fmt::format("--announce-to={}", url));
    }
    commandLine.insert(commandLine.end(), arguments.begin(), arguments.end());
    const std::string log = fmt::format("{}/{}.log", this->folder().string(), name);
    this->standins.erase(name);
    return this->standins.emplace(name, ChildProcess(STANDIN_PATH, commandLine, log)).first->second;
}

void Fleet::waitForTargets(int index, int count)
{
    waitFor(fmt::format("instance {} knows {} targets", index, count), [this, index, count] {
        return this->metric(index, "samphirebridge_targets_ready") == count;
    });
}

std::string Fleet::standinUrl(int port) const
{
    return fmt::format("http://127.0.0.1:{}", port);
}

nlohmann::json Fleet::standinStats(int port)
{
    http::ClientRequest request;
    request.url = this->standinUrl(port) + "/standin/stats";
    const auto answer = this->httpClient.fetch(request, CallTimeout);
    require(answer.ok(), "no answer from a stand-in", core::messageOf(answer.status()));
    return nlohmann::json::parse(answer->body);
}

absl::StatusOr<http::Answer> Fleet::call(int index,
                                         const std::string &method,
                                         const std::string &path,
                                         const std::string &token,
                                         const std::string &body,
                                         const http::Headers &headers)
{
    http::ClientRequest request;
    request.method = method;
    request.url = this->httpUrl(index) + path;
    request.headers = headers;
    if (!token.empty()) {
        request.headers.set("Authorization", "Bearer " + token);
    }
    request.body = body;
    return this->httpClient.fetch(request, CallTimeout);
}

absl::StatusOr<http::Answer> Fleet::callPlatform(int index,
                                                 const std::string &method,
                                                 const std::string &path,
                                                 const std::string &body,
                                                 const http::Headers &headers)
{
    http::ClientRequest request;
    request.method = method;
    request.url
        = fmt::format("http://127.0.0.1:{}{}", this->interfacePort(index, CallersInterface), path);
    request.headers = headers;
    request.body = body;
    return this->httpClient.fetch(request, CallTimeout);
}

nlohmann::json Fleet::callJson(int index,
                               const std::string &method,
                               const std::string &path,
                               const std::string &token,
                               const std::string &body)
{
    const auto answer = this->call(index, method, path, token, body);
    require(answer.ok(), "no answer to " + path, core::messageOf(answer.status()));
    return nlohmann::json::parse(answer->body);
}

std::vector<std::string> Fleet::httpUrls(const std::vector<int> &indices) const
{
    std::vector<std::string> urls;
    urls.reserve(indices.size());
    for (const int index : indices) {
        urls.push_back(this->httpUrl(index));
    }
    return urls;
}

std::string Fleet::httpUrl(int index) const
{
    return fmt::format("http://127.0.0.1:{}", this->httpPort(index));
}

ProgramResult Fleet::runSamphirectl(int index, std::vector<std::string> arguments)
{
    const std::filesystem::path tokenFile = this->folder() / "operator-token";
    writeFile(tokenFile, OperatorToken);
    arguments.push_back("--token-file=" + tokenFile.string());
    arguments.push_back("--endpoint=" + this->httpUrl(index));
    return runProgram(SAMPHIRECTL_PATH, arguments, this->folder());
}

void Fleet::applyManifest(int index, const std::string &manifest, int expectedVersion)
{
    const std::filesystem::path file = this->folder() / "manifest.yaml";
    writeFile(file, manifest);
    const ProgramResult result
        = this->runSamphirectl(index,
                               {"apply",
                                file.string(),
                                fmt::format("--expect-version={}", expectedVersion),
                                fmt::format("--change-id=change-{}", expectedVersion + 1)});
    require(result.exitCode == 0, "the manifest is not accepted", result.output);
}

void Fleet::sendDeclaration(int index, const std::string &content)
{
    http::ClientRequest request;
    request.method = "POST";
    request.url = fmt::format("http://127.0.0.1:{}{}",
                              this->interfacePort(index, ControlInterface),
                              platform::call::ReplaceDeclaration);
    request.body = content;
    waitFor("a declaration is acknowledged", [&] {
        const auto answer = this->httpClient.fetch(request, CallTimeout);
        return answer.ok() && answer->status == 200;
    });
}

void Fleet::waitForDeclaration(uint64_t version)
{
    for (int index = 0; index < this->options.instances; ++index) {
        waitFor(fmt::format("version {} is in force at instance {}", version, index), [&] {
            return this->metric(index, "samphirebridge_manifest_version")
                   == static_cast<double>(version);
        });
    }
}

std::string Fleet::log(int index) const
{
    return readFile(this->folder() / fmt::format("i{}.log", index));
}

double Fleet::metric(int index, const std::string &name)
{
    const auto answer = this->call(index, "GET", "/metrics", "");
    if (!answer.ok()) {
        return -1;
    }
    std::istringstream lines(answer->body);
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind(name + " ", 0) == 0) {
            return std::stod(line.substr(name.size() + 1));
        }
    }
    return -1;
}

nlohmann::json Fleet::readBudget(int index, const std::string &id)
{
    nlohmann::json state;
    waitFor("the quorum confirms a read of budget " + id, [&] {
        const auto answer = this->call(index, "GET", "/v1/budgets/" + id, OperatorToken);
        if (!answer.ok() || answer->status != 200) {
            return false;
        }
        state = nlohmann::json::parse(answer->body).at("budgets").at(0);
        return true;
    });
    return state;
}

void Fleet::waitFor(const std::string &what, const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + WaitTimeout;
    while (!condition()) {
        require(std::chrono::steady_clock::now() < deadline, "timed out waiting until " + what);
        std::this_thread::sleep_for(PollInterval);
    }
}

std::string Fleet::leader(int index)
{
    std::string name;
    waitFor("a leader is known", [&] {
        const auto answer = this->call(index, "GET", "/v1/status", OperatorToken);
        if (!answer.ok() || answer->status != 200) {
            return false;
        }
        name = nlohmann::json::parse(answer->body).at("leader");
        return !name.empty();
    });
    return name;
}

const std::filesystem::path &Fleet::folder() const
{
    return this->temporary.path();
}

http::Client &Fleet::client()
{
    return this->httpClient;
}

uint16_t Fleet::httpPort(int index) const
{
    return this->options.basePort + index;
}

uint16_t Fleet::controlPort(int index) const
{
    return this->interfacePort(index, ControlInterface);
}

uint16_t Fleet::callersPort(int index) const
{
    return this->interfacePort(index, CallersInterface);
}

uint16_t Fleet::interfacePort(int index, int interfaceKind) const
{
    return this->options.basePort + InterfaceOffset + index * InterfacesPerInstance + interfaceKind;
}

std::string Fleet::interfaceSettings(int index) const
{
    std::string text = fmt::format("interface:\n  readiness: \"127.0.0.1:{}\"\n",
                                   this->interfacePort(index, ReadinessInterface));
    const bool isControl = index < this->options.controlInstances;
    if (!isControl || !this->options.separateControl) {
        text += fmt::format("  callers: \"127.0.0.1:{}\"\n",
                            this->interfacePort(index, CallersInterface));
    }
    if (isControl) {
        text += fmt::format("  control: \"127.0.0.1:{}\"\n",
                            this->interfacePort(index, ControlInterface));
    }
    return text;
}

uint16_t Fleet::rpcPort(int index) const
{
    return this->options.basePort + RpcOffset + index;
}

uint16_t Fleet::relayPort(int from, int to) const
{
    return this->options.basePort + RelayOffset + from * MaximumRelayedInstances + to;
}

std::filesystem::path Fleet::dataFolder(int index) const
{
    return this->folder() / fmt::format("data{}", index);
}

void Fleet::writeSettings(int index) const
{
    const auto roles = [this](int other) {
        if (other >= this->options.controlInstances) {
            return "[entry]";
        }
        return this->options.separateControl ? "[control]" : "[entry, control]";
    };
    std::string text = fmt::format("instance: i{}\n"
                                   "data_centre: dc{}\n"
                                   "roles: {}\n"
                                   "http: {{listen: \"127.0.0.1:{}\", threads: 64, "
                                   "max_body_bytes: {}}}\n"
                                   "rpc: {{listen: \"127.0.0.1:{}\"}}\n"
                                   "operator_token_sha256: [{}]\n"
                                   "shutdown_grace_ms: {}\n"
                                   "consensus: {{heartbeat_ms: 50, election_timeout_ms: 400}}\n",
                                   index,
                                   index,
                                   roles(index),
                                   this->httpPort(index),
                                   this->options.maximumBodyBytes,
                                   this->rpcPort(index),
                                   hexDigest(OperatorToken),
                                   this->options.shutdownGraceMs);
    text += this->options.additionalSettings;
    if (this->options.platform) {
        text += this->interfaceSettings(index);
    }
    if (index < this->options.controlInstances) {
        text += fmt::format("data_folder: {}\n", this->dataFolder(index).string());
    }
    text += "peers:\n";
    for (int other = 0; other < this->options.instances; ++other) {
        const bool relayed = this->options.relays && other != index;
        text += fmt::format("  - {{id: i{}, rpc: \"127.0.0.1:{}\", http: \"127.0.0.1:{}\", "
                            "data_centre: dc{}, roles: {}}}\n",
                            other,
                            relayed ? this->relayPort(index, other) : this->rpcPort(other),
                            this->httpPort(other),
                            other,
                            roles(other));
    }
    writeFile(this->folder() / fmt::format("i{}.yaml", index), text);
}

std::string platformProgram()
{
    return SAMPHIREBRIDGE_PLATFORM_PATH;
}

std::string testManifest(int64_t tokensA, int64_t tokensB)
{
    return fmt::format(R"(organisations:
  - {{id: a, services: [chat, payments], models: [letters]}}
  - {{id: b, services: [chat], models: [letters]}}
budgets:
  - {{id: budget-a, organisation: a, tokens: {}}}
  - {{id: budget-b, organisation: b, tokens: {}}}
caller_keys:
  - {{id: key-a, organisation: a, budget: budget-a, sha256: {}}}
  - {{id: key-b, organisation: b, budget: budget-b, sha256: {}}}
services:
  - {{id: chat, kind: chat, max_output_tokens: 512, stall_timeout_ms: 2000, deadline_ms: 60000}}
  - id: payments
    kind: plain
    price_tokens: 100
    deadline_ms: 30000
    routes:
      - {{method: POST, path_prefix: /v1/payments, repeat: never}}
      - {{method: GET, path_prefix: /v1/payments, repeat: repeatable}}
models:
  - {{id: letters, service: chat}}
target_kinds:
  - {{id: engine, service: chat, announce_sha256: {}, checks_fencing: true}}
  - {{id: payments, service: payments, announce_sha256: {}, checks_fencing: false}}
)",
                       tokensA,
                       tokensB,
                       hexDigest(CallerKeyA),
                       hexDigest(CallerKeyB),
                       hexDigest(EngineToken),
                       hexDigest(PaymentsToken));
}

std::string chatBody(const std::string &prompt, int maximumTokens, bool stream)
{
    const nlohmann::json body{{"model", "letters"},
                              {"max_tokens", maximumTokens},
                              {"stream", stream},
                              {"messages", {{{"role", "user"}, {"content", prompt}}}}};
    return body.dump();
}

} // namespace samphirebridge::testing
