// Follows the targets' run logs and the instances' manifest versions during a round.
#pragma once

#include "utilities/soak/injector.h"
#include "utilities/soak/operators.h"
#include "utilities/soak/witness.h"

#include <atomic>
#include <filesystem>
#include <map>
#include <string>

namespace samphirebridge::testing
{
class Fleet;
}

namespace samphirebridge::soak
{

// Feeds the witness with what targets and instances report while a round runs.
class Observer
{
public:
    Observer(testing::Fleet &fleet,
             const Shape &shape,
             const Injector &injector,
             const Operators &operators,
             Witness &witness);

    // Polls run logs and versions until `stopping` is set.
    void run(const std::atomic<bool> &stopping);

    // Reads the new entries of the run logs and checks the spending against the budgets.
    void readRunLogs();

private:
    void readLog(const std::string &target);
    void readVersions();

    testing::Fleet &fleet;
    Shape shape;
    const Injector &injector;
    const Operators &operators;
    Witness &witness;
    std::map<std::string, std::streamoff> readPositions; // Bytes read so far, by target.
};

} // namespace samphirebridge::soak
