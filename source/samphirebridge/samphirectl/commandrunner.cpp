#include "samphirebridge/samphirectl/commandrunner.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/manifest/manifestdelta.h"
#include "samphirebridge/manifest/manifestfile.h"
#include "samphirebridge/samphirectl/answer.h"
#include "samphirebridge/samphirectl/requesttrail.h"
#include "samphirebridge/samphirectl/texts.h"
#include "samphirebridge/samphirectl/token.h"

#include <fmt/format.h>

#include <fstream>
#include <optional>
#include <utility>
#include <variant>

namespace samphirebridge::samphirectl
{

namespace
{

constexpr size_t MaximumSecretBytes = 4096;
constexpr std::string_view ManifestContentType = "application/yaml";
constexpr std::string_view JsonContentType = "application/json";

// Reads at most maximumBytes + 1 bytes, so that the caller can tell that the input is too long.
std::string readStream(std::istream &stream, size_t maximumBytes)
{
    std::string text(maximumBytes + 1, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<size_t>(stream.gcount()));
    return text;
}

absl::StatusOr<std::string> readManifestFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    if (stream && stream.peek() != std::ifstream::traits_type::eof()) {
        return readStream(stream, manifest::MaximumManifestBytes);
    }
    return core::makeError(core::ErrorCode::InvalidManifest,
                           fmt::format("{}: found no readable, non-empty file; accepted: a "
                                       "manifest",
                                       path));
}

// The text of a manifest file and its parsed manifest, or a failure report.
struct CheckedFile {
    std::string text;
    manifest::CheckedManifest checked;
    std::optional<Report> failure;
};

// Reads and validates a manifest file.
CheckedFile checkFile(const std::string &path)
{
    CheckedFile file;
    absl::StatusOr<std::string> text = readManifestFile(path);
    if (!text.ok()) {
        file.failure = failureReport(text.status());
        return file;
    }
    file.text = *std::move(text);
    file.checked = manifest::checkManifest(file.text, path);
    if (!file.checked.problems.empty()) {
        file.failure = problemsReport(file.checked.problems);
    }
    return file;
}

// Returns the manifest in an entry instance's answer, with the version of the answer's header.
absl::StatusOr<proto::Manifest> readServedManifest(const absl::StatusOr<OperatorAnswer> &answer)
{
    if (!answer.ok()) {
        return answer.status();
    }
    if (answer->status != 200) {
        return errorOfAnswer(*answer, RequestKind::Read);
    }
    absl::StatusOr<proto::Manifest> manifest
        = manifest::parseManifest(answer->body, "the manifest in force");
    if (!manifest.ok() || !answer->manifestVersion) {
        return core::makeError(core::ErrorCode::Internal,
                               "found an answer without a readable manifest and its version; "
                               "accepted: the answer of an entry instance of samphirebridge");
    }
    manifest->set_version(*answer->manifestVersion);
    return manifest;
}

std::string budgetPath(std::string_view budget)
{
    return "/v1/budgets/" + escapePath(budget);
}

std::string instancePath(std::string_view instance, std::string_view action)
{
    return fmt::format("/v1/instances/{}/{}", escapePath(instance), action);
}

std::string evacuationPath(std::string_view dataCentre, std::string_view action)
{
    return fmt::format("/v1/evacuations/{}/{}", escapePath(dataCentre), action);
}

} // namespace

bool contactsFleet(const Command &command)
{
    return !std::holds_alternative<HelpCommand>(command)
           && !std::holds_alternative<ValidateCommand>(command)
           && !std::holds_alternative<KeyDigestCommand>(command)
           && !std::holds_alternative<ExplainCommand>(command);
}

CommandRunner::CommandRunner(OperatorClient &client, std::istream &input)
    : client(client)
    , input(input)
{
}

Report CommandRunner::run(const Command &command)
{
    return std::visit([this](const auto &typedCommand) { return this->runCommand(typedCommand); },
                      command);
}

Report CommandRunner::sendAndReport(const OperatorRequest &request, TextFormatter formatText)
{
    const absl::StatusOr<OperatorAnswer> answer = this->client.send(request);
    if (!answer.ok()) {
        return failureReport(answer.status());
    }
    absl::StatusOr<nlohmann::json> result = readAnswer(*answer, request.kind);
    if (!result.ok()) {
        return failureReport(result.status());
    }
    std::string text = formatText(*result);
    return successReport(*std::move(result), std::move(text));
}

Report CommandRunner::sendRead(const std::string &path, TextFormatter formatText)
{
    return this->sendAndReport(OperatorRequest{.path = path}, formatText);
}

Report CommandRunner::sendChange(const std::string &path,
                                 const nlohmann::json &body,
                                 TextFormatter formatText)
{
    return this->sendAndReport(OperatorRequest{.kind = RequestKind::Change,
                                               .method = "POST",
                                               .path = path,
                                               .contentType = std::string(JsonContentType),
                                               .body = toJsonLine(body)},
                               formatText);
}

Report CommandRunner::runCommand(const HelpCommand & /*command*/)
{
    return successReport({{"usage", usageText()}}, std::string(usageText()));
}

Report CommandRunner::runCommand(const ValidateCommand &command)
{
    const CheckedFile file = checkFile(command.file);
    if (file.failure) {
        return *file.failure;
    }
    const int entities = file.checked.manifest.entities_size();
    return successReport({{"entities", entities}},
                         fmt::format("{}: valid, {} entities\n", command.file, entities));
}

