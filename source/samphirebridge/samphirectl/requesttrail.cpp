#include "samphirebridge/samphirectl/requesttrail.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <sstream>
#include <string_view>
#include <utility>

namespace samphirebridge::samphirectl
{

namespace
{

// Events up to this long before the request's first line are included: a caller that was told to
// retry does so within this time, so an earlier event can still explain the request.
constexpr absl::Duration WindowBefore = absl::Seconds(10);
// Events up to this long after the request's last line are included: the cause may be logged late.
constexpr absl::Duration WindowAfter = absl::Seconds(1);

// Returns the target that a line names in its field "target" or as "target=ID" in its field
// "detail"; empty if it names none.
std::string targetOf(const LogLine &line)
{
    if (const auto target = line.field("target")) {
        return std::string(*target);
    }
    constexpr std::string_view TargetPrefix = "target=";
    std::istringstream words(std::string(line.field("detail").value_or("")));
    for (std::string word; words >> word;) {
        if (word.starts_with(TargetPrefix)) {
            return word.substr(TargetPrefix.size());
        }
    }
    return "";
}

} // namespace

RequestTrail::RequestTrail(std::string requestId)
    : requestId(std::move(requestId))
{
}

void RequestTrail::readLog(std::istream &log)
{
    std::string text;
    while (std::getline(log, text)) {
        ++this->lineCount;
        std::optional<LogLine> line = parseLogLine(text);
        if (!line) {
            continue;
        }
        ++this->parsedCount;
        const auto request = line->field("request");
        if (!request) {
            this->eventLines.push_back(*std::move(line));
        } else if (*request == this->requestId) {
            this->requestLines.push_back(*std::move(line));
        }
    }
}

size_t RequestTrail::linesRead() const
{
    return this->lineCount;
}

size_t RequestTrail::linesParsed() const
{
    return this->parsedCount;
}

bool RequestTrail::hasRequestLines() const
{
    return !this->requestLines.empty();
}

std::vector<LogLine> RequestTrail::trail() const
{
    if (this->requestLines.empty()) {
        return {};
    }
    const auto [first, last] = std::ranges::minmax_element(this->requestLines, {}, &LogLine::time);
    std::set<std::string> instances;
    std::set<std::string> targets;
    for (const LogLine &line : this->requestLines) {
        instances.insert(line.instance);
        targets.insert(targetOf(line));
    }
    targets.erase("");
    std::vector<LogLine> trail = this->requestLines;
    for (const LogLine &line : this->eventLines) {
        if (line.time < first->time - WindowBefore || line.time > last->time + WindowAfter) {
            continue;
        }
        const std::string target = targetOf(line);
        if (target.empty() ? instances.contains(line.instance) : targets.contains(target)) {
            trail.push_back(line);
        }
    }
    std::ranges::stable_sort(trail, {}, &LogLine::time);
    return trail;
}

nlohmann::json trailObject(const std::vector<LogLine> &trail)
{
    nlohmann::json lines = nlohmann::json::array();
    for (const LogLine &line : trail) {
        nlohmann::json fields = nlohmann::json::object();
        for (const auto &[name, value] : line.fields) {
            fields[name] = value;
        }
        lines.push_back({{"time", absl::FormatTime("%H:%M:%E3S", line.time, absl::UTCTimeZone())},
                         {"instance", line.instance},
                         {"event", line.event},
                         {"own", line.field("request").has_value()},
                         {"fields", std::move(fields)}});
    }
    return {{"lines", std::move(lines)}};
}

std::string trailText(const nlohmann::json &result)
{
    std::string text;
    for (const nlohmann::json &line : result.at("lines")) {
        const bool own = line.at("own").get<bool>();
        text += fmt::format("{} {} {} {}",
                            line.at("time").get<std::string>(),
                            own ? "*" : " ",
                            line.at("instance").get<std::string>(),
                            line.at("event").get<std::string>());
        for (const auto &[name, value] : line.at("fields").items()) {
            if (name != "request") {
                text += fmt::format(" {}={}", name, value.get<std::string>());
            }
        }
        text += '\n';
    }
    return text;
}

} // namespace samphirebridge::samphirectl
