// A small fleet of real processes on loopback, with stand-in targets and relays for fault
// injection.
#pragma once

#include "samphirebridge/http/client.h"
#include "tests/support/childprocess.h"
#include "tests/support/relay.h"
#include "tests/support/temporaryfolder.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace samphirebridge::testing
{

// An operation of the fleet failed or timed out; the message says which.
class FleetError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

struct FleetOptions {
    uint16_t basePort = 0; // The fleet uses 100 ports from this one on.
    int instances = 3;
    int controlInstances = 3; // The first instances have the control role and vote.
    bool relays = false; // Route every link between two instances through a relay.
    int shutdownGraceMs = 20'000;
    int maximumBodyBytes = 1 << 20;
    // Run the platform's program, whose instances are configured by declarations.
    bool platform = false;
    // The control instances have no entry role and serve no callers.
    bool separateControl = false;
    std::string additionalSettings{}; // Lines appended to each instance's settings file.
};

// The secrets whose digests are in the test manifest and settings.
inline constexpr const char *CallerKeyA = "demo-key-a";
inline constexpr const char *CallerKeyB = "demo-key-b";
inline constexpr const char *OperatorToken = "demo-operator";
inline constexpr const char *EngineToken = "demo-engine";
inline constexpr const char *PaymentsToken = "demo-payments";

// Runs the instances, numbered from 0 and named i0, i1, ... The destructor kills all processes.
// Failed operations throw FleetError.
class Fleet
{
public:
    explicit Fleet(FleetOptions options);

    // Writes the settings, initialises the data folders of the control instances and starts every
    // instance.
    void start();

    // Starts one instance, or kills and restarts it, with its existing settings and data folder.
    void startInstance(int index);
    ChildProcess &instance(int index);

    // Replaces the instance's data folder by an empty one.
    void loseDisk(int index);

    // Blocks all traffic between the instance and the others without closing connections; rejoin()
    // restores it. These and the following functions on links need relays.
    void isolate(int index);
    void rejoin(int index);
    // Closes the instance's connections to and from all others.
    void resetLinks(int index);
    // Limits each direction of every connection between instances to this rate.
    void limitLinkRates(size_t bytesPerSecond);
    // Blocks the requests that the instance sends to the others.
    void blockRequestsFrom(int index);
    // Delays all traffic between the instance and the others.
    void delayLinks(int index, std::chrono::milliseconds time);
    // Blocks all traffic between two instances.
    void blockLink(int first, int second);

    // Waits until the readiness check of the instance succeeds.
    void waitUntilReady(int index);

    // Start a stand-in target that announces itself to the given instances. A running stand-in of
    // the same name is killed.
    ChildProcess &startEngine(const std::string &name,
                              int port,
                              const std::vector<int> &announceTo,
                              const std::vector<std::string> &arguments = {});
    ChildProcess &startPayments(const std::string &name,
                                int port,
                                const std::vector<int> &announceTo,
                                const std::vector<std::string> &arguments = {});
    // Starts a stand-in target of a service of the declaration. It announces itself to all control
    // instances. Needs FleetOptions::platform.
    ChildProcess &startPlatformTarget(const std::string &name,
                                      int port,
                                      const std::string &service,
                                      const std::vector<std::string> &arguments = {});
    // Waits until the instance counts exactly this many ready targets.
    void waitForTargets(int index, int count);
    [[nodiscard]] std::string standinUrl(int port) const;
    // Returns the counters of a stand-in: runs, runs_per_key and, for an engine, tokens and
    // prompt_tokens.
    nlohmann::json standinStats(int port);

    // Sends one request to an instance and returns the complete answer. An empty token sends no
    // Authorization header.
    absl::StatusOr<http::Answer> call(int index,
                                      const std::string &method,
                                      const std::string &path,
                                      const std::string &token,
                                      const std::string &body = "",
                                      const http::Headers &headers = {});
    // Sends one request to an instance's interface for callers, as call() does. Needs
    // FleetOptions::platform.
    absl::StatusOr<http::Answer> callPlatform(int index,
                                              const std::string &method,
                                              const std::string &path,
                                              const std::string &body = "",
                                              const http::Headers &headers = {});
    // Returns the port of the instance's interface for callers. Needs FleetOptions::platform.
    [[nodiscard]] uint16_t callersPort(int index) const;
    // Returns the port of a control instance's interface for control calls. Needs
    // FleetOptions::platform.
    [[nodiscard]] uint16_t controlPort(int index) const;
    // Like call(), but throws if there is no answer, and parses its body as JSON.
    nlohmann::json callJson(int index,
                            const std::string &method,
                            const std::string &path,
                            const std::string &token,
                            const std::string &body = "");
    [[nodiscard]] std::string httpUrl(int index) const;

    // Runs samphirectl against an instance with the operator token.
    ProgramResult runSamphirectl(int index, std::vector<std::string> arguments);

    // Applies a manifest through an instance; throws if it is rejected.
    void applyManifest(int index, const std::string &manifest, int expectedVersion);

    // Sends a declaration to a control instance, repeatedly until it is acknowledged. Needs
    // FleetOptions::platform.
    void sendDeclaration(int index, const std::string &content);
    // Waits until the declaration of that version is in force at every instance.
    void waitForDeclaration(uint64_t version);

    // Returns the log output of the instance so far, over all its starts.
    [[nodiscard]] std::string log(int index) const;

    // Returns the value of a counter or gauge without labels; -1 if it cannot be read.
    double metric(int index, const std::string &name);

    // Returns a budget's state from a read that the quorum confirmed; waits until one succeeds.
    nlohmann::json readBudget(int index, const std::string &id);

    // Polls until the condition holds; throws FleetError after two minutes. The text completes
    // "timed out waiting until".
    static void waitFor(const std::string &what, const std::function<bool()> &condition);

    // Returns the name of the leader that the instance reports; waits until it knows one.
    [[nodiscard]] std::string leader(int index);
    [[nodiscard]] const std::filesystem::path &folder() const;
    http::Client &client();

private:
    [[nodiscard]] uint16_t httpPort(int index) const;
    [[nodiscard]] uint16_t interfacePort(int index, int interfaceKind) const;
    [[nodiscard]] std::string interfaceSettings(int index) const;
    [[nodiscard]] uint16_t rpcPort(int index) const;
    [[nodiscard]] uint16_t relayPort(int from, int to) const;
    [[nodiscard]] std::filesystem::path dataFolder(int index) const;
    void writeSettings(int index) const;
    // Calls the action with the relay of each link from or to the instance.
    void forEachRelayOf(int index, const std::function<void(Relay &)> &action);
    ChildProcess &startStandin(const std::string &mode,
                               const std::string &name,
                               int port,
                               const std::string &token,
                               const std::vector<std::string> &announceTo,
                               const std::vector<std::string> &arguments);
    [[nodiscard]] std::vector<std::string> httpUrls(const std::vector<int> &indices) const;

    FleetOptions options;
    TemporaryFolder temporary;
    http::Client httpClient;
    std::map<std::pair<int, int>, std::unique_ptr<Relay>> relays; // By sender and receiver.
    std::map<std::string, ChildProcess> standins;
    std::map<int, ChildProcess> instances;
};

// Returns the path of the program for the users' platform.
std::string platformProgram();

// Returns a manifest with two organisations, the chat service "chat" with the model "letters" and
// the plain service "payments".
std::string testManifest(int64_t tokensA, int64_t tokensB = 1'000'000);

// Returns a chat request body for the model "letters".
std::string chatBody(const std::string &prompt, int maximumTokens, bool stream = false);

} // namespace samphirebridge::testing
