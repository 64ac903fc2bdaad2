// Relays a stream of server-sent events as whole events, without gap or repeat, even if it is
// assembled from several answers that each continue the one before.
#pragma once

#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace samphirebridge::forwarding
{

class StreamRelay
{
public:
    // The caller already has the events up to and including `lastEventId`, if one is given.
    explicit StreamRelay(std::optional<uint64_t> lastEventId = std::nullopt);

    // Takes bytes of the current answer and appends to `relayed`, unchanged, the whole events that
    // the caller doesn't have yet. ConnectionBroken if an event id is skipped, an event is too long
    // or too many bytes come without an event id: the answer can't be used any further.
    absl::Status feed(std::string_view bytes, std::string &relayed);

    // What a caller would get from another answer that continues after lastEventId().
    struct Preview {
        bool isValid = false; // The answer can be used so far.
        bool hasNewEvent = false; // It has an event that the caller doesn't have.
        bool hasPartialEvent = false; // It ends inside an event.
    };

    // Tells what feed() would do with the bytes of such an answer, of which nothing is relayed.
    [[nodiscard]] Preview previewNextAnswer(std::string_view bytes) const;

    // Prepares for the answer that continues after lastEventId() when the current one broke off.
    // Bytes of an unfinished event are dropped.
    void continueWithNextAnswer();

    // Tells whether bytes of an unfinished event are held.
    [[nodiscard]] bool hasPartialEvent() const
    {
        return !this->partial.empty();
    }

    // Returns the id of the last event that was relayed, or the one given at construction.
    [[nodiscard]] std::optional<uint64_t> lastEventId() const
    {
        return this->lastId;
    }

    // Returns the number of events with an id that were relayed, over all answers.
    [[nodiscard]] uint64_t relayedEvents() const
    {
        return this->relayedCount;
    }

    // Tells whether content was relayed that is part of no event with an id, so that
    // relayedEvents() doesn't say how much the caller has. Comments are no content.
    [[nodiscard]] bool hasUncountedContent() const
    {
        return this->uncountedContent;
    }

private:
    absl::Status relayEvent(std::string_view event, std::string &relayed);

    std::string partial; // The beginning of an event whose end has not arrived.
    size_t bytesWithoutId = 0; // Relayed since the last event with an id.
    std::optional<uint64_t> lastId;
    uint64_t relayedCount = 0;
    bool uncountedContent = false;
};

} // namespace samphirebridge::forwarding
