#include "utilities/soak/plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <optional>
#include <random>
#include <sstream>
#include <stdexcept>

namespace samphirebridge::soak
{

namespace
{

using std::chrono::milliseconds;

struct FaultKindInfo {
    FaultKind kind;
    std::string_view name;
    bool concernsInstance;
    double weight; // Relative frequency.
};

constexpr std::array FaultKinds{
    FaultKindInfo{FaultKind::KillInstance, "kill_instance", true, 3},
    FaultKindInfo{FaultKind::StopInstance, "stop_instance", true, 3},
    FaultKindInfo{FaultKind::FreezeInstance, "freeze_instance", true, 2},
    FaultKindInfo{FaultKind::LoseDisk, "lose_disk", true, 1},
    FaultKindInfo{FaultKind::LosePower, "lose_power", true, 1},
    FaultKindInfo{FaultKind::IsolateInstance, "isolate_instance", true, 3},
    FaultKindInfo{FaultKind::DeafenInstance, "deafen_instance", true, 1},
    FaultKindInfo{FaultKind::DelayInstance, "delay_instance", true, 1},
    FaultKindInfo{FaultKind::ResetInstance, "reset_instance", true, 1},
    FaultKindInfo{FaultKind::CrashTarget, "crash_target", false, 2},
    FaultKindInfo{FaultKind::FreezeTarget, "freeze_target", false, 2},
    FaultKindInfo{FaultKind::RetireTarget, "retire_target", false, 2},
};

constexpr milliseconds ShortestFault{100};
constexpr milliseconds LongestFault{5'000};
constexpr milliseconds QuietStart{500}; // No fault begins earlier.
constexpr int MinFaults = 3;
constexpr int MaxFaults = 9;
// Probability that a fault has the subject of the fault drawn before it.
constexpr double SeriesShare = 0.3;

const FaultKindInfo &infoOf(FaultKind kind)
{
    return *std::find_if(FaultKinds.begin(), FaultKinds.end(), [kind](const FaultKindInfo &info) {
        return info.kind == kind;
    });
}

// Draws numbers without the distributions of <random>, whose results for a seed differ between
// standard libraries.
class Random
{
public:
    explicit Random(uint64_t seed)
        : engine(seed)
    {
    }

    int64_t between(int64_t low, int64_t high)
    {
        return low + static_cast<int64_t>(this->engine() % static_cast<uint64_t>(high - low + 1));
    }

    double fraction()
    {
        constexpr uint64_t Steps = 1U << 20U;
        return static_cast<double>(this->engine() % Steps) / static_cast<double>(Steps);
    }

private:
    std::mt19937_64 engine;
};

FaultKind drawKind(Random &random, bool mayLoseDisk)
{
    double total = 0;
    for (const FaultKindInfo &info : FaultKinds) {
        total += info.weight;
    }
    double left = random.fraction() * total;
    for (const FaultKindInfo &info : FaultKinds) {
        left -= info.weight;
        if (left < 0) {
            const bool isExcluded = info.kind == FaultKind::LoseDisk && !mayLoseDisk;
            return isExcluded ? FaultKind::KillInstance : info.kind;
        }
    }
    return FaultKinds.back().kind;
}

int drawSubject(Random &random, FaultKind kind, const Shape &shape)
{
    if (!isInstanceFault(kind)) {
        return static_cast<int>(random.between(0, shape.targets() - 1));
    }
    const int count = kind == FaultKind::LoseDisk ? shape.controlInstances : shape.instances;
    return static_cast<int>(random.between(0, count - 1));
}

std::optional<Fault> parseFault(std::string_view name, std::istream &rest)
{
    const auto info = std::find_if(FaultKinds.begin(),
                                   FaultKinds.end(),
                                   [name](const FaultKindInfo &kind) { return kind.name == name; });
    int subject = 0;
    int64_t at = 0;
    int64_t duration = 0;
    if (info == FaultKinds.end() || !(rest >> subject >> at >> duration)) {
        return std::nullopt;
    }
    return Fault{info->kind, subject, milliseconds(at), milliseconds(duration)};
}

} // namespace

std::string_view faultName(FaultKind kind)
{
    return infoOf(kind).name;
}

bool isInstanceFault(FaultKind kind)
{
    return infoOf(kind).concernsInstance;
}

std::string describe(const Fault &fault)
{
    return fmt::format("{} {} {} {}",
                       faultName(fault.kind),
                       fault.subject,
                       fault.startsAfter.count(),
                       fault.duration.count());
}

Case parseCase(std::string_view text, std::string_view fileName)
{
    Case result;
    std::istringstream lines{std::string(text)};
    int lineNumber = 0;
    for (std::string line; std::getline(lines, line);) {
        ++lineNumber;
        if (line.empty() || line.starts_with('#')) {
            continue;
        }
        std::istringstream words(line);
        std::string first;
        words >> first;
        if (first == "seed" && words >> result.seed) {
            continue;
        }
        const std::optional<Fault> fault = parseFault(first, words);
        if (!fault) {
            throw std::runtime_error(fmt::format(
                "{}:{}: found '{}'; accepted: 'seed N', or a kind of fault, its subject, its start "
                "and its length in milliseconds",
                fileName,
                lineNumber,
                line));
        }
        result.faults.push_back(*fault);
    }
    return result;
}

int Shape::targets() const
{
    return this->engines + this->payments;
}

std::vector<Fault> drawPlan(uint64_t seed, const Shape &shape)
{
    Random random(seed);
    std::vector<Fault> faults;
    bool diskLost = false;
    const int64_t count = random.between(MinFaults, MaxFaults);
    for (int64_t number = 0; number < count; ++number) {
        Fault fault;
        fault.kind = drawKind(random, !diskLost);
        fault.subject = drawSubject(random, fault.kind, shape);
        const bool mayRepeatSubject
            = !faults.empty() && isInstanceFault(faults.back().kind) == isInstanceFault(fault.kind)
              && fault.kind != FaultKind::LoseDisk;
        if (mayRepeatSubject && random.fraction() < SeriesShare) {
            fault.subject = faults.back().subject;
        }
        fault.startsAfter = milliseconds(random.between(QuietStart.count(), shape.length.count()));
        fault.duration = milliseconds(random.between(ShortestFault.count(), LongestFault.count()));
        diskLost = diskLost || fault.kind == FaultKind::LoseDisk;
        faults.push_back(fault);
    }
    std::stable_sort(faults.begin(), faults.end(), [](const Fault &first, const Fault &second) {
        return first.startsAfter < second.startsAfter;
    });
    return faults;
}

} // namespace samphirebridge::soak
