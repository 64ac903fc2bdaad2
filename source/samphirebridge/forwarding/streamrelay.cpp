#include "samphirebridge/forwarding/streamrelay.h"

#include "samphirebridge/core/errors.h"

#include <fmt/format.h>

#include <charconv>

namespace samphirebridge::forwarding
{

namespace
{

// Longer events are no events of an engine.
constexpr size_t LongestEventBytes = size_t{1} << 20U;

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view CarriageEventEnd = "\r\n\r\n";

// Returns the length of the first event, its empty line included; npos while it is incomplete.
size_t eventLength(std::string_view bytes)
{
    const size_t plain = bytes.find(EventEnd);
    const size_t carriage = bytes.find(CarriageEventEnd);
    if (plain == std::string_view::npos && carriage == std::string_view::npos) {
        return std::string_view::npos;
    }
    return plain < carriage ? plain + EventEnd.size() : carriage + CarriageEventEnd.size();
}

// Returns the number in the event's id field, if it has one.
std::optional<uint64_t> idOf(std::string_view event)
{
    constexpr std::string_view Field = "id:";
    while (!event.empty()) {
        const size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
        if (!line.starts_with(Field)) {
            continue;
        }
        line.remove_prefix(Field.size());
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) {
            line.remove_suffix(1);
        }
        uint64_t id = 0;
        const char *last = line.data() + line.size();
        const auto parsed = std::from_chars(line.data(), last, id);
        if (parsed.ec == std::errc() && parsed.ptr == last) {
            return id;
        }
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

StreamRelay::StreamRelay(std::optional<uint64_t> lastEventId)
    : lastId(lastEventId)
{
}

absl::Status StreamRelay::feed(std::string_view bytes, std::string &relayed)
{
    this->partial += bytes;
    std::string_view rest = this->partial;
    size_t length = eventLength(rest);
    while (length != std::string_view::npos) {
        if (absl::Status status = this->takeEvent(rest.substr(0, length), relayed); !status.ok()) {
            return status;
        }
        rest.remove_prefix(length);
        length = eventLength(rest);
    }
    this->partial = std::string(rest);
    if (this->partial.size() > LongestEventBytes) {
        return core::makeError(core::ErrorCode::ConnectionBroken,
                               fmt::format("an event of more than {} bytes", LongestEventBytes));
    }
    return absl::OkStatus();
}

absl::Status StreamRelay::takeEvent(std::string_view event, std::string &relayed)
{
    const std::optional<uint64_t> id = idOf(event);
    if (!id) {
        relayed += event;
        return absl::OkStatus();
    }
    if (this->lastId && *id <= *this->lastId) {
        return absl::OkStatus();
    }
    if (this->lastId && *id != *this->lastId + 1) {
        return core::makeError(core::ErrorCode::ConnectionBroken,
                               fmt::format("event {} after event {}", *id, *this->lastId));
    }
    this->lastId = id;
    ++this->relayedCount;
    relayed += event;
    return absl::OkStatus();
}

void StreamRelay::beginNextAnswer()
{
    this->partial.clear();
}

} // namespace samphirebridge::forwarding
