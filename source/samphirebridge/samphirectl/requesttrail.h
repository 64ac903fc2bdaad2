// The way of one request through the fleet, out of the logs of its processes.
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

    // Takes in the lines of one log; logs may come in any order.
    void read(std::istream &log);

    // Returns how many lines were read, and how many of them could be parsed.
    [[nodiscard]] size_t linesRead() const;
    [[nodiscard]] size_t linesParsed() const;

    [[nodiscard]] bool found() const;

    // Returns the request's lines in order of time, and among them what changed meanwhile, and
    // shortly before, at the instances and targets that it passed.
    [[nodiscard]] std::vector<LogLine> trail() const;

private:
    std::string requestId;
    std::vector<LogLine> own;
    std::vector<LogLine> changes; // Lines that are about no request.
    size_t lines = 0;
    size_t parsed = 0;
};

// Returns the trail as an object with the list "lines", and as one line of text each.
nlohmann::json trailObject(const std::vector<LogLine> &trail);
std::string trailText(const nlohmann::json &result);

} // namespace samphirebridge::samphirectl