Report CommandRunner::runCommand(const DiffCommand &command)
{
    const CheckedFile file = checkFile(command.file);
    if (file.failure) {
        return *file.failure;
    }
    const absl::StatusOr<proto::Manifest> current
        = readServedManifest(this->client.send(OperatorRequest{.path = "/v1/manifest"}));
    if (!current.ok()) {
        return failureReport(current.status());
    }
    nlohmann::json result
        = diffObject(*current, manifest::diffManifests(*current, file.checked.manifest));
    std::string text = diffText(result);
    return successReport(std::move(result), std::move(text));
}

Report CommandRunner::runCommand(const ApplyCommand &command)
{
    CheckedFile file = checkFile(command.file);
    if (file.failure) {
        return *file.failure;
    }
    const std::string path = fmt::format("/v1/manifest?expected_version={}&change_id={}",
                                         command.expectedVersion,
                                         escapePath(command.changeId));
    return this->sendAndReport(OperatorRequest{.kind = RequestKind::Change,
                                               .method = "PUT",
                                               .path = path,
                                               .contentType = std::string(ManifestContentType),
                                               .body = std::move(file.text)},
                               &applyText);
}

Report CommandRunner::runCommand(const StatusCommand & /*command*/)
{
    return this->sendRead("/v1/status", &statusText);
}

Report CommandRunner::runCommand(const BudgetShowCommand &command)
{
    const std::string path = command.budget ? budgetPath(*command.budget) : "/v1/budgets";
    return this->sendRead(path, &budgetsText);
}

Report CommandRunner::runCommand(const BudgetTopUpCommand &command)
{
    return this->sendChange(budgetPath(command.budget) + "/top-up",
                            {{"tokens", command.tokens}, {"change_id", command.changeId}},
                            &budgetText);
}

Report CommandRunner::runCommand(const BudgetReleaseCommand &command)
{
    return this->sendChange(budgetPath(command.budget) + "/release",
                            {{"billed_tokens", command.billedTokens},
                             {"returned_tokens", command.returnedTokens},
                             {"change_id", command.changeId}},
                            &budgetText);
}

Report CommandRunner::runCommand(const ClaimListCommand & /*command*/)
{
    return this->sendRead("/v1/status", &claimsText);
}

Report CommandRunner::runCommand(const ClaimResolveCommand &command)
{
    return this->sendChange("/v1/claims/resolve",
                            {{"organisation", command.organisation},
                             {"key", command.key},
                             {"ran", command.ran},
                             {"change_id", command.changeId}},
                            &budgetText);
}

Report CommandRunner::runCommand(const InstanceListCommand & /*command*/)
{
    return this->sendRead("/v1/instances", &instancesText);
}

Report CommandRunner::runCommand(const InstanceAddCommand &command)
{
    return this->sendChange(
        instancePath(command.instance, "add"), nlohmann::json::object(), &doneText);
}

Report CommandRunner::runCommand(const InstanceRemoveCommand &command)
{
    return this->sendChange(
        instancePath(command.instance, "remove"), nlohmann::json::object(), &doneText);
}

Report CommandRunner::runCommand(const InstanceRetireCommand &command)
{
    return this->sendChange(instancePath(command.instance, "retire"),
                            {{"incarnation", command.incarnation}, {"change_id", command.changeId}},
                            &doneText);
}

Report CommandRunner::runCommand(const PartClearCommand &command)
{
    return this->sendChange(
        fmt::format("/v1/prompt-parts/{}/clear", escapePath(command.fingerprint)),
        nlohmann::json::object(),
        &doneText);
}

Report CommandRunner::runCommand(const EvacuationStartCommand &command)
{
    return this->sendChange(
        evacuationPath(command.dataCentre, "start"), nlohmann::json::object(), &evacuationText);
}

Report CommandRunner::runCommand(const EvacuationFinishCommand &command)
{
    return this->sendChange(
        evacuationPath(command.dataCentre, "finish"), nlohmann::json::object(), &evacuationText);
}

Report CommandRunner::runCommand(const EvacuationListCommand & /*command*/)
{
    return this->sendRead("/v1/evacuations", &evacuationsText);
}

Report CommandRunner::runCommand(const KeyDigestCommand & /*command*/)
{
    std::string secret = readStream(this->input, MaximumSecretBytes);
    while (secret.ends_with('\n') || secret.ends_with('\r')) {
        secret.pop_back();
    }
    if (secret.size() > MaximumSecretBytes || !checkToken(secret).ok()) {
        return failureReport(
            core::makeError(core::ErrorCode::InvalidRequest,
                            fmt::format("found no key of 1 to {} printable characters on standard "
                                        "input; accepted: one line",
                                        MaximumSecretBytes)));
    }
    const std::string digest = core::toHex(core::sha256Of(secret));
    return successReport({{"sha256", digest}}, digest + "\n");
}

Report CommandRunner::runCommand(const ExplainCommand &command)
{
    RequestTrail trail(command.request);
    if (command.files.empty()) {
        trail.readLog(this->input);
    }
    for (const std::string &path : command.files) {
        std::ifstream log(path);
        if (!log) {
            return failureReport(core::makeError(
                core::ErrorCode::InvalidRequest,
                fmt::format("{}: found no readable file; accepted: a process's log", path)));
        }
        trail.readLog(log);
    }
    if (!trail.hasRequestLines()) {
        return failureReport(core::makeError(
            core::ErrorCode::InvalidRequest,
            fmt::format(
                "found no log line of request '{}' among {} lines, {} of them log lines; accepted: "
                "logs of the instance that took the request, from the time of the request",
                command.request,
                trail.linesRead(),
                trail.linesParsed())));
    }
    nlohmann::json result = trailObject(trail.trail());
    std::string text = trailText(result);
    return successReport(std::move(result), std::move(text));
}

} // namespace samphirebridge::samphirectl
