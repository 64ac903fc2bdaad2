// The entry point of samphirectl: parses the command line, reads the token and runs the command.
#include "samphirebridge/samphirectl/commandline.h"
#include "samphirebridge/samphirectl/commandrunner.h"
#include "samphirebridge/samphirectl/token.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

using namespace samphirebridge::samphirectl;

namespace
{

// Writes the report and returns its exit code.
int writeAndGetExitCode(const Report &report, bool json)
{
    writeReport(report, json, std::cout, std::cerr);
    return static_cast<int>(report.exitCode);
}

} // namespace

int main(int argumentCount, char **argumentValues)
{
    const std::vector<std::string> arguments(argumentValues + 1, argumentValues + argumentCount);
    const absl::StatusOr<CommandLine> commandLine = parseCommandLine(arguments);
    if (!commandLine.ok()) {
        const bool json
            = std::find(arguments.begin(), arguments.end(), "--json") != arguments.end();
        return writeAndGetExitCode(failureReport(commandLine.status()), json);
    }
    OperatorClientOptions options{.endpoints = commandLine->endpoints,
                                  .token = "",
                                  .timeout = std::chrono::seconds(commandLine->timeoutSeconds)};
    if (contactsFleet(commandLine->command)) {
        // getenv is safe here: no other thread runs yet that could change the environment.
        const char *variable = std::getenv(TokenVariable); // NOLINT(concurrency-mt-unsafe)
        absl::StatusOr<std::string> token = readToken(commandLine->tokenFile, variable);
        if (!token.ok()) {
            return writeAndGetExitCode(failureReport(token.status()), commandLine->json);
        }
        options.token = *std::move(token);
    }
    OperatorClient client(std::move(options));
    CommandRunner runner(client, std::cin);
    return writeAndGetExitCode(runner.run(commandLine->command), commandLine->json);
}
