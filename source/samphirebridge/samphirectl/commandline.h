// Parses the command line of samphirectl into typed commands.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace samphirebridge::samphirectl
{

struct HelpCommand {
};
struct ValidateCommand {
    std::string file;
};
struct DiffCommand {
    std::string file;
};
struct ApplyCommand {
    std::string file;
    uint64_t expectedVersion = 0;
    std::string changeId;
};
struct StatusCommand {
};
struct BudgetShowCommand {
    std::optional<std::string> budget;
};
struct BudgetTopUpCommand {
    std::string budget;
    int64_t tokens = 0;
    std::string changeId;
};
struct BudgetReleaseCommand {
    std::string budget;
    int64_t billedTokens = 0;
    int64_t returnedTokens = 0;
    std::string changeId;
};
struct ClaimListCommand {
};
struct ClaimResolveCommand {
    std::string organisation;
    std::string key;
    bool ran = false;
    std::string changeId;
};
struct InstanceListCommand {
};
struct InstanceAddCommand {
    std::string instance;
};
struct InstanceRemoveCommand {
    std::string instance;
};
struct InstanceRetireCommand {
    std::string instance;
    uint64_t incarnation = 0;
    std::string changeId;
};
struct PartClearCommand {
    std::string fingerprint;
};
struct EvacuationStartCommand {
    std::string dataCentre;
};
struct EvacuationFinishCommand {
    std::string dataCentre;
};
struct EvacuationListCommand {
};
struct KeyDigestCommand {
};
struct ExplainCommand {
    std::string request;
    std::vector<std::string> files; // If empty, standard input is read.
};

using Command = std::variant<HelpCommand,
                             ValidateCommand,
                             DiffCommand,
                             ApplyCommand,
                             StatusCommand,
                             BudgetShowCommand,
                             BudgetTopUpCommand,
                             BudgetReleaseCommand,
                             ClaimListCommand,
                             ClaimResolveCommand,
                             InstanceListCommand,
                             InstanceAddCommand,
                             InstanceRemoveCommand,
                             InstanceRetireCommand,
                             PartClearCommand,
                             EvacuationStartCommand,
                             EvacuationFinishCommand,
                             EvacuationListCommand,
                             KeyDigestCommand,
                             ExplainCommand>;

struct CommandLine {
    Command command;
    std::vector<std::string> endpoints{}; // In the order in which they are tried.
    std::string tokenFile{}; // If empty, the token is read from the environment.
    uint32_t timeoutSeconds = 0;
    bool json = false;
};

// Used if no --endpoint is given.
inline constexpr std::string_view DefaultEndpoint = "http://127.0.0.1:8080";
inline constexpr std::string_view DefaultTimeoutSeconds = "60";

// Returns the text that --help prints. docopt derives the command line's grammar from it.
std::string_view usageText();

// Returns the name of each command's reference page: the command's words joined by '-', such as
// "budget-top-up".
std::span<const std::string_view> commandNames();

// Parses the arguments, which don't include the program's name. Returns InvalidRequest if they
// don't match the usage or if an argument's value is invalid; the message names that argument.
absl::StatusOr<CommandLine> parseCommandLine(const std::vector<std::string> &arguments);

} // namespace samphirebridge::samphirectl
