#include "samphirebridge/requests/sseparser.h"

#include "samphirebridge/core/errors.h"

#include <fmt/format.h>

namespace samphirebridge::requests
{

SseParser::SseParser(size_t maximumEventBytes)
    : maximumEventBytes(maximumEventBytes)
{
}

absl::Status SseParser::feed(std::string_view bytes, std::vector<std::string> &events)
{
    for (size_t i = 0; i < bytes.size() && !this->failed; ++i) {
        const char character = bytes[i];
        const bool isLfAfterCr = character == '\n' && this->lastWasCr;
        this->lastWasCr = character == '\r';
        if (isLfAfterCr) {
            continue;
        }
        if (character == '\n' || character == '\r') {
            this->processLine(this->line, events);
            this->line.clear();
            continue;
        }
        this->line += character;
        this->failed = this->line.size() + this->data.size() > this->maximumEventBytes;
    }
    if (this->failed) {
        return core::makeError(
            core::ErrorCode::TooLarge,
            fmt::format("a server-sent event of more than {} bytes", this->maximumEventBytes));
    }
    return absl::OkStatus();
}

bool SseParser::hasPartialEvent() const
{
    return this->hasData || !this->line.empty();
}

void SseParser::processLine(std::string_view line, std::vector<std::string> &events)
{
    constexpr std::string_view Field = "data";
    if (line.empty()) {
        if (this->hasData) {
            events.push_back(this->data);
        }
        this->data.clear();
        this->hasData = false;
        return;
    }
    const size_t colon = line.find(':');
    if (line.substr(0, colon) != Field) {
        return;
    }
    std::string_view value = colon == std::string_view::npos ? "" : line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    if (this->hasData) {
        this->data += '\n';
    }
    this->data += value;
    this->hasData = true;
}

} // namespace samphirebridge::requests
