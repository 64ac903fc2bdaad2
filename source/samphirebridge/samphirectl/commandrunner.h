// What each command does: one request, or none, and a report.
#pragma once

#include "samphirebridge/samphirectl/commandline.h"
#include "samphirebridge/samphirectl/operatorclient.h"
#include "samphirebridge/samphirectl/report.h"

#include <istream>

namespace samphirebridge::samphirectl
{

// Whether the command asks the fleet, and so needs a token.
bool needsFleet(const Command &command);

class CommandRunner
{
public:
    // Both must outlive the runner. The input is read by "key digest", and by "explain"
    // without files.
    CommandRunner(OperatorClient &client, std::istream &input);

    Report run(const Command &command);

private:
    Report runOne(const HelpCommand &command);
    Report runOne(const ValidateCommand &command);
    Report runOne(const DiffCommand &command);
    Report runOne(const ApplyCommand &command);
    Report runOne(const StatusCommand &command);
    Report runOne(const BudgetShowCommand &command);
    Report runOne(const BudgetTopUpCommand &command);
    Report runOne(const BudgetReleaseCommand &command);
    Report runOne(const ClaimListCommand &command);
    Report runOne(const ClaimResolveCommand &command);
    Report runOne(const InstanceListCommand &command);
    Report runOne(const InstanceAddCommand &command);
    Report runOne(const InstanceRemoveCommand &command);
    Report runOne(const InstanceRetireCommand &command);
    Report runOne(const KeyDigestCommand &command);
    Report runOne(const ExplainCommand &command);

    using TextMaker = std::string (*)(const nlohmann::json &result);

    // Sends the request and reports the answer's object.
    Report exchange(const OperatorRequest &request, TextMaker makeText);
    Report read(const std::string &path, TextMaker makeText);
    Report change(const std::string &path, const nlohmann::json &body, TextMaker makeText);

    OperatorClient &client;
    std::istream &input;
};

} // namespace samphirebridge::samphirectl
