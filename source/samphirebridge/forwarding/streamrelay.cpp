#include "samphirebridge/forwarding/streamrelay.h"

#include "samphirebridge/core/errors.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace samphirebridge::forwarding
{

namespace
{

// No engine sends longer events.
constexpr size_t MaximumEventBytes = size_t{256} * 1024;

// Limit of what is relayed between two events with an id, such as keep-alive comments and fields
// for the caller.
constexpr size_t MaximumBytesWithoutId = size_t{256} * 1024;

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view CrLfEventEnd = "\r\n\r\n";

// Returns the length of the first event including the empty line that ends it; npos if that line
// has not arrived. Searches from the position `from`, before which no event ends.
size_t eventLength(std::string_view bytes, size_t from)
{
    const size_t lf = bytes.find(EventEnd, from);
    const size_t crLf = bytes.find(CrLfEventEnd, from);
    if (lf == std::string_view::npos && crLf == std::string_view::npos) {
        return std::string_view::npos;
    }
    return lf < crLf ? lf + EventEnd.size() : crLf + CrLfEventEnd.size();
}

// Returns the number in the event's first id field; nothing if there is none or it is no number.
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

// Tells whether all of the event's lines are comments or set the caller's reconnection time.
bool isWithoutContent(std::string_view event)
{
    constexpr std::string_view ReconnectionTime = "retry:";
    while (!event.empty()) {
        const size_t end = event.find('\n');
        const std::string_view line = event.substr(0, end);
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
        const bool isBlank = line.empty() || line == "\r";
        if (!isBlank && !line.starts_with(':') && !line.starts_with(ReconnectionTime)) {
            return false;
        }
    }
    return true;
}

} // namespace

StreamRelay::StreamRelay(std::optional<uint64_t> lastEventId)
    : lastId(lastEventId)
{
}

absl::Status StreamRelay::feed(std::string_view bytes, std::string &relayed)
{
    // The line end that ends an event may be split over two calls.
    const size_t bytesBefore = this->partial.size();
    const size_t searchFrom = bytesBefore - std::min(bytesBefore, CrLfEventEnd.size() - 1);
    this->partial += bytes;
    std::string_view rest = this->partial;
    size_t length = eventLength(rest, searchFrom);
    while (length != std::string_view::npos) {
        if (absl::Status status = this->relayEvent(rest.substr(0, length), relayed); !status.ok()) {
            return status;
        }
        rest.remove_prefix(length);
        length = eventLength(rest, 0);
    }
    this->partial.erase(0, this->partial.size() - rest.size());
    if (this->partial.size() > MaximumEventBytes) {
        return core::makeError(core::ErrorCode::ConnectionBroken,
                               fmt::format("an event of more than {} bytes", MaximumEventBytes));
    }
    return absl::OkStatus();
}

absl::Status StreamRelay::relayEvent(std::string_view event, std::string &relayed)
{
    const std::optional<uint64_t> id = idOf(event);
    if (!id) {
        this->bytesWithoutId += event.size();
        if (this->bytesWithoutId > MaximumBytesWithoutId) {
            return core::makeError(
                core::ErrorCode::ConnectionBroken,
                fmt::format("more than {} bytes of events without an id", MaximumBytesWithoutId));
        }
        this->uncountedContent = this->uncountedContent || !isWithoutContent(event);
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

StreamRelay::Preview StreamRelay::previewNextAnswer(std::string_view bytes) const
{
    StreamRelay next(this->lastId);
    std::string events;
    const bool isValid = next.feed(bytes, events).ok();
    return {isValid, next.relayedEvents() > 0, next.hasPartialEvent()};
}

void StreamRelay::continueWithNextAnswer()
{
    this->partial.clear();
    this->bytesWithoutId = 0;
}

} // namespace samphirebridge::forwarding
