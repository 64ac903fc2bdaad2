// The entry point of samphirectl: it only wires.
#include "samphirebridge/samphirectl/commandline.h"
#include "samphirebridge/samphirectl/commandrunner.h"
#include "samphirebridge/samphirectl/token.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

using namespace samphirebridge::samphirectl;

namespace
{

int finish(const Report &report, bool json)
{
    writeReport(report, json, std::cout, std::cerr);
    return static_cast<int>(report.exitCode);
}

} // namespace

int main(int count, char **values)
{
    const std::vector<std::string> arguments(values + 1, values + count);
    const absl::StatusOr<CommandLine> commandLine = parseCommandLine(arguments);
    if (!commandLine.ok()) {
        const bool json
            = std::find(arguments.begin(), arguments.end(), "--json") != arguments.end();
        return finish(failureReport(commandLine.status()), json);
    }
    OperatorClientOptions options{.endpoints = commandLine->endpoints,
                                  .token = "",
                                  .timeout = std::chrono::seconds(commandLine->timeoutSeconds)};
    if (needsFleet(commandLine->command)) {
        // No other thread runs yet that could change the environment.
        const char *variable = std::getenv(TokenVariable); // NOLINT(concurrency-mt-unsafe)
        absl::StatusOr<std::string> token = findToken(commandLine->tokenFile, variable);
        if (!token.ok()) {
            return finish(failureReport(token.status()), commandLine->json);
        }
        options.token = *std::move(token);
    }
    OperatorClient client(std::move(options));
    CommandRunner runner(client, std::cin);
    return finish(runner.run(commandLine->command), commandLine->json);
}
