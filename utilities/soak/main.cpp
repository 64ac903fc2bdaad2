// The fault soak as a program.
#include "utilities/soak/round.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

using namespace samphirebridge::soak;

namespace
{

constexpr std::string_view Usage
    = R"(Fault soak of samphirebridge: real processes, faults from outside.

Usage:
  samphire-soak [--seed=N] [--rounds=N] [options]
  samphire-soak --seeds-file=PATH [options]

Options:
  --seed=N           Seed of the first round; the next rounds count on [default: 1].
  --rounds=N         How many rounds to play [default: 1].
  --seeds-file=PATH  Play the seeds of a file: a seed at the start of each line, its cause after it.
  --length-ms=N      Time with faults in each round [default: 15000].
  --instances=N      Instances of the fleet, 3 to 5; three have the role control [default: 4].
  --callers=N        Callers at once [default: 12].
  --base-port=N      The soak uses the hundred ports from here on [default: 30000].
  --keep=DIR         Copy the logs of a failed round there.
  --plan             Print the faults of the rounds and play none.
  -h --help          Show this text.

A round whose promises were not kept prints its seed and what was seen, and the program ends with 1.
)";

using Arguments = std::map<std::string, docopt::value>;

int64_t numberOf(const Arguments &arguments, const std::string &name)
{
    return std::stoll(arguments.at(name).asString());
}

std::vector<uint64_t> seedsOf(const Arguments &arguments)
{
    std::vector<uint64_t> seeds;
    if (arguments.at("--seeds-file")) {
        std::ifstream file(arguments.at("--seeds-file").asString());
        for (std::string line; std::getline(file, line);) {
            uint64_t seed = 0;
            if (std::istringstream(line) >> seed) {
                seeds.push_back(seed);
            }
        }
        return seeds;
    }
    const int64_t first = numberOf(arguments, "--seed");
    for (int64_t number = 0; number < numberOf(arguments, "--rounds"); ++number) {
        seeds.push_back(static_cast<uint64_t>(first + number));
    }
    return seeds;
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

void printPlan(const RoundSettings &settings)
{
    std::cout << fmt::format("seed {}\n", settings.seed);
    for (const Fault &fault : drawPlan(settings.seed, settings.shape)) {
        std::cout << "  " << describe(fault) << '\n';
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

int main(int count, char **texts)
{
    const Arguments arguments
        = docopt::docopt(std::string(Usage), {texts + 1, texts + count}, true);
    RoundSettings settings = settingsOf(arguments);
    constexpr int LeastInstances = 3;
    constexpr int MostInstances = 5;
    if (settings.shape.instances < LeastInstances || settings.shape.instances > MostInstances) {
        std::cerr << fmt::format("--instances={}: accepted are {} to {}\n",
                                 settings.shape.instances,
                                 LeastInstances,
                                 MostInstances);
        return EXIT_FAILURE;
    }
    const std::vector<uint64_t> seeds = seedsOf(arguments);
    if (seeds.empty()) {
        std::cerr << "no seeds to play\n";
        return EXIT_FAILURE;
    }
    int failures = 0;
    for (const uint64_t seed : seeds) {
        settings.seed = seed;
        if (arguments.at("--plan").asBool()) {
            printPlan(settings);
            continue;
        }
        failures += play(settings) ? 0 : 1;
    }
    return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
