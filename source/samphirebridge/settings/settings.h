// The settings of one instance: a YAML file that is read once, at the start, and checked as a
// whole. The list of peers is the same in every instance's file and includes the instance itself.
#pragma once

#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/time.h"
#include "samphirebridge/settings/address.h"
#include "samphirebridge/settings/problem.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::settings
{

// What an instance does. At least one of the roles is set.
struct Roles {
    bool entry = false; // Serves callers, targets and operators.
    bool control = false; // Votes in the quorum and stores the ledger in a data folder.

    friend bool operator==(Roles, Roles) = default;
};

// One instance of the fleet, with the addresses at which the others reach it.
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
    uint64_t maxCallerBufferBytes = 0; // Answer bytes buffered for a slow caller.
    uint32_t threads = 0; // Each serves one connection at a time.
};

struct ConsensusSettings {
    core::Duration heartbeat{}; // Interval.
    core::Duration electionTimeout{}; // The minimum; the maximum is twice as long.
};

// How an instance finds the others if there is no list of peers. Every instance's id is then its
// rpc address.
struct DiscoverySettings {
    std::vector<Address> seeds; // Rpc addresses of control instances to contact first.
    bool foundsFleet = false; // Set for a fleet's first start, with empty disks.
};

// The addresses at which an instance serves a deployment's own protocol, besides the product's
// protocol at http.listen.
struct InterfaceSettings {
    std::optional<Address> callers; // Callers' requests; served with the role entry.
    std::optional<Address>
        readiness; // A load balancer's health checks; served with the role entry.
    std::optional<Address> control; // Targets and operators; served with the role control.
    // How long a change of the declared limits takes at most until every instance and caller knows
    // it.
    core::Duration limitsKnownWithin{};
};

// The network link of the machine that the instance runs on.
struct LinkSettings {
    double mbps = 0; // Capacity in Mbit/s of each direction; 0: not known.
};

// Limits the retries that the whole fleet sends to the targets of one service: over any interval,
// at most share * requests + slack.
struct RetrySettings {
    double share = 0.2; // Retries for each request.
    double slack = 20; // Retries allowed in addition.
};

// Faults that tests inject. A process with one of them set logs a warning at its start.
struct FaultInjectionSettings {
    bool losesUnsynced = false; // Ending the process loses unsynced writes, as a power loss would.
    core::Duration syncDelay{}; // Added to each file sync.
};

enum class LogLevel : uint8_t {
    Error,
    Warning,
    Info,
    Debug,
};

// Checked settings: every field holds a value within its range, or its default.
struct Settings {
    core::InstanceId instance;
    core::DataCentreId dataCentre;
    // The region of each data centre of the fleet; empty for one that is in no region.
    std::map<std::string, std::string> dataCentreRegions;
    Roles roles;
    HttpSettings http;
    Address rpcListen;
    std::vector<Peer>
        peers; // In the file's order, with this instance; may be empty with discovery.
    std::optional<DiscoverySettings> discovery;
    InterfaceSettings interface;
    LinkSettings link;
    RetrySettings retries;
    FaultInjectionSettings faultInjection;
    std::string dataFolder; // Empty without the role control. Existence isn't checked here.
    std::vector<std::string> operatorTokenDigests; // 32 bytes each; none: no operator has access.
    ConsensusSettings consensus;
    core::Duration escrowFlushInterval{}; // Between two escrow reports to the ledger.
    core::Duration shutdownGrace{}; // How long a shutdown waits for requests in progress.
    LogLevel logLevel = LogLevel::Info;

    // Returns this instance's own entry in the peers. Must not be called if the peers are empty.
    [[nodiscard]] const Peer &self() const;
};

// The keys that one map of the settings file accepts.
struct SettingSection {
    std::string_view name; // Empty for the top level.
    std::span<const std::string_view> keys;
};

// Returns every map of the settings file with its keys, as the reader accepts them.
std::span<const SettingSection> settingSections();

// The largest settings file that is accepted.
inline constexpr size_t MaximumSettingsBytes = size_t{1} << 20;

// The result of checking a text. The settings are valid only if there are no problems.
struct CheckedSettings {
    Settings settings;
    std::vector<Problem> problems;
};

// Parses and checks the text, collecting every problem. The file name is used in messages only.
CheckedSettings checkSettings(std::string_view text, std::string_view fileName);

// As checkSettings, but returns an error with a line for each problem if there is any: TooLarge for
// a text that exceeds a limit of bytes or values, otherwise InvalidSettings.
absl::StatusOr<Settings> parseSettings(std::string_view text, std::string_view fileName);

// As parseSettings, for a file. A file that cannot be read is InvalidSettings too.
absl::StatusOr<Settings> loadSettings(const std::string &path);

} // namespace samphirebridge::settings
