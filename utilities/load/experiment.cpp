#include "utilities/load/experiment.h"

#include "samphirebridge/core/errors.h"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <set>

namespace samphirebridge::load
{

namespace
{

class InvalidExperiment : public std::runtime_error
{
public:
    InvalidExperiment(const YAML::Node &node, const std::string &problem)
        : std::runtime_error(fmt::format("line {}: {}", node.Mark().line + 1, problem))
    {
    }
};

void checkKeys(const YAML::Node &node, const std::set<std::string> &accepted)
{
    if (!node.IsMap()) {
        throw InvalidExperiment(node, "a map is accepted");
    }
    for (const auto &entry : node) {
        const auto name = entry.first.as<std::string>();
        if (!accepted.contains(name)) {
            std::string names;
            for (const std::string &key : accepted) {
                names += (names.empty() ? "" : ", ") + key;
            }
            throw InvalidExperiment(entry.first,
                                    fmt::format("`{}` is not a key; accepted are {}", name, names));
        }
    }
}

template <typename Value>
void read(const YAML::Node &map, const char *name, Value &value)
{
    const YAML::Node node = map[name];
    if (!node) {
        return;
    }
    try {
        value = node.as<Value>();
    } catch (const YAML::Exception &) {
        throw InvalidExperiment(node, fmt::format("`{}` has an unacceptable value", name));
    }
}

template <typename Value>
void readPositive(const YAML::Node &map, const char *name, Value &value)
{
    read(map, name, value);
    if (!(value > 0)) {
        throw InvalidExperiment(map[name], fmt::format("`{}` must be greater than 0", name));
    }
}

void readMilliseconds(const YAML::Node &map, const char *name, std::chrono::milliseconds &value)
{
    int64_t count = value.count();
    readPositive(map, name, count);
    value = std::chrono::milliseconds(count);
}

Endpoint readEndpoint(const YAML::Node &node)
{
    checkKeys(node, {"name", "urls"});
    Endpoint endpoint;
    read(node, "name", endpoint.name);
    read(node, "urls", endpoint.urls);
    if (endpoint.name.empty() || endpoint.urls.empty()) {
        throw InvalidExperiment(node, "an endpoint has a `name` and a list `urls`");
    }
    return endpoint;
}

Mix readMix(const YAML::Node &node)
{
    checkKeys(node,
              {"name",
               "kind",
               "rate_per_s",
               "caller_key",
               "keyed",
               "stream",
               "model",
               "prompt_words",
               "shared_words",
               "max_tokens",
               "method",
               "path",
               "body"});
    Mix mix;
    std::string kind = "chat";
    read(node, "name", mix.name);
    read(node, "kind", kind);
    if (mix.name.empty() || (kind != "chat" && kind != "plain")) {
        throw InvalidExperiment(node, "a mix has a `name` and a `kind`, chat or plain");
    }
    mix.kind = kind == "chat" ? CallKind::Chat : CallKind::Plain;
    readPositive(node, "rate_per_s", mix.ratePerSecond);
    read(node, "caller_key", mix.callerKey);
    read(node, "keyed", mix.keyed);
    read(node, "stream", mix.stream);
    read(node, "model", mix.model);
    readPositive(node, "prompt_words", mix.promptWords);
    read(node, "shared_words", mix.sharedWords);
    readPositive(node, "max_tokens", mix.maximumTokens);
    read(node, "method", mix.method);
    read(node, "path", mix.path);
    read(node, "body", mix.body);
    return mix;
}

Experiment readRoot(const YAML::Node &root)
{
    checkKeys(root,
              {"seed", "duration_ms", "timeout_ms", "rounds", "in_flight", "endpoints", "mixes"});
    Experiment experiment;
    read(root, "seed", experiment.seed);
    readMilliseconds(root, "duration_ms", experiment.duration);
    readMilliseconds(root, "timeout_ms", experiment.timeout);
    readPositive(root, "rounds", experiment.rounds);
    readPositive(root, "in_flight", experiment.inFlight);
    for (const YAML::Node &node : root["endpoints"]) {
        experiment.endpoints.push_back(readEndpoint(node));
    }
    for (const YAML::Node &node : root["mixes"]) {
        experiment.mixes.push_back(readMix(node));
    }
    if (experiment.endpoints.empty() || experiment.mixes.empty()) {
        throw InvalidExperiment(root, "at least one of `endpoints` and one of `mixes` are needed");
    }
    return experiment;
}

} // namespace

absl::StatusOr<Experiment> readExperiment(const std::string &yaml)
{
    try {
        return readRoot(YAML::Load(yaml));
    } catch (const std::runtime_error &error) {
        return core::makeError(core::ErrorCode::InvalidSettings, error.what());
    }
}

} // namespace samphirebridge::load
