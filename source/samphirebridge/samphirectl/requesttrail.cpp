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

// How far before a request's first line a change may lie that still explains it: a retry that is
// told to come back does so within this time.
constexpr absl::Duration Before = absl::Seconds(10);
// What is logged soon after its end may belong to its cause.
constexpr absl::Duration After = absl::Seconds(1);

// The target that a line names, in a field of its own or as "target=ID" in its detail.
std::string targetOf(const LogLine &line)
{
    if (const auto target = line.field("target")) {
        return std::string(*target);
    }
    constexpr std::string_view Mark = "target=";
    std::istringstream words(std::string(line.field("detail").value_or("")));
    for (std::string word; words >> word;) {
        if (word.starts_with(Mark)) {
            return word.substr(Mark.size());
        }
    }
    return "";
}

} // namespace

RequestTrail::RequestTrail(std::string requestId)
    : requestId(std::move(requestId))
{
}

void RequestTrail::read(std::istream &log)
{
    std::string text;
    while (std::getline(log, text)) {
        ++this->lines;
        std::optional<LogLine> line = parseLogLine(text);
        if (!line) {
            continue;
        }
        ++this->parsed;
        const auto request = line->field("request");
        if (!request) {
            this->changes.push_back(*std::move(line));
        } else if (*request == this->requestId) {
            this->own.push_back(*std::move(line));
        }
    }
}

size_t RequestTrail::linesRead() const
{
    return this->lines;
}

size_t RequestTrail::linesParsed() const
{
    return this->parsed;
}

bool RequestTrail::found() const
{
    return !this->own.empty();
}

std::vector<LogLine> RequestTrail::trail() const
{
    if (this->own.empty()) {
        return {};
    }
    const auto [first, last] = std::ranges::minmax_element(this->own, {}, &LogLine::time);
    std::set<std::string> instances;
    std::set<std::string> targets;
    for (const LogLine &line : this->own) {
        instances.insert(line.instance);
        targets.insert(targetOf(line));
    }
    targets.erase("");
    std::vector<LogLine> trail = this->own;
    for (const LogLine &line : this->changes) {
        if (line.time < first->time - Before || line.time > last->time + After) {
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
