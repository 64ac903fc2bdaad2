// The command line of samphirectl as typed commands.
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
struct KeyDigestCommand {
};
struct ExplainCommand {
    std::string request;
    std::vector<std::string> files; // Empty: standard input.
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
                             KeyDigestCommand,
                             ExplainCommand>;

struct CommandLine {
    Command command;
    std::vector<std::string> endpoints{}; // In the order in which they are tried.
    std::string tokenFile{}; // Empty: the environment's token.
    uint32_t timeoutSeconds = 0;
    bool json = false;
};

// Tried where no --endpoint is given.
inline constexpr std::string_view DefaultEndpoint = "http://127.0.0.1:8080";
inline constexpr std::string_view DefaultTimeoutSeconds = "60";

// Returns the text that --help prints and that the command line is parsed by.
std::string_view usageText();

// Returns each command's words as its reference page is named: "budget-top-up".
std::span<const std::string_view> commandNames();

// Parses the arguments without the program's name. InvalidRequest with the usage if they don't fit
// it, or naming the argument that is out of range.
absl::StatusOr<CommandLine> parseCommandLine(const std::vector<std::string> &arguments);

} // namespace samphirebridge::samphirectl
