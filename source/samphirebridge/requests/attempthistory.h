// Records the attempts of one request and whether any byte of them can have reached a target.
#pragma once

#include "samphirebridge/core/ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::requests
{

// At most one attempt runs at a time. While it runs, its bytes count as sent.
class AttemptHistory
{
public:
    // Attempts are named `<prefix>.<number>`, counted from 1.
    explicit AttemptHistory(std::string_view prefix)
        : prefix(prefix)
    {
    }

    // Begins the next attempt and returns its name.
    const std::string &beginNext(const core::TargetId &chosen)
    {
        ++this->startedCount;
        this->currentName = this->prefix + "." + std::to_string(this->startedCount);
        this->target = chosen;
        return this->currentName;
    }

    // Ends the running attempt and records its target as failed. `bytesMayHaveLeft` tells whether a
    // byte of it can have reached the target.
    void recordFailure(bool bytesMayHaveLeft)
    {
        this->earlierMayHaveBeenSent = this->earlierMayHaveBeenSent || bytesMayHaveLeft;
        this->failedIds.push_back(this->target);
        this->currentName.clear();
    }

    // Ends the running attempt, if any, because the request ends.
    void endCurrent()
    {
        this->earlierMayHaveBeenSent = this->mayHaveRun();
        this->currentName.clear();
    }

    // Records that the request was taken over from another holder, which may have sent it.
    void recordTakeover()
    {
        this->earlierMayHaveBeenSent = true;
    }

    [[nodiscard]] bool isRunning() const
    {
        return !this->currentName.empty();
    }

    [[nodiscard]] bool isCurrent(std::string_view attempt) const
    {
        return this->isRunning() && this->currentName == attempt;
    }

    // Returns the running attempt's name; empty if none is running.
    [[nodiscard]] const std::string &currentAttempt() const
    {
        return this->currentName;
    }

    // Returns the target of the running attempt, or of the last one if none is running.
    [[nodiscard]] const core::TargetId &currentTarget() const
    {
        return this->target;
    }

    // Tells whether a byte of the request can have reached a target.
    [[nodiscard]] bool mayHaveRun() const
    {
        return this->earlierMayHaveBeenSent || this->isRunning();
    }

    [[nodiscard]] uint32_t startedAttempts() const
    {
        return this->startedCount;
    }

    [[nodiscard]] const std::vector<core::TargetId> &failedTargets() const
    {
        return this->failedIds;
    }

private:
    std::string prefix;
    std::string currentName;
    core::TargetId target;
    uint32_t startedCount = 0;
    std::vector<core::TargetId> failedIds;
    bool earlierMayHaveBeenSent = false;
};

} // namespace samphirebridge::requests
