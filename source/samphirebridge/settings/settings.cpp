#include "samphirebridge/settings/settings.h"

#include "samphirebridge/settings/settingsreader.h"

#include <algorithm>
#include <fstream>
#include <iterator>

namespace samphirebridge::settings
{

namespace
{

// Reads at most one byte more than the limit, which is enough for parsing to refuse a larger file.
// Returns nothing if the file cannot be read.
std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        return std::nullopt;
    }
    std::string text(MaximumSettingsBytes + 1, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (stream.bad() || (stream.fail() && !stream.eof())) {
        return std::nullopt;
    }
    text.resize(static_cast<size_t>(stream.gcount()));
    return text;
}

} // namespace

const Peer &Settings::self() const
{
    return *std::find_if(this->peers.begin(), this->peers.end(), [this](const Peer &peer) {
        return peer.id == this->instance;
    });
}

CheckedSettings checkSettings(std::string_view text, std::string_view fileName)
{
    ProblemCollector problems(core::ErrorCode::InvalidSettings, fileName);
    CheckedSettings checked;
    const std::optional<DocumentNode> document = readDocument(text, MaximumSettingsBytes, problems);
    if (document) {
        checked.settings = readSettings(*document, problems);
    }
    checked.problems = problems.take();
    return checked;
}

absl::StatusOr<Settings> parseSettings(std::string_view text, std::string_view fileName)
{
    CheckedSettings checked = checkSettings(text, fileName);
    if (!checked.problems.empty()) {
        return statusOf(checked.problems);
    }
    return std::move(checked.settings);
}

absl::StatusOr<Settings> loadSettings(const std::string &path)
{
    const std::optional<std::string> text = readFile(path);
    if (!text) {
        const Problem problem{.code = core::ErrorCode::InvalidSettings,
                              .file = path,
                              .found = "no readable file",
                              .accepted = "a settings file"};
        return statusOf(std::span(&problem, 1));
    }
    return parseSettings(*text, path);
}

} // namespace samphirebridge::settings
