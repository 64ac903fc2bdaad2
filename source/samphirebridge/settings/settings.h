// The settings of one instance: one YAML file, read once at start and checked as a whole. The peers
// list is the same in every instance's file and includes the instance itself.
#pragma once

#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/time.h"
#include "samphirebridge/settings/address.h"
#include "samphirebridge/settings/problem.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::settings
{

// What an instance does. At least one of both is set.
struct Roles {
    bool entry = false; // Serves callers, targets and operators.
    bool control = false; // Votes, and has a data folder.

    friend bool operator==(Roles, Roles) = default;
};

// One instance of the fleet as every other one reaches it.
struct Peer {
    core::InstanceId id;
    Address rpc;
    Address http;
    core::DataCentreId dataCentre;
    Roles roles;

    friend bool operator==(const Peer &, const Peer &) = default;
};

struct HttpSettings {
    Address listen;
    uint64_t maxBodyBytes = 0; // Longer request bodies are refused.
    uint64_t maxCallerBufferBytes = 0; // Answer bytes held for a caller that reads slowly.
    uint32_t threads = 0; // One serves one connection at a time.
};

struct ConsensusSettings {
    core::Duration heartbeat{};
    core::Duration electionTimeout{}; // Shortest; the longest is twice as long.
};

// How an instance finds the others where no list of peers is given. Every instance's id is then its
// rpc address.
struct DiscoverySettings {
    std::vector<Address> seeds; // Rpc addresses of control instances; the only ones known at first.
    bool foundsFleet = false; // The whole fleet starts for the first time, with empty disks.
};

// Where an instance speaks a deployment's own protocol, beside the product's at http.listen.
struct InterfaceSettings {
    std::optional<Address> callers; // Callers' requests; with the role entry.
    std::optional<Address> readiness; // The balancer's question; with the role entry.
    std::optional<Address> control; // Targets and operators; with the role control.
};

// The bound on what the whole fleet sends to the targets of one service again, in any time.
struct RetrySettings {
    double share = 0.2; // Repeats for each request.
    double slack = 20; // Repeats besides.
};

// Faults that tests ask for. A process that has one set logs a warning at its start.
struct FaultInjectionSettings {
    bool losesUnsynced = false; // The process's end loses what a loss of power would.
    core::Duration syncDelay{}; // Added to each sync of a file.
};

enum class LogLevel : uint8_t {
    Error,
    Warning,
    Info,
    Debug,
};

// Checked settings: every field has a value inside its range, defaults included.
struct Settings {
    core::InstanceId instance;
    core::DataCentreId dataCentre;
    Roles roles;
    HttpSettings http;
    Address rpcListen;
    std::vector<Peer> peers; // Includes this instance; in the file's order. Empty with discovery.
    std::optional<DiscoverySettings> discovery;
    InterfaceSettings interface;
    RetrySettings retries;
    FaultInjectionSettings faultInjection;
    std::string dataFolder; // Empty without the role control. Whether it exists isn't checked here.
    std::vector<std::string> operatorTokenDigests; // 32 bytes each; may be empty: no operators.
    ConsensusSettings consensus;
    core::Duration escrowFlushInterval{};
    core::Duration shutdownGrace{};
    LogLevel logLevel = LogLevel::Info;

    // Returns this instance's own entry among the peers; there is none with discovery.
    [[nodiscard]] const Peer &self() const;
};

// The keys that one map of the settings file accepts.
struct SettingSection {
    std::string_view name; // Empty: the file's top.
    std::span<const std::string_view> keys;
};

// Returns every map of the settings file with its keys, as the reader accepts them.
std::span<const SettingSection> settingSections();

// The largest settings file, in bytes.
inline constexpr size_t MaximumSettingsBytes = size_t{1} << 20;

// What became of a text: settings if the problems are empty.
struct CheckedSettings {
    Settings settings;
    std::vector<Problem> problems;
};

// Reads and checks the text, collecting every problem. The file name only serves the messages.
CheckedSettings checkSettings(std::string_view text, std::string_view fileName);

// As checkSettings; InvalidSettings with a line for each problem if there is any.
absl::StatusOr<Settings> parseSettings(std::string_view text, std::string_view fileName);

// As parseSettings for a file; InvalidSettings too if it cannot be read.
absl::StatusOr<Settings> loadSettings(const std::string &path);

} // namespace samphirebridge::settings
