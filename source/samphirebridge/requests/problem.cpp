#include "samphirebridge/requests/problem.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace samphirebridge::requests
{

namespace
{

// Turns a code into a title: "no_target" becomes "No target".
std::string makeTitle(std::string_view name)
{
    std::string title(name);
    std::replace(title.begin(), title.end(), '_', ' ');
    if (!title.empty() && title[0] >= 'a' && title[0] <= 'z') {
        title[0] = static_cast<char>(title[0] - 'a' + 'A');
    }
    return title;
}

nlohmann::json makeDocument(std::string_view name, int status, std::string_view detail)
{
    nlohmann::json document;
    document["type"] = "urn:samphirebridge:" + std::string(name);
    document["title"] = makeTitle(name);
    document["status"] = status;
    document["detail"] = detail.empty() ? makeTitle(name) : std::string(detail);
    document["code"] = name;
    return document;
}

nlohmann::json makeDocument(core::RefusalReason reason,
                            core::Outcome outcome,
                            std::string_view requestKey,
                            std::string_view detail)
{
    nlohmann::json document
        = makeDocument(core::refusalName(reason), core::refusalStatus(reason), detail);
    document["outcome"] = core::outcomeName(outcome);
    if (!requestKey.empty()) {
        document["request_key"] = requestKey;
    }
    return document;
}

// Replaces invalid UTF-8, since details may quote what callers sent.
std::string serialise(const nlohmann::json &document)
{
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

Problem renderProblem(core::RefusalReason reason,
                      core::Outcome outcome,
                      std::string_view requestKey,
                      std::optional<core::Duration> retryAfter,
                      std::string_view detail)
{
    Problem problem;
    problem.status = core::refusalStatus(reason);
    problem.body = serialise(makeDocument(reason, outcome, requestKey, detail));
    if (retryAfter) {
        const int64_t seconds = std::chrono::ceil<std::chrono::seconds>(*retryAfter).count();
        problem.retryAfterSeconds = std::max<int64_t>(1, seconds);
    }
    return problem;
}

Problem renderError(core::ErrorCode code, int status, std::string_view detail)
{
    Problem problem;
    problem.status = status;
    problem.body = serialise(makeDocument(core::errorName(code), status, detail));
    return problem;
}

std::string renderErrorEvent(core::RefusalReason reason,
                             core::Outcome outcome,
                             std::string_view requestKey,
                             std::string_view detail)
{
    nlohmann::json event;
    event["error"] = makeDocument(reason, outcome, requestKey, detail);
    return "data: " + serialise(event) + "\n\n";
}

} // namespace samphirebridge::requests
