// Collects the log lines that explain one request from the logs of the fleet's instances.
#pragma once

#include "samphirebridge/samphirectl/logline.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <istream>
#include <string>
#include <vector>

namespace samphirebridge::samphirectl
{

class RequestTrail
{
public:
    explicit RequestTrail(std::string requestId);

    // Reads the lines of one log; the logs may be read in any order.
    void readLog(std::istream &log);

    // Returns how many lines were read, and how many of them could be parsed.
    [[nodiscard]] size_t linesRead() const;
    [[nodiscard]] size_t linesParsed() const;

    // Returns whether any line of the request was read.
    [[nodiscard]] bool hasRequestLines() const;

    // Returns the request's lines, and the lines about no request that concern its instances or
    // targets, from shortly before to shortly after the request, all sorted by time.
    [[nodiscard]] std::vector<LogLine> trail() const;

private:
    std::string requestId;
    std::vector<LogLine> requestLines;
    std::vector<LogLine> eventLines; // Lines without a request id.
    size_t lineCount = 0;
    size_t parsedCount = 0;
};

// Returns the trail as an object with the list "lines".
nlohmann::json trailObject(const std::vector<LogLine> &trail);
// Formats the result of trailObject() with one text line for each log line; "*" marks the request's
// own lines.
std::string trailText(const nlohmann::json &result);

} // namespace samphirebridge::samphirectl
