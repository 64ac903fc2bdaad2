// The attempts of one request, and whether a byte of them can have reached a target.
#pragma once

#include "samphirebridge/core/ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::requests
{

// At most one attempt runs at a time. While it runs, its bytes count as having left.
class AttemptHistory
{
public:
    // Attempts are named `<prefix>.<number>`, from 1 on.
    explicit AttemptHistory(std::string_view prefix)
        : prefix(prefix)
    {
    }

    // Begins the next attempt and returns its name.
    const std::string &begin(const core::TargetId &chosen)
    {
        ++this->started;
        this->name = this->prefix + "." + std::to_string(this->started);
        this->target = chosen;
        return this->name;
    }

    // Ends the running attempt as a failure of its target.
    void fail(bool bytesMayHaveLeft)
    {
        this->earlierMayHaveLeft = this->earlierMayHaveLeft || bytesMayHaveLeft;
        this->failed.push_back(this->target);
        this->name.clear();
    }

    // Ends the running attempt at the end of the request.
    void close()
    {
        this->earlierMayHaveLeft = this->mayHaveRun();
        this->name.clear();
    }

    // Records that an earlier holder of the request may have sent it.
    void takeOver()
    {
        this->earlierMayHaveLeft = true;
    }

    [[nodiscard]] bool isRunning() const
    {
        return !this->name.empty();
    }

    [[nodiscard]] bool isCurrent(std::string_view attempt) const
    {
        return this->isRunning() && this->name == attempt;
    }

    // Returns the running attempt's name, or an empty one.
    [[nodiscard]] const std::string &current() const
    {
        return this->name;
    }

    // Tells whether a byte of the request can have reached a target.
    [[nodiscard]] bool mayHaveRun() const
    {
        return this->earlierMayHaveLeft || this->isRunning();
    }

    [[nodiscard]] uint32_t count() const
    {
        return this->started;
    }

    [[nodiscard]] const std::vector<core::TargetId> &failedTargets() const
    {
        return this->failed;
    }

private:
    std::string prefix;
    std::string name;
    core::TargetId target;
    uint32_t started = 0;
    std::vector<core::TargetId> failed;
    bool earlierMayHaveLeft = false;
};

} // namespace samphirebridge::requests
