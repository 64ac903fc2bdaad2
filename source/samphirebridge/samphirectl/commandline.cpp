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
  samphirectl part clear FINGERPRINT [--endpoint=URL]... [--token-file=PATH] [--timeout=S] [--json]
  samphirectl evacuation start DC [--endpoint=URL]... [--token-file=PATH] [--timeout=S] [--json]
  samphirectl evacuation finish DC [--endpoint=URL]... [--token-file=PATH] [--timeout=S] [--json]
  samphirectl evacuation list [--endpoint=URL]... [--token-file=PATH] [--timeout=S] [--json]
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

constexpr auto CommandNames = std::to_array<std::string_view>({
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
    "part-clear",
    "evacuation-start",
    "evacuation-finish",
    "evacuation-list",
    "key-digest",
    "explain",
});

constexpr size_t MaximumRequestKeyBytes = 256;
constexpr uint64_t MaximumTimeoutSeconds = 3600;
constexpr uint64_t MaximumVersion = std::numeric_limits<int64_t>::max();

using Arguments = std::map<std::string, docopt::value>;

// Reads typed values from the arguments that docopt parsed, and keeps the first error.
class ArgumentReader
{
public:
    explicit ArgumentReader(const Arguments &arguments)
        : arguments(arguments)
    {
    }

    [[nodiscard]] bool isGiven(const std::string &name) const
    {
        const docopt::value &value = this->arguments.at(name);
        return value.isBool() ? value.asBool() : static_cast<bool>(value);
    }

    [[nodiscard]] std::string readText(const std::string &name) const
    {
        const docopt::value &value = this->arguments.at(name);
        return value.isString() ? value.asString() : "";
    }

    [[nodiscard]] std::vector<std::string> readTexts(const std::string &name) const
    {
        const docopt::value &value = this->arguments.at(name);
        return value.isStringList() ? value.asStringList() : std::vector<std::string>{};
    }

    // Reads a whole number from minimum to maximum. Records an error for any other text.
    uint64_t readNumber(const std::string &name, uint64_t minimum, uint64_t maximum)
    {
        const std::string given = this->readText(name);
        uint64_t value = 0;
        const char *end = given.data() + given.size();
        const auto [rest, error] = std::from_chars(given.data(), end, value);
        if (error != std::errc() || rest != end || value < minimum || value > maximum) {
            this->recordError(
                name, given, fmt::format("a whole number from {} to {}", minimum, maximum));
        }
        return value;
    }

    int64_t readTokens(const std::string &name, uint64_t minimum)
    {
        const auto maximum = static_cast<uint64_t>(core::MaximumPurchase.count);
        return static_cast<int64_t>(this->readNumber(name, minimum, maximum));
    }

    std::string readName(const std::string &name)
    {
        std::string given = this->readText(name);
        if (!core::checkName(given).ok()) {
            this->recordError(name, given, "1 to 128 letters, digits, '-', '_', '.', '/'");
        }
        return given;
    }

    std::string readRequestKey(const std::string &name)
    {
        std::string given = this->readText(name);
        if (given.empty() || given.size() > MaximumRequestKeyBytes) {
            this->recordError(name, given, fmt::format("1 to {} bytes", MaximumRequestKeyBytes));
        }
        return given;
    }

    [[nodiscard]] const absl::Status &status() const
    {
        return this->error;
    }

private:
    void recordError(std::string_view name, std::string_view found, std::string_view accepted)
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
    if (reader.isGiven("top-up")) {
        return BudgetTopUpCommand{reader.readName("BUDGET"),
                                  reader.readTokens("TOKENS", 1),
                                  reader.readName("--change-id")};
    }
    if (reader.isGiven("release")) {
        return BudgetReleaseCommand{reader.readName("BUDGET"),
                                    reader.readTokens("--billed", 0),
                                    reader.readTokens("--returned", 0),
                                    reader.readName("--change-id")};
    }
    BudgetShowCommand show;
    if (reader.isGiven("BUDGET")) {
        show.budget = reader.readName("BUDGET");
    }
    return show;
}

Command readClaimCommand(ArgumentReader &reader)
{
    if (reader.isGiven("list")) {
        return ClaimListCommand{};
    }
    return ClaimResolveCommand{reader.readName("ORGANISATION"),
                               reader.readRequestKey("KEY"),
                               reader.isGiven("--ran"),
                               reader.readName("--change-id")};
}

Command readInstanceCommand(ArgumentReader &reader)
{
    if (reader.isGiven("list")) {
        return InstanceListCommand{};
    }
    if (reader.isGiven("add")) {
        return InstanceAddCommand{reader.readName("INSTANCE")};
    }
    if (reader.isGiven("remove")) {
        return InstanceRemoveCommand{reader.readName("INSTANCE")};
    }
    return InstanceRetireCommand{reader.readName("INSTANCE"),
                                 reader.readNumber("--incarnation", 1, MaximumVersion),
                                 reader.readName("--change-id")};
}

Command readEvacuationCommand(ArgumentReader &reader)
{
    if (reader.isGiven("start")) {
        return EvacuationStartCommand{reader.readName("DC")};
    }
    if (reader.isGiven("finish")) {
        return EvacuationFinishCommand{reader.readName("DC")};
    }
    return EvacuationListCommand{};
}

Command readCommand(ArgumentReader &reader)
{
    if (reader.isGiven("validate")) {
        return ValidateCommand{reader.readText("FILE")};
    }
    if (reader.isGiven("diff")) {
        return DiffCommand{reader.readText("FILE")};
    }
    if (reader.isGiven("apply")) {
        return ApplyCommand{reader.readText("FILE"),
                            reader.readNumber("--expect-version", 0, MaximumVersion),
                            reader.readName("--change-id")};
    }
    if (reader.isGiven("status")) {
        return StatusCommand{};
    }
    if (reader.isGiven("budget")) {
        return readBudgetCommand(reader);
    }
    if (reader.isGiven("claim")) {
        return readClaimCommand(reader);
    }
    if (reader.isGiven("instance")) {
        return readInstanceCommand(reader);
    }
    if (reader.isGiven("part")) {
        return PartClearCommand{reader.readName("FINGERPRINT")};
    }
    if (reader.isGiven("evacuation")) {
        return readEvacuationCommand(reader);
    }
    if (reader.isGiven("explain")) {
        return ExplainCommand{reader.readRequestKey("REQUEST"), reader.readTexts("LOG")};
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
    commandLine.tokenFile = reader.readText("--token-file");
    commandLine.timeoutSeconds
        = static_cast<uint32_t>(reader.readNumber("--timeout", 1, MaximumTimeoutSeconds));
    commandLine.json = reader.isGiven("--json");
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
    return CommandNames;
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
