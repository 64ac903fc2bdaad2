#include "samphirebridge/forwarding/streamrelay.h"

#include "samphirebridge/core/errors.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace samphirebridge::forwarding
{

namespace
{

// Longer events are no events of an engine.
constexpr size_t LongestEventBytes = size_t{256} * 1024;

// What may pass between two events with an id: comments that keep the connection open, and fields
// that the caller understands.
constexpr size_t MostBytesWithoutId = size_t{256} * 1024;

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view CarriageEventEnd = "\r\n\r\n";

// Returns the length of the first event, its empty line included; npos while it is incomplete. No
// end of it lies before the position given.
size_t eventLength(std::string_view bytes, size_t from)
{
    const size_t plain = bytes.find(EventEnd, from);
    const size_t carriage = bytes.find(CarriageEventEnd, from);
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
    // An end may have begun with the last bytes that came before.
    const size_t before = this->partial.size();
    const size_t searched = before - std::min(before, CarriageEventEnd.size() - 1);
    this->partial += bytes;
    std::string_view rest = this->partial;
    size_t length = eventLength(rest, searched);
    while (length != std::string_view::npos) {
        if (absl::Status status = this->takeEvent(rest.substr(0, length), relayed); !status.ok()) {
            return status;
        }
        rest.remove_prefix(length);
        length = eventLength(rest, 0);
    }
    this->partial.erase(0, this->partial.size() - rest.size());
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
        this->bytesWithoutId += event.size();
        if (this->bytesWithoutId > MostBytesWithoutId) {
            return core::makeError(
                core::ErrorCode::ConnectionBroken,
                fmt::format("more than {} bytes of events without an id", MostBytesWithoutId));
        }
        relayed += event;
        return absl::OkStatus();
    }
    this->bytesWithoutId = 0;
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
    this->bytesWithoutId = 0;
}

} // namespace samphirebridge::forwarding
