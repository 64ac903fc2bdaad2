// Command-line program that runs a load experiment and writes its report.
#include "samphirebridge/core/errors.h"
#include "utilities/load/plot.h"
#include "utilities/load/runner.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <string>

using namespace samphirebridge;
using namespace samphirebridge::load;

namespace
{

constexpr std::string_view Usage = R"(Load generator for samphirebridge: open-loop, seeded arrivals.

Usage:
  samphire-load EXPERIMENT [--out=DIRECTORY]

Options:
  --out=DIRECTORY  Write quantiles.csv, codes.csv, samples.csv and an SVG for each of first, gap and
                   total into this directory.
  -h --help        Show this text.

EXPERIMENT is a YAML file:

  seed: 1
  duration_ms: 10000
  rounds: 2            # each runs the same arrivals against each endpoint in turn
  in_flight: 256
  endpoints:
    - {name: direct, urls: ["http://127.0.0.1:9001"]}
    - {name: fleet, urls: ["http://127.0.0.1:8001", "http://127.0.0.1:8002"]}
  mixes:
    - {name: chat, kind: chat, rate_per_s: 20, caller_key: key-1, prompt_words: 16, max_tokens: 32}
    - {name: pay, kind: plain, rate_per_s: 2, caller_key: key-1, keyed: true, path: /v1/payments}
)";

double toMilliseconds(Clock::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

std::string
sampleLine(const Endpoint &endpoint, const Mix &mix, const CallId &id, const Sample &sample)
{
    Clock::duration longest{};
    for (const Clock::duration gap : sample.gaps) {
        longest = std::max(longest, gap);
    }
    return fmt::format("{},{},{},{},{},{},{:.3f},{:.3f},{:.3f},{:.3f},{}\n",
                       endpoint.name,
                       mix.name,
                       id.round,
                       id.number,
                       sample.status,
                       sample.code,
                       toMilliseconds(sample.lag),
                       toMilliseconds(sample.first),
                       toMilliseconds(sample.total),
                       toMilliseconds(longest),
                       sample.parts);
}

void writeFile(const std::filesystem::path &path, const std::string &text)
{
    std::ofstream(path) << text;
}

void writeReport(const std::filesystem::path &folder, const Results &results)
{
    const std::vector<Row> rows = results.rows();
    writeFile(folder / "quantiles.csv", renderCsv(rows));
    writeFile(folder / "codes.csv", renderCsv(results.codes()));
    for (const char *metric : {"first", "gap", "total"}) {
        writeFile(folder / (std::string(metric) + ".svg"), renderPlot(rows, metric));
    }
}

} // namespace

int main(int argumentCount, char **argumentTexts)
{
    const auto arguments = docopt::docopt(
        std::string(Usage), {argumentTexts + 1, argumentTexts + argumentCount}, true);
    std::ifstream file(arguments.at("EXPERIMENT").asString());
    const std::string yaml{std::istreambuf_iterator<char>(file), {}};
    const auto experiment = readExperiment(yaml);
    if (!experiment.ok()) {
        std::cerr << arguments.at("EXPERIMENT").asString() << ": "
                  << core::messageOf(experiment.status()) << '\n';
        return EXIT_FAILURE;
    }
    std::filesystem::path folder;
    std::ofstream samples;
    if (arguments.at("--out")) {
        folder = arguments.at("--out").asString();
        std::filesystem::create_directories(folder);
        samples.open(folder / "samples.csv");
        samples << "endpoint,mix,round,number,status,code,lag_ms,first_ms,total_ms,longest_gap_ms,"
                   "parts\n";
    }
    Results results;
    Runner runner(
        *experiment,
        results,
        [&samples](
            const Endpoint &endpoint, const Mix &mix, const CallId &id, const Sample &sample) {
            samples << sampleLine(endpoint, mix, id, sample);
        });
    runner.run();
    std::cout << renderCsv(results.rows()) << '\n' << renderCsv(results.codes());
    if (!folder.empty()) {
        writeReport(folder, results);
    }
    return EXIT_SUCCESS;
}
