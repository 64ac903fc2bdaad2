// Watches a round while it runs: what targets write and which manifest each instance has in force.
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

class Observer
{
public:
    Observer(testing::Fleet &fleet,
             const Shape &shape,
             const Injector &injector,
             const Operators &operators,
             Witness &witness);

    void run(const std::atomic<bool> &stopping);

    // Reads what the targets wrote since the last time and checks what has been spent.
    void readRuns();

private:
    void readLog(const std::string &target);
    void readVersions();

    testing::Fleet &fleet;
    Shape shape;
    const Injector &injector;
    const Operators &operators;
    Witness &witness;
    std::map<std::string, std::streamoff> positions; // Read so far, per target.
};

} // namespace samphirebridge::soak
