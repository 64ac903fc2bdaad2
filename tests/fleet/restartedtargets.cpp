#include "tests/fleet/restartedtargets.h"

#include <fmt/format.h>

#include <utility>

using namespace samphirebridge::testing;

RestartedTargets::RestartedTargets(Fleet &runningFleet,
                                   int targets,
                                   int firstPort,
                                   std::vector<std::string> standinArguments)
    : fleet(runningFleet)
    , firstPort(firstPort)
    , arguments(std::move(standinArguments))
    , processes(targets, nullptr)
{
    for (size_t slot = 0; slot < this->processes.size(); ++slot) {
        this->start(slot);
    }
}

void RestartedTargets::restartEnded()
{
    for (size_t slot = 0; slot < this->processes.size(); ++slot) {
        if (!this->processes[slot]->running()) {
            ++this->endedCount;
            this->start(slot);
        }
    }
}

void RestartedTargets::start(size_t slot)
{
    const std::string name = fmt::format("t{}", this->startedCount++);
    const int port = this->firstPort + static_cast<int>(slot);
    this->processes[slot] = &this->fleet.startPlatformTarget(name, port, "s", this->arguments);
}
