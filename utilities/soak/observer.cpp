#include "utilities/soak/observer.h"

#include "tests/support/fleet.h"

#include <fmt/format.h>

#include <fstream>
#include <thread>

namespace samphirebridge::soak
{

namespace
{

constexpr std::chrono::milliseconds PollInterval{150};

} // namespace

Observer::Observer(testing::Fleet &fleet,
                   const Shape &shape,
                   const Injector &injector,
                   const Operators &operators,
                   Witness &witness)
    : fleet(fleet)
    , shape(shape)
    , injector(injector)
    , operators(operators)
    , witness(witness)
{
}

void Observer::run(const std::atomic<bool> &stopping)
{
    while (!stopping) {
        this->readRunLogs();
        this->readVersions();
        std::this_thread::sleep_for(PollInterval);
    }
}

void Observer::readRunLogs()
{
    for (int index = 0; index < this->shape.targets(); ++index) {
        this->readLog(targetName(this->shape, index));
    }
    // Read after the logs, since all spending in them was purchased by a version sent earlier.
    const Purchase highest = this->operators.purchaseAt(this->operators.highestSent());
    this->witness.checkSpending(highest.chatTokens, highest.paymentTokens);
}

void Observer::readLog(const std::string &target)
{
    std::ifstream file(this->fleet.folder() / (target + ".runs"));
    std::streamoff &position = this->readPositions[target];
    file.seekg(position);
    for (std::string line; std::getline(file, line) && !file.eof();) {
        position += static_cast<std::streamoff>(line.size()) + 1;
        const auto entry = nlohmann::json::parse(line, nullptr, false);
        if (!entry.is_object()) {
            this->witness.addViolation(fmt::format(
                "the run log of target {} has a line that is not a JSON object: {}", target, line));
            continue;
        }
        this->witness.addRunLogEntry(target, entry);
    }
}

void Observer::readVersions()
{
    for (int index = 0; index < this->shape.instances; ++index) {
        const int before = this->injector.incarnation(index);
        const double version = this->fleet.metric(index, "samphirebridge_manifest_version");
        if (version >= 0 && this->injector.incarnation(index) == before) {
            this->witness.addVersion(index, before, static_cast<int64_t>(version));
        }
    }
}

} // namespace samphirebridge::soak
