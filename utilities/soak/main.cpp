// samphire-soak: plays rounds of the soak test from seeds or case files.
#include "utilities/soak/round.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <string>
#include <vector>

using namespace samphirebridge::soak;

namespace
{

constexpr std::string_view Usage
    = R"(Fault soak of samphirebridge: real processes, faults from outside.

Usage:
  samphire-soak [--seed=N] [--rounds=N] [options]
  samphire-soak (--case=FILE)... [options]

Options:
  --seed=N           Seed of the first round; the next rounds count on [default: 1].
  --rounds=N         How many rounds to play [default: 1].
  --case=FILE        Play the round of a case file, as a failed round leaves it; may be repeated.
  --length-ms=N      Time with faults in each round [default: 15000].
  --instances=N      Instances of the fleet, 3 to 5; three have the role control [default: 4].
  --callers=N        Callers at once [default: 12].
  --base-port=N      The soak uses the hundred ports from here on [default: 30000].
  --keep=DIR         Copy the logs of a failed round there.
  --plan             Print the rounds as case files and play none.
  -h --help          Show this text.

A round whose promises were not kept prints its seed and what was seen, and the program ends with 1.
)";

using Arguments = std::map<std::string, docopt::value>;

int64_t numberOf(const Arguments &arguments, const std::string &name)
{
    return std::stoll(arguments.at(name).asString());
}

RoundSettings settingsOf(const Arguments &arguments)
{
    RoundSettings settings;
    settings.shape.length = std::chrono::milliseconds(numberOf(arguments, "--length-ms"));
    settings.shape.instances = static_cast<int>(numberOf(arguments, "--instances"));
    settings.shape.callers = static_cast<int>(numberOf(arguments, "--callers"));
    settings.basePort = static_cast<uint16_t>(numberOf(arguments, "--base-port"));
    if (arguments.at("--keep")) {
        settings.keep = arguments.at("--keep").asString();
    }
    return settings;
}

std::vector<RoundSettings> roundsOf(const Arguments &arguments)
{
    std::vector<RoundSettings> rounds;
    RoundSettings settings = settingsOf(arguments);
    for (const std::string &path : arguments.at("--case").asStringList()) {
        std::ifstream file(path);
        const std::string text{std::istreambuf_iterator<char>(file), {}};
        const Case read = parseCase(text, path);
        settings.seed = read.seed;
        settings.faults = read.faults;
        rounds.push_back(settings);
    }
    if (!rounds.empty()) {
        return rounds;
    }
    const int64_t first = numberOf(arguments, "--seed");
    for (int64_t number = 0; number < numberOf(arguments, "--rounds"); ++number) {
        settings.seed = static_cast<uint64_t>(first + number);
        settings.faults = drawPlan(settings.seed, settings.shape);
        rounds.push_back(settings);
    }
    return rounds;
}

void printPlan(const RoundSettings &settings)
{
    std::cout << fmt::format("seed {}\n", settings.seed);
    for (const Fault &fault : settings.faults) {
        std::cout << describe(fault) << '\n';
    }
}

// Returns whether every promise was kept.
bool play(const RoundSettings &settings)
{
    const RoundResult result = playRound(settings);
    std::cout << fmt::format("seed {}: {} ({})\n",
                             settings.seed,
                             result.violations.empty() ? "kept" : "NOT KEPT",
                             result.summary);
    for (const std::string &violation : result.violations) {
        std::cout << "  " << violation << '\n';
    }
    std::cout << std::flush;
    return result.violations.empty();
}

} // namespace

int main(int argumentCount, char **argumentTexts)
{
    const Arguments arguments = docopt::docopt(
        std::string(Usage), {argumentTexts + 1, argumentTexts + argumentCount}, true);
    const int64_t instances = numberOf(arguments, "--instances");
    constexpr int MinInstances = 3;
    constexpr int MaxInstances = 5;
    if (instances < MinInstances || instances > MaxInstances) {
        std::cerr << fmt::format(
            "--instances={}: accepted are {} to {}\n", instances, MinInstances, MaxInstances);
        return EXIT_FAILURE;
    }
    int failures = 0;
    for (const RoundSettings &round : roundsOf(arguments)) {
        if (arguments.at("--plan").asBool()) {
            printPlan(round);
            continue;
        }
        failures += play(round) ? 0 : 1;
    }
    return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
