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

struct KindRow {
    FaultKind kind;
    std::string_view name;
    bool concernsInstance;
    double weight; // How often it is drawn, against the others.
};

constexpr std::array Kinds{
    KindRow{FaultKind::KillInstance, "kill_instance", true, 3},
    KindRow{FaultKind::StopInstance, "stop_instance", true, 3},
    KindRow{FaultKind::FreezeInstance, "freeze_instance", true, 2},
    KindRow{FaultKind::LoseDisk, "lose_disk", true, 1},
    KindRow{FaultKind::LosePower, "lose_power", true, 1},
    KindRow{FaultKind::IsolateInstance, "isolate_instance", true, 3},
    KindRow{FaultKind::DeafenInstance, "deafen_instance", true, 1},
    KindRow{FaultKind::DelayInstance, "delay_instance", true, 1},
    KindRow{FaultKind::ResetInstance, "reset_instance", true, 1},
    KindRow{FaultKind::CrashTarget, "crash_target", false, 2},
    KindRow{FaultKind::FreezeTarget, "freeze_target", false, 2},
    KindRow{FaultKind::RetireTarget, "retire_target", false, 2},
};

constexpr milliseconds ShortestFault{100};
constexpr milliseconds LongestFault{5'000};
constexpr milliseconds QuietStart{500}; // Before the first fault.
constexpr int LeastFaults = 3;
constexpr int MostFaults = 9;
// Of the faults that follow another, the share that hits the same subject again.
constexpr double SeriesShare = 0.3;

const KindRow &rowOf(FaultKind kind)
{
    return *std::find_if(
        Kinds.begin(), Kinds.end(), [kind](const KindRow &row) { return row.kind == kind; });
}

// std's distributions differ between libraries, so that a seed would not mean the same everywhere.
class Dice
{
public:
    explicit Dice(uint64_t seed)
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

FaultKind drawKind(Dice &dice, bool mayLoseDisk)
{
    double total = 0;
    for (const KindRow &row : Kinds) {
        total += row.weight;
    }
    double left = dice.fraction() * total;
    for (const KindRow &row : Kinds) {
        left -= row.weight;
        if (left < 0) {
            const bool isBarred = row.kind == FaultKind::LoseDisk && !mayLoseDisk;
            return isBarred ? FaultKind::KillInstance : row.kind;
        }
    }
    return Kinds.back().kind;
}

int drawSubject(Dice &dice, FaultKind kind, const Shape &shape)
{
    if (!isInstanceFault(kind)) {
        return static_cast<int>(dice.between(0, shape.targets() - 1));
    }
    const int count = kind == FaultKind::LoseDisk ? shape.control : shape.instances;
    return static_cast<int>(dice.between(0, count - 1));
}

std::optional<Fault> parseFault(std::string_view name, std::istream &rest)
{
    const auto row = std::find_if(
        Kinds.begin(), Kinds.end(), [name](const KindRow &kind) { return kind.name == name; });
    int subject = 0;
    int64_t at = 0;
    int64_t duration = 0;
    if (row == Kinds.end() || !(rest >> subject >> at >> duration)) {
        return std::nullopt;
    }
    return Fault{row->kind, subject, milliseconds(at), milliseconds(duration)};
}

} // namespace

std::string_view faultName(FaultKind kind)
{
    return rowOf(kind).name;
}

bool isInstanceFault(FaultKind kind)
{
    return rowOf(kind).concernsInstance;
}

std::string describe(const Fault &fault)
{
    return fmt::format("{} {} {} {}",
                       faultName(fault.kind),
                       fault.subject,
                       fault.at.count(),
                       fault.duration.count());
}

Case parseCase(std::string_view text, std::string_view fileName)
{
    Case found;
    std::istringstream lines{std::string(text)};
    int number = 0;
    for (std::string line; std::getline(lines, line);) {
        ++number;
        if (line.empty() || line.starts_with('#')) {
            continue;
        }
        std::istringstream words(line);
        std::string first;
        words >> first;
        if (first == "seed" && words >> found.seed) {
            continue;
        }
        const std::optional<Fault> fault = parseFault(first, words);
        if (!fault) {
            throw std::runtime_error(fmt::format(
                "{}:{}: found '{}'; accepted: 'seed N', or a kind of fault, its subject, its start "
                "and its length in milliseconds",
                fileName,
                number,
                line));
        }
        found.faults.push_back(*fault);
    }
    return found;
}

int Shape::targets() const
{
    return this->engines + this->payments;
}

std::vector<Fault> drawPlan(uint64_t seed, const Shape &shape)
{
    Dice dice(seed);
    std::vector<Fault> faults;
    bool diskLost = false;
    const int64_t count = dice.between(LeastFaults, MostFaults);
    for (int64_t number = 0; number < count; ++number) {
        Fault fault;
        fault.kind = drawKind(dice, !diskLost);
        fault.subject = drawSubject(dice, fault.kind, shape);
        const bool sameSort = !faults.empty()
                              && isInstanceFault(faults.back().kind) == isInstanceFault(fault.kind)
                              && fault.kind != FaultKind::LoseDisk;
        if (sameSort && dice.fraction() < SeriesShare) {
            fault.subject = faults.back().subject;
        }
        fault.at = milliseconds(dice.between(QuietStart.count(), shape.length.count()));
        fault.duration = milliseconds(dice.between(ShortestFault.count(), LongestFault.count()));
        diskLost = diskLost || fault.kind == FaultKind::LoseDisk;
        faults.push_back(fault);
    }
    std::stable_sort(faults.begin(), faults.end(), [](const Fault &first, const Fault &second) {
        return first.at < second.at;
    });
    return faults;
}

} // namespace samphirebridge::soak
