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

// Reads at most one byte more than the stream may give.
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
                           fmt::format("{}: found no readable file with content; accepted: a "
                                       "manifest",
                                       path));
}

// A file's text and the manifest that it declares, or the report of what is wrong.
struct CheckedFile {
    std::string text;
    manifest::CheckedManifest checked;
    std::optional<Report> failure;
};

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

// Returns the manifest that an entry instance answered with.
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
                               "accepted: that of an entry instance of samphirebridge");
    }
    manifest->set_version(*answer->manifestVersion);
    return manifest;
}

std::string budgetPath(std::string_view budget)
{
    return "/v1/budgets/" + escapePath(budget);
}

std::string instancePath(std::string_view instance, std::string_view verb)
{
    return fmt::format("/v1/instances/{}/{}", escapePath(instance), verb);
}

} // namespace

bool needsFleet(const Command &command)
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
    return std::visit([this](const auto &one) { return this->runOne(one); }, command);
}

Report CommandRunner::exchange(const OperatorRequest &request, TextMaker makeText)
{
    const absl::StatusOr<OperatorAnswer> answer = this->client.send(request);
    if (!answer.ok()) {
        return failureReport(answer.status());
    }
    absl::StatusOr<nlohmann::json> result = readAnswer(*answer, request.kind);
    if (!result.ok()) {
        return failureReport(result.status());
    }
    std::string text = makeText(*result);
    return successReport(*std::move(result), std::move(text));
}

Report CommandRunner::read(const std::string &path, TextMaker makeText)
{
    return this->exchange(OperatorRequest{.path = path}, makeText);
}

Report
CommandRunner::change(const std::string &path, const nlohmann::json &body, TextMaker makeText)
{
    return this->exchange(OperatorRequest{.kind = RequestKind::Change,
                                          .method = "POST",
                                          .path = path,
                                          .contentType = std::string(JsonContentType),
                                          .body = toLine(body)},
                          makeText);
}

Report CommandRunner::runOne(const HelpCommand & /*command*/)
{
    return successReport({{"usage", usageText()}}, std::string(usageText()));
}

Report CommandRunner::runOne(const ValidateCommand &command)
{
    const CheckedFile file = checkFile(command.file);
    if (file.failure) {
        return *file.failure;
    }
    const int entities = file.checked.manifest.entities_size();
    return successReport({{"entities", entities}},
                         fmt::format("{}: valid, {} entities\n", command.file, entities));
}

Report CommandRunner::runOne(const DiffCommand &command)
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

Report CommandRunner::runOne(const ApplyCommand &command)
{
    CheckedFile file = checkFile(command.file);
    if (file.failure) {
        return *file.failure;
    }
    const std::string path = fmt::format("/v1/manifest?expected_version={}&change_id={}",
                                         command.expectedVersion,
                                         escapePath(command.changeId));
    return this->exchange(OperatorRequest{.kind = RequestKind::Change,
                                          .method = "PUT",
                                          .path = path,
                                          .contentType = std::string(ManifestContentType),
                                          .body = std::move(file.text)},
                          &applyText);
}

Report CommandRunner::runOne(const StatusCommand & /*command*/)
{
    return this->read("/v1/status", &statusText);
}

Report CommandRunner::runOne(const BudgetShowCommand &command)
{
    const std::string path = command.budget ? budgetPath(*command.budget) : "/v1/budgets";
    return this->read(path, &budgetsText);
}

Report CommandRunner::runOne(const BudgetTopUpCommand &command)
{
    return this->change(budgetPath(command.budget) + "/top-up",
                        {{"tokens", command.tokens}, {"change_id", command.changeId}},
                        &budgetText);
}

Report CommandRunner::runOne(const BudgetReleaseCommand &command)
{
    return this->change(budgetPath(command.budget) + "/release",
                        {{"billed_tokens", command.billedTokens},
                         {"returned_tokens", command.returnedTokens},
                         {"change_id", command.changeId}},
                        &budgetText);
}

Report CommandRunner::runOne(const ClaimListCommand & /*command*/)
{
    return this->read("/v1/status", &claimsText);
}

Report CommandRunner::runOne(const ClaimResolveCommand &command)
{
    return this->change("/v1/claims/resolve",
                        {{"organisation", command.organisation},
                         {"key", command.key},
                         {"ran", command.ran},
                         {"change_id", command.changeId}},
                        &budgetText);
}

Report CommandRunner::runOne(const InstanceListCommand & /*command*/)
{
    return this->read("/v1/instances", &instancesText);
}

Report CommandRunner::runOne(const InstanceAddCommand &command)
{
    return this->change(instancePath(command.instance, "add"), nlohmann::json::object(), &doneText);
}

Report CommandRunner::runOne(const InstanceRemoveCommand &command)
{
    return this->change(
        instancePath(command.instance, "remove"), nlohmann::json::object(), &doneText);
}

Report CommandRunner::runOne(const InstanceRetireCommand &command)
{
    return this->change(instancePath(command.instance, "retire"),
                        {{"incarnation", command.incarnation}, {"change_id", command.changeId}},
                        &doneText);
}

Report CommandRunner::runOne(const KeyDigestCommand & /*command*/)
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

Report CommandRunner::runOne(const ExplainCommand &command)
{
    RequestTrail trail(command.request);
    if (command.files.empty()) {
        trail.read(this->input);
    }
    for (const std::string &path : command.files) {
        std::ifstream log(path);
        if (!log) {
            return failureReport(core::makeError(
                core::ErrorCode::InvalidRequest,
                fmt::format("{}: found no readable file; accepted: a process's log", path)));
        }
        trail.read(log);
    }
    if (!trail.found()) {
        return failureReport(core::makeError(
            core::ErrorCode::InvalidRequest,
            fmt::format(
                "found no line of request '{}' in {} lines, {} of them log lines; accepted: "
                "logs of the instance that took the request, from its time",
                command.request,
                trail.linesRead(),
                trail.linesParsed())));
    }
    nlohmann::json result = trailObject(trail.trail());
    std::string text = trailText(result);
    return successReport(std::move(result), std::move(text));
}

} // namespace samphirebridge::samphirectl
