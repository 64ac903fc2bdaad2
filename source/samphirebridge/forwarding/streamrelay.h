// Cuts a stream of server-sent events into whole events and keeps their order, also over several
// answers that go on where the one before broke off.
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
    // The caller has the events up to the id already, if there is one.
    explicit StreamRelay(std::optional<uint64_t> lastEventId = std::nullopt);

    // Takes bytes of the present answer and returns the whole events that the caller lacks, as they
    // came. ConnectionBroken when an event is missing in between, is no event or is too long, or
    // when too much comes without an id: the answer is of no use any more.
    absl::Status feed(std::string_view bytes, std::string &relayed);

    // The present answer broke off: bytes of an unfinished event are dropped, and the next answer
    // goes on after lastEventId().
    void beginNextAnswer();

    // Tells whether bytes of an unfinished event wait for more.
    [[nodiscard]] bool midEvent() const
    {
        return !this->partial.empty();
    }

    // Returns the id of the last event that was relayed, or the one that the caller came with.
    [[nodiscard]] std::optional<uint64_t> lastEventId() const
    {
        return this->lastId;
    }

    // Events relayed since the start.
    [[nodiscard]] uint64_t relayedEvents() const
    {
        return this->relayedCount;
    }

private:
    absl::Status takeEvent(std::string_view event, std::string &relayed);

    std::string partial;
    size_t bytesWithoutId = 0; // Relayed since the last event with an id.
    std::optional<uint64_t> lastId;
    uint64_t relayedCount = 0;
};

} // namespace samphirebridge::forwarding
