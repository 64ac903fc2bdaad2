#include "samphirebridge/samphirectl/texts.h"

#include "samphirebridge/manifest/manifestdelta.h"
#include "samphirebridge/samphirectl/report.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <ctime>
#include <span>
#include <string_view>
#include <vector>

namespace samphirebridge::samphirectl
{

namespace
{

constexpr auto BudgetColumns = std::to_array<std::string_view>({
    "budget",
    "purchased_tokens",
    "billed_tokens",
    "escrow_tokens",
    "quarantined_tokens",
    "pool_tokens",
});
constexpr auto InstanceColumns = std::to_array<std::string_view>({
    "id",
    "incarnation",
    "manifest_version",
    "leaving",
    "live",
});

std::string cellOf(const nlohmann::json &object, std::string_view key)
{
    if (!object.is_object()) {
        return "-";
    }
    const auto field = object.find(std::string(key));
    if (field == object.end() || field->is_null()) {
        return "-";
    }
    return field->is_string() ? field->get<std::string>() : toJsonLine(*field);
}

nlohmann::json listOf(const nlohmann::json &object, const char *key)
{
    const auto field = object.find(key);
    return field != object.end() && field->is_array() ? *field : nlohmann::json::array();
}

// Formats the rows as a table with a heading; each column is as wide as its widest cell.
std::string tableOf(const nlohmann::json &rows, std::span<const std::string_view> columns)
{
    std::vector<std::vector<std::string>> lines;
    lines.emplace_back(columns.begin(), columns.end());
    for (const nlohmann::json &row : rows) {
        std::vector<std::string> &line = lines.emplace_back();
        for (const std::string_view column : columns) {
            line.push_back(cellOf(row, column));
        }
    }
    std::vector<size_t> widths(columns.size(), 0);
    for (const std::vector<std::string> &line : lines) {
        for (size_t column = 0; column < columns.size(); ++column) {
            widths[column] = std::max(widths[column], line[column].size());
        }
    }
    std::string text;
    for (const std::vector<std::string> &line : lines) {
        std::string rendered;
        for (size_t column = 0; column < columns.size(); ++column) {
            rendered += fmt::format("{:<{}}  ", line[column], widths[column]);
        }
        rendered.erase(rendered.find_last_not_of(' ') + 1);
        text += rendered + '\n';
    }
    return text;
}

std::string joinItems(const nlohmann::json &items)
{
    std::string joined;
    for (const nlohmann::json &item : items) {
        joined += joined.empty() ? "" : ", ";
        joined += item.is_string() ? item.get<std::string>() : toJsonLine(item);
    }
    return joined.empty() ? "none" : joined;
}

// Formats a time in milliseconds since 1970 as UTC.
std::string timeText(const nlohmann::json &milliseconds)
{
    if (!milliseconds.is_number_unsigned()) {
        return "-";
    }
    const auto seconds = static_cast<std::time_t>(milliseconds.get<uint64_t>() / 1000);
    return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(seconds));
}

nlohmann::json nameObject(const manifest::EntityName &name)
{
    return {{"kind", manifest::kindName(name.kind)}, {"id", name.id}};
}

void addDiffLines(std::string &text, std::string_view sign, const nlohmann::json &names)
{
    for (const nlohmann::json &name : names) {
        text += fmt::format("{} {} {}\n", sign, cellOf(name, "kind"), cellOf(name, "id"));
    }
}

} // namespace

std::string applyText(const nlohmann::json &result)
{
    const bool resend = result.value("resend", nlohmann::json(false)) == true;
    return fmt::format("version {}{}\nin force on: {}\nnot confirmed by: {}\n",
                       cellOf(result, "version"),
                       resend ? " (accepted before)" : "",
                       joinItems(listOf(result, "in_force_on")),
                       joinItems(listOf(result, "not_confirmed_by")));
}

