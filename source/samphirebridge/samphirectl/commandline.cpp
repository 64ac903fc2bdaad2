#include "samphirebridge/samphirectl/commandline.h"

#include "samphirebridge/core/errors.h"
#include "samphirebridge/core/ids.h"
#include "samphirebridge/core/tokens.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <array>
#include <charconv>
#include <limits>
#include <map>

namespace samphirebridge::samphirectl
{

namespace
{

constexpr std::string_view Usage = R"(samphirectl, the operators' command of samphirebridge.

Usage:
  samphirectl validate FILE [--json]
  samphirectl diff FILE [--endpoint=URL]... [--token-file=PATH] [--timeout=S] [--json]
  samphirectl apply FILE --expect-version=N --change-id=ID [--endpoint=URL]... [--token-file=PATH] [--timeout=S] [--json]
  samphirectl status [--endpoint=URL]... [--token-file=PATH] [--timeout=S] [--json]
  samphirectl budget show [BUDGET] [--endpoint=URL]... [--token-file=PATH] [--timeout=S] [--json]
  samphirectl budget top-up BUDGET TOKENS --change-id=ID [--endpoint=URL]... [--token-file=PATH] [--timeout=S] [--json]
  samphirectl budget release BUDGET --billed=N --returned=N --change-id=ID [--endpoint=URL]... [--token-file=PATH] [--timeout=S] [--json]
  samphirectl claim list [--endpoint=URL]... [--token-file=PATH] [--timeout=S] [--json]
  samphirectl claim resolve ORGANISATION KEY (--ran|--not-run) --change-id=ID [--endpoint=URL]... [--token-file=PATH] [--timeout=S] [--json]
  samphirectl instance list [--endpoint=URL]... [--token-file=PATH] [--timeout=S] [--json]
  samphirectl instance add INSTANCE [--endpoint=URL]... [--token-file=PATH] [--timeout=S] [--json]
  samphirectl instance remove INSTANCE [--endpoint=URL]... [--token-file=PATH] [--timeout=S] [--json]
  samphirectl instance retire INSTANCE --incarnation=N --change-id=ID [--endpoint=URL]... [--token-file=PATH] [--timeout=S] [--json]
  samphirectl key digest [--json]
  samphirectl explain REQUEST [LOG]... [--json]
  samphirectl --help

Options:
  --endpoint=URL      An entry instance; repeat it for others to try if it is out of reach.
                      Without one: http://127.0.0.1:8080.
  --token-file=PATH   File whose first line is the operator token. Without one: the environment
                      variable SAMPHIREBRIDGE_TOKEN.
  --timeout=S         Longest wait for an answer, in seconds [default: 60].
  --expect-version=N  The version that the change was made against.
  --change-id=ID      Names the change, so that a repetition is recognised.
  --billed=N          Quarantined tokens to bill.
  --returned=N        Quarantined tokens to give back.
  --incarnation=N     The life of the process that is over.
  --ran               The request ran: bill its price.
  --not-run           The request did not run: give its price back.
  --json              Print one JSON object.
  --help              Print this text.

Exit codes: 0 done, 1 internal, 2 invalid input, 3 conflict, 4 unreachable, 5 outcome unknown,
6 refused.
)";

constexpr auto Names = std::to_array<std::string_view>({
    "validate",
    "diff",
    "apply",
    "status",
    "budget-show",
    "budget-top-up",
    "budget-release",
    "claim-list",
    "claim-resolve",
    "instance-list",
    "instance-add",
    "instance-remove",
    "instance-retire",
    "key-digest",
    "explain",
});

constexpr size_t MaximumRequestKeyBytes = 256;
constexpr uint64_t MaximumTimeoutSeconds = 3600;
constexpr uint64_t MaximumVersion = std::numeric_limits<int64_t>::max();

using Arguments = std::map<std::string, docopt::value>;

// Reads docopt's answer; keeps the first error.
class ArgumentReader
{
public:
    explicit ArgumentReader(const Arguments &arguments)
        : arguments(arguments)
    {
    }

    [[nodiscard]] bool has(const std::string &name) const
    {
        const docopt::value &value = this->arguments.at(name);
        return value.isBool() ? value.asBool() : static_cast<bool>(value);
    }

    [[nodiscard]] std::string text(const std::string &name) const
    {
        const docopt::value &value = this->arguments.at(name);
        return value.isString() ? value.asString() : "";
    }

    [[nodiscard]] std::vector<std::string> texts(const std::string &name) const
    {
        const docopt::value &value = this->arguments.at(name);
        return value.isStringList() ? value.asStringList() : std::vector<std::string>{};
    }

    uint64_t number(const std::string &name, uint64_t least, uint64_t most)
    {
        const std::string given = this->text(name);
        uint64_t value = 0;
        const char *end = given.data() + given.size();
        const auto [rest, error] = std::from_chars(given.data(), end, value);
        if (error != std::errc() || rest != end || value < least || value > most) {
            this->fail(name, given, fmt::format("a whole number from {} to {}", least, most));
        }
        return value;
    }

    int64_t tokens(const std::string &name, uint64_t least)
    {
        const auto most = static_cast<uint64_t>(core::MaximumPurchase.count);
        return static_cast<int64_t>(this->number(name, least, most));
    }

