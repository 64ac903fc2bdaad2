// A small fleet of real processes on loopback.
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

// The fleet did not do what its user counted on; the message says what.
class FleetError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

struct FleetOptions {
    uint16_t basePort = 0; // The fleet uses the hundred ports from here on.
    int instances = 3;
    int control = 3; // How many of them vote.
    bool relays = false; // Put a relay into every link between two instances.
    int shutdownGraceMs = 20'000;
    int maximumBodyBytes = 1 << 20;
    bool platform = false; // Run the platform's program, whose instances obey declarations.
    std::string furtherSettings{}; // Lines that end every instance's file.
};

// The secrets of the test manifests.
inline constexpr const char *CallerKeyA = "demo-key-a";
inline constexpr const char *CallerKeyB = "demo-key-b";
inline constexpr const char *OperatorToken = "demo-operator";
inline constexpr const char *EngineToken = "demo-engine";
inline constexpr const char *PaymentsToken = "demo-payments";

// Instances are numbered from 0 and named i0, i1, ... They are killed when the object goes. What
// fails is thrown as FleetError.
class Fleet
{
public:
    explicit Fleet(FleetOptions options);

    // Writes the voters' folders and starts every instance.
    void start();

    // Starts one instance on its folder as it is.
    void startInstance(int index);
    ChildProcess &instance(int index);

    // Removes the instance's data folder and makes an empty one.
    void loseDisk(int index);

    // Cuts the instance off from all others, silently, or joins it again. Needs relays.
    void isolate(int index);
    void rejoin(int index);
    // Closes the instance's connections with all others.
    void resetLinks(int index);
    // Lets every connection between two instances pass no more than so many bytes a second.
    void limitLinks(size_t bytesPerSecond);
    // Lets nothing arrive that the instance asks of the others.
    void deafen(int index);
    // Lets all that passes between the instance and the others be late.
    void delayLinks(int index, std::chrono::milliseconds time);
    // Cuts or heals the link between two instances alone.
    void cutLink(int first, int second);

    // Waits until the instance serves callers.
    void waitReady(int index);

    // Starts a stand-in target that announces itself to the given instance.
    ChildProcess &startEngine(const std::string &name,
                              int port,
                              const std::vector<int> &announceTo,
                              const std::vector<std::string> &arguments = {});
    ChildProcess &startPayments(const std::string &name,
                                int port,
                                const std::vector<int> &announceTo,
                                const std::vector<std::string> &arguments = {});
    // Waits until the instance knows so many ready targets.
    void waitTargets(int index, int count);
    [[nodiscard]] std::string standinUrl(int port) const;
    // Returns what a stand-in counted: runs, runs_per_key and, of an engine, tokens.
    nlohmann::json standinStats(int port);

    // Sends one request to an instance and returns the whole answer.
    absl::StatusOr<http::Answer> call(int index,
                                      const std::string &method,
                                      const std::string &path,
                                      const std::string &token,
                                      const std::string &body = "",
                                      const http::Headers &headers = {});
    // As call, for an answer that must come and be JSON.
    nlohmann::json callJson(int index,
                            const std::string &method,
                            const std::string &path,
                            const std::string &token,
                            const std::string &body = "");
    [[nodiscard]] std::string httpUrl(int index) const;

    // Runs samphirectl against an instance.
    ProgramResult control(int index, std::vector<std::string> arguments);

    // Applies a manifest through an instance and throws if that is refused.
    void apply(int index, const std::string &manifest, int expectedVersion);

    // Sends a declaration to a control instance until it is acknowledged. Needs the platform.
    void declare(int index, const std::string &content);
    // Waits until every instance obeys the declaration of that version.
    void waitDeclared(uint64_t version);

    // Returns what the instance has logged.
    [[nodiscard]] std::string log(int index) const;

    // Returns a counter's or gauge's value at an instance.
    double metric(int index, const std::string &name);

    // Returns one budget's state as the quorum has it.
    nlohmann::json budget(int index, const std::string &id);

    // Waits until the condition holds; throws when it does not for a long time.
    static void waitFor(const std::string &what, const std::function<bool()> &condition);

    [[nodiscard]] std::string leader(int index);
    [[nodiscard]] const std::filesystem::path &folder() const;
    http::Client &client();

private:
    [[nodiscard]] uint16_t httpPort(int index) const;
    [[nodiscard]] uint16_t interfacePort(int index, int use) const;
    [[nodiscard]] std::string interfaceSettings(int index) const;
    [[nodiscard]] uint16_t rpcPort(int index) const;
    [[nodiscard]] uint16_t relayPort(int from, int to) const;
    [[nodiscard]] std::filesystem::path dataFolder(int index) const;
    void writeSettings(int index) const;
    // Does something to each relay of a link from or to the instance.
    void forLinksOf(int index, const std::function<void(Relay &)> &action);
    ChildProcess &startStandin(const std::string &mode,
                               const std::string &name,
                               int port,
                               const std::string &token,
                               const std::vector<int> &announceTo,
                               const std::vector<std::string> &arguments);

    FleetOptions options;
    TemporaryFolder temporary;
    http::Client httpClient;
    std::map<std::pair<int, int>, std::unique_ptr<Relay>> relays;
    std::map<std::string, ChildProcess> standins;
    std::map<int, ChildProcess> instances;
};

// The program that runs on the users' platform.
std::string platformProgram();

// A manifest with two organisations, the chat service "chat" with the model "letters" and the plain
// service "payments".
std::string testManifest(int64_t tokensA, int64_t tokensB = 1'000'000);

// A chat body for the model "letters".
std::string chatBody(const std::string &prompt, int maximumTokens, bool stream = false);

} // namespace samphirebridge::testing
