// Stand-in targets of the users' platform that are started again when they have ended.
#pragma once

#include "tests/support/fleet.h"

#include <cstddef>
#include <string>
#include <vector>

// Keeps a number of targets running: each that has ended gets a successor with another id at its
// address.
class RestartedTargets
{
public:
    // Starts the targets of the service "s" with these further arguments, at ports from the first
    // one on.
    RestartedTargets(samphirebridge::testing::Fleet &runningFleet,
                     int targets,
                     int firstPort,
                     std::vector<std::string> standinArguments = {});

    // Starts a successor for each target that has ended.
    void restartEnded();

    // Returns how many targets have ended, up to the last call of restartEnded().
    [[nodiscard]] size_t ended() const
    {
        return this->endedCount;
    }

private:
    void start(size_t slot);

    samphirebridge::testing::Fleet &fleet;
    int firstPort;
    std::vector<std::string> arguments;
    std::vector<samphirebridge::testing::ChildProcess *> processes;
    int startedCount = 0;
    size_t endedCount = 0;
};