    std::string name(const std::string &name)
    {
        std::string given = this->text(name);
        if (!core::checkName(given).ok()) {
            this->fail(name, given, "1 to 128 letters, digits, '-', '_', '.', '/'");
        }
        return given;
    }

    std::string requestKey(const std::string &name)
    {
        std::string given = this->text(name);
        if (given.empty() || given.size() > MaximumRequestKeyBytes) {
            this->fail(name, given, fmt::format("1 to {} bytes", MaximumRequestKeyBytes));
        }
        return given;
    }

    [[nodiscard]] const absl::Status &status() const
    {
        return this->error;
    }

private:
    void fail(std::string_view name, std::string_view found, std::string_view accepted)
    {
        if (this->error.ok()) {
            this->error = core::makeError(
                core::ErrorCode::InvalidRequest,
                fmt::format("{}: found '{}'; accepted: {}", name, found, accepted));
        }
    }

    const Arguments &arguments;
    absl::Status error;
};

Command readBudgetCommand(ArgumentReader &reader)
{
    if (reader.has("top-up")) {
        return BudgetTopUpCommand{
            reader.name("BUDGET"), reader.tokens("TOKENS", 1), reader.name("--change-id")};
    }
    if (reader.has("release")) {
        return BudgetReleaseCommand{reader.name("BUDGET"),
                                    reader.tokens("--billed", 0),
                                    reader.tokens("--returned", 0),
                                    reader.name("--change-id")};
    }
    BudgetShowCommand show;
    if (reader.has("BUDGET")) {
        show.budget = reader.name("BUDGET");
    }
    return show;
}

Command readClaimCommand(ArgumentReader &reader)
{
    if (reader.has("list")) {
        return ClaimListCommand{};
    }
    return ClaimResolveCommand{reader.name("ORGANISATION"),
                               reader.requestKey("KEY"),
                               reader.has("--ran"),
                               reader.name("--change-id")};
}

Command readInstanceCommand(ArgumentReader &reader)
{
    if (reader.has("list")) {
        return InstanceListCommand{};
    }
    if (reader.has("add")) {
        return InstanceAddCommand{reader.name("INSTANCE")};
    }
    if (reader.has("remove")) {
        return InstanceRemoveCommand{reader.name("INSTANCE")};
    }
    return InstanceRetireCommand{reader.name("INSTANCE"),
                                 reader.number("--incarnation", 1, MaximumVersion),
                                 reader.name("--change-id")};
}

Command readCommand(ArgumentReader &reader)
{
    if (reader.has("validate")) {
        return ValidateCommand{reader.text("FILE")};
    }
    if (reader.has("diff")) {
        return DiffCommand{reader.text("FILE")};
    }
    if (reader.has("apply")) {
        return ApplyCommand{reader.text("FILE"),
                            reader.number("--expect-version", 0, MaximumVersion),
                            reader.name("--change-id")};
    }
    if (reader.has("status")) {
        return StatusCommand{};
    }
    if (reader.has("budget")) {
        return readBudgetCommand(reader);
    }
    if (reader.has("claim")) {
        return readClaimCommand(reader);
    }
    if (reader.has("instance")) {
        return readInstanceCommand(reader);
    }
    if (reader.has("explain")) {
        return ExplainCommand{reader.requestKey("REQUEST"), reader.texts("LOG")};
    }
    return KeyDigestCommand{};
}

std::vector<std::string> readEndpoints(const Arguments &arguments)
{
    const docopt::value &value = arguments.at("--endpoint");
    std::vector<std::string> endpoints;
    if (value.isStringList()) {
        endpoints = value.asStringList();
    }
    if (endpoints.empty()) {
        endpoints.emplace_back(DefaultEndpoint);
    }
    return endpoints;
}

absl::StatusOr<CommandLine> readCommandLine(const Arguments &arguments)
{
    ArgumentReader reader(arguments);
    CommandLine commandLine;
    commandLine.command = readCommand(reader);
    commandLine.endpoints = readEndpoints(arguments);
    commandLine.tokenFile = reader.text("--token-file");
    commandLine.timeoutSeconds
        = static_cast<uint32_t>(reader.number("--timeout", 1, MaximumTimeoutSeconds));
    commandLine.json = reader.has("--json");
    if (!reader.status().ok()) {
        return reader.status();
    }
    return commandLine;
}

} // namespace

std::string_view usageText()
{
    return Usage;
}

std::span<const std::string_view> commandNames()
{
    return Names;
}

absl::StatusOr<CommandLine> parseCommandLine(const std::vector<std::string> &arguments)
{
    try {
        return readCommandLine(docopt::docopt_parse(std::string(Usage), arguments, true, false));
    } catch (const docopt::DocoptExitHelp &) {
        return CommandLine{.command = HelpCommand{}};
    } catch (const docopt::DocoptArgumentError &error) {
        return core::makeError(
            core::ErrorCode::InvalidRequest,
            fmt::format("{}; accepted: the usage of samphirectl --help", error.what()));
    }
}

} // namespace samphirebridge::samphirectl
