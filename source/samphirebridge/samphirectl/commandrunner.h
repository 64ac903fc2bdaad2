// Runs a command of samphirectl: sends at most one request to the fleet and returns a report.
#pragma once

#include "samphirebridge/samphirectl/commandline.h"
#include "samphirebridge/samphirectl/operatorclient.h"
#include "samphirebridge/samphirectl/report.h"

#include <istream>

namespace samphirebridge::samphirectl
{

// Returns whether the command sends a request to the fleet and so needs an operator token.
bool contactsFleet(const Command &command);

class CommandRunner
{
public:
    // The client and the input must outlive the runner. Only "key digest", and "explain" without
    // files, read the input.
    CommandRunner(OperatorClient &client, std::istream &input);

    // Runs the command. Errors are returned as a failure report.
    Report run(const Command &command);

private:
    Report runCommand(const HelpCommand &command);
    Report runCommand(const ValidateCommand &command);
    Report runCommand(const DiffCommand &command);
    Report runCommand(const ApplyCommand &command);
    Report runCommand(const StatusCommand &command);
    Report runCommand(const BudgetShowCommand &command);
    Report runCommand(const BudgetTopUpCommand &command);
    Report runCommand(const BudgetReleaseCommand &command);
    Report runCommand(const ClaimListCommand &command);
    Report runCommand(const ClaimResolveCommand &command);
    Report runCommand(const InstanceListCommand &command);
    Report runCommand(const InstanceAddCommand &command);
    Report runCommand(const InstanceRemoveCommand &command);
    Report runCommand(const InstanceRetireCommand &command);
    Report runCommand(const PartClearCommand &command);
    Report runCommand(const EvacuationStartCommand &command);
    Report runCommand(const EvacuationFinishCommand &command);
    Report runCommand(const EvacuationListCommand &command);
    Report runCommand(const KeyDigestCommand &command);
    Report runCommand(const ExplainCommand &command);

    using TextFormatter = std::string (*)(const nlohmann::json &result);

    // Sends the request and reports the answer's JSON object, formatted as text by formatText.
    Report sendAndReport(const OperatorRequest &request, TextFormatter formatText);
    // Sends a GET request.
    Report sendRead(const std::string &path, TextFormatter formatText);
    // Sends the JSON body in a POST request.
    Report
    sendChange(const std::string &path, const nlohmann::json &body, TextFormatter formatText);

    OperatorClient &client;
    std::istream &input;
};

} // namespace samphirebridge::samphirectl
