#include "samphirebridge/samphirectl/logline.h"

#include <algorithm>

namespace samphirebridge::samphirectl
{

namespace
{

constexpr std::string_view TimeField = "time=";

// Removes `name=value` or `name="value"` and the space after it from the start of the text, and
// returns the name and the unescaped value. Returns nothing if the text doesn't start with a field.
std::optional<std::pair<std::string, std::string>> consumeField(std::string_view &text)
{
    const size_t equals = text.find('=');
    if (equals == std::string_view::npos || equals == 0) {
        return std::nullopt;
    }
    std::pair<std::string, std::string> field{text.substr(0, equals), ""};
    text.remove_prefix(equals + 1);
    const bool quoted = text.starts_with('"');
    size_t position = quoted ? 1 : 0;
    const char end = quoted ? '"' : ' ';
    while (position < text.size() && text[position] != end) {
        if (quoted && text[position] == '\\' && position + 1 < text.size()) {
            ++position;
        }
        field.second += text[position++];
    }
    if (quoted && position == text.size()) {
        return std::nullopt;
    }
    text.remove_prefix(position + (quoted ? 1 : 0));
    text.remove_prefix(text.starts_with(' ') ? 1 : 0);
    return field;
}

} // namespace

std::optional<std::string_view> LogLine::field(std::string_view name) const
{
    const auto match
        = std::ranges::find(this->fields, name, [](const auto &entry) { return entry.first; });
    if (match == this->fields.end()) {
        return std::nullopt;
    }
    return match->second;
}

std::optional<LogLine> parseLogLine(std::string_view text)
{
    const size_t begin = text.find(TimeField);
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    text.remove_prefix(begin);
    while (text.ends_with('\n') || text.ends_with('\r')) {
        text.remove_suffix(1);
    }
    LogLine line;
    std::string time;
    while (!text.empty()) {
        auto field = consumeField(text);
        if (!field) {
            return std::nullopt;
        }
        if (field->first == "time") {
            time = std::move(field->second);
        } else if (field->first == "instance") {
            line.instance = std::move(field->second);
        } else if (field->first == "event") {
            line.event = std::move(field->second);
        } else {
            line.fields.push_back(*std::move(field));
        }
    }
    std::string error;
    if (line.event.empty() || !absl::ParseTime(absl::RFC3339_full, time, &line.time, &error)) {
        return std::nullopt;
    }
    return line;
}

} // namespace samphirebridge::samphirectl
