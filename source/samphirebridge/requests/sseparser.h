// Incremental parser of server-sent events.
#pragma once

#include <absl/status/status.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::requests
{

// Takes a stream of bytes in pieces of any size and returns the data of each complete event.
// Comments and fields other than `data` are skipped. Memory is bounded by the longest event
// accepted.
class SseParser
{
public:
    explicit SseParser(size_t maximumEventBytes = size_t{1} << 20U);

    // Parses more bytes and appends the data of each event that they complete to `events`. TooLarge
    // if an event exceeds the limit; the parser then ignores all further bytes.
    absl::Status feed(std::string_view bytes, std::vector<std::string> &events);

    // Tells whether bytes of an unfinished event are held.
    [[nodiscard]] bool hasPartialEvent() const;

private:
    void processLine(std::string_view line, std::vector<std::string> &events);

    size_t maximumEventBytes;
    std::string line;
    std::string data;
    bool hasData = false;
    bool lastWasCr = false;
    bool failed = false;
};

} // namespace samphirebridge::requests