std::string statusText(const nlohmann::json &result)
{
    std::string text = fmt::format("leader: {}, term {}, commit index {}, manifest version {}\n",
                                   cellOf(result, "leader"),
                                   cellOf(result, "term"),
                                   cellOf(result, "commit_index"),
                                   cellOf(result, "manifest_version"));
    text += fmt::format("voters: {}\n", joinItems(listOf(result, "voters")));
    text += fmt::format("learners: {}\n", joinItems(listOf(result, "learners")));
    text += fmt::format("instances: {}\n", joinItems(listOf(result, "instances")));
    text += fmt::format("targets: {}\n", joinItems(listOf(result, "targets")));
    text += fmt::format("claims in doubt: {}\n", joinItems(listOf(result, "claims_in_doubt")));
    return text;
}

std::string budgetsText(const nlohmann::json &result)
{
    return tableOf(listOf(result, "budgets"), BudgetColumns);
}

std::string budgetText(const nlohmann::json &result)
{
    if (result.contains("budgets")) {
        return budgetsText(result);
    }
    return tableOf(nlohmann::json::array({result}), BudgetColumns);
}

std::string claimsText(const nlohmann::json &result)
{
    std::string text;
    for (const nlohmann::json &claim : listOf(result, "claims_in_doubt")) {
        text += (claim.is_string() ? claim.get<std::string>() : toJsonLine(claim)) + '\n';
    }
    return text.empty() ? "no claims in doubt\n" : text;
}

std::string instancesText(const nlohmann::json &result)
{
    return tableOf(listOf(result, "instances"), InstanceColumns);
}

std::string evacuationText(const nlohmann::json &result)
{
    const bool evacuated = result.value("evacuated", nlohmann::json(false)) == true;
    const bool replaced = result.value("replaced", nlohmann::json(false)) == true;
    return fmt::format("{} is {}{}, revision {}\n",
                       cellOf(result, "data_centre"),
                       evacuated ? "evacuated" : "not evacuated",
                       replaced ? "" : " (as before)",
                       cellOf(result, "revision"));
}

std::string evacuationsText(const nlohmann::json &result)
{
    std::string text;
    for (const nlohmann::json &evacuation : listOf(result, "evacuations")) {
        const bool evacuated = evacuation.value("evacuated", nlohmann::json(false)) == true;
        text += fmt::format("{}: {} since {}, revision {}\n"
                            "  in force on: {}\n  not confirmed by: {}\n",
                            cellOf(evacuation, "data_centre"),
                            evacuated ? "evacuated" : "not evacuated",
                            timeText(evacuation.value("since_ms", nlohmann::json(0))),
                            cellOf(evacuation, "revision"),
                            joinItems(listOf(evacuation, "in_force_on")),
                            joinItems(listOf(evacuation, "not_confirmed_by")));
    }
    return text.empty() ? "no data centre was evacuated\n" : text;
}

std::string doneText(const nlohmann::json & /*result*/)
{
    return "done\n";
}

nlohmann::json diffObject(const proto::Manifest &current, const proto::ManifestDelta &delta)
{
    nlohmann::json result = {{"current_version", current.version()},
                             {"added", nlohmann::json::array()},
                             {"changed", nlohmann::json::array()},
                             {"removed", nlohmann::json::array()}};
    std::vector<manifest::EntityName> names;
    for (const proto::Entity &entity : current.entities()) {
        names.push_back(manifest::nameOf(entity));
    }
    std::sort(names.begin(), names.end());
    for (const proto::Entity &entity : delta.upserts()) {
        const manifest::EntityName name = manifest::nameOf(entity);
        const bool known = std::binary_search(names.begin(), names.end(), name);
        result[known ? "changed" : "added"].push_back(nameObject(name));
    }
    for (const proto::EntityKey &key : delta.removals()) {
        result["removed"].push_back(nameObject({key.kind(), key.id()}));
    }
    return result;
}

std::string diffText(const nlohmann::json &result)
{
    std::string text = fmt::format("against version {}\n", cellOf(result, "current_version"));
    addDiffLines(text, "+", listOf(result, "added"));
    addDiffLines(text, "~", listOf(result, "changed"));
    addDiffLines(text, "-", listOf(result, "removed"));
    return text;
}

} // namespace samphirebridge::samphirectl
