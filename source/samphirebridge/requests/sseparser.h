// Incremental parser of server-sent events.
#pragma once

#include <absl/status/status.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::requests
{

// Takes a stream of bytes cut anywhere and returns the data of each complete event. Comments and
// fields other than `data` are skipped. Memory is bounded by the longest event accepted.
class SseParser
{
public:
    explicit SseParser(size_t maximumEventBytes = size_t{1} << 20U);

    // Appends bytes; the data of the events that they complete go to `events`. TooLarge when an
    // event outgrows the bound; the parser takes nothing more then.
    absl::Status feed(std::string_view bytes, std::vector<std::string> &events);

    // Tells whether bytes of an unfinished event wait for more.
    [[nodiscard]] bool midEvent() const;

private:
    void takeLine(std::string_view line, std::vector<std::string> &events);

    size_t maximumEventBytes;
    std::string line;
    std::string data;
    bool hasData = false;
    bool afterCarriageReturn = false;
    bool failed = false;
};

} // namespace samphirebridge::requests
