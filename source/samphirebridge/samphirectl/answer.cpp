#include "samphirebridge/samphirectl/answer.h"

#include "samphirebridge/samphirectl/exitcode.h"

#include <fmt/format.h>

#include <string>

namespace samphirebridge::samphirectl
{

namespace
{

constexpr long StatusNoContent = 204;

using core::ErrorCode;

// Returns the error code for the status of an answer that has no known code. An unexpected status
// doesn't show whether a change was made, whichever server sent it.
ErrorCode codeOfStatus(long status, RequestKind kind)
{
    switch (status) {
    case 400:
    case 413:
    case 422:
        return ErrorCode::InvalidRequest;
    case 401:
        return ErrorCode::Unauthenticated;
    case 403:
        return ErrorCode::Forbidden;
    case 404:
        return ErrorCode::NotFound;
    default:
        return kind == RequestKind::Change ? ErrorCode::OutcomeUnknown : ErrorCode::Internal;
    }
}

// Returns the field's string, or an empty one if the field is missing or no string.
std::string textOf(const nlohmann::json &object, const char *key)
{
    const auto field = object.find(key);
    return field != object.end() && field->is_string() ? field->get<std::string>() : "";
}

// Returns the problem's detail, or else its title, with the status and any current version.
std::string messageOfProblem(const nlohmann::json &problem, long status)
{
    std::string message = textOf(problem, "detail");
    if (message.empty()) {
        message = textOf(problem, "title");
    }
    if (message.empty()) {
        message = "the answer gives no explanation";
    }
    const auto version = problem.find("current_version");
    if (version != problem.end() && version->is_number_unsigned()) {
        message += fmt::format("; current version: {}", version->get<uint64_t>());
    }
    return fmt::format("HTTP {}: {}", status, message);
}

} // namespace

absl::Status errorOfAnswer(const OperatorAnswer &answer, RequestKind kind)
{
    nlohmann::json problem = nlohmann::json::parse(answer.body, nullptr, false);
    if (!problem.is_object()) {
        problem = nlohmann::json::object();
    }
    const ErrorCode answerCode = errorCodeNamed(textOf(problem, "code"));
    const ErrorCode code
        = answerCode == ErrorCode::None ? codeOfStatus(answer.status, kind) : answerCode;
    return core::makeError(code, messageOfProblem(problem, answer.status));
}

absl::StatusOr<nlohmann::json> readAnswer(const OperatorAnswer &answer, RequestKind kind)
{
    if (answer.status < 200 || answer.status >= 300) {
        return errorOfAnswer(answer, kind);
    }
    if (answer.status == StatusNoContent) {
        return nlohmann::json::object();
    }
    nlohmann::json object = nlohmann::json::parse(answer.body, nullptr, false);
    if (!object.is_object()) {
        const ErrorCode code
            = kind == RequestKind::Change ? ErrorCode::OutcomeUnknown : ErrorCode::Internal;
        return core::makeError(
            code,
            "found an answer that is not a JSON object; accepted: the answer of an entry "
            "instance of samphirebridge");
    }
    return object;
}

} // namespace samphirebridge::samphirectl
