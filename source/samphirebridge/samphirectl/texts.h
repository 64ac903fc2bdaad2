// The fleet's answers as lines for people. Fields that are missing show as "-".
#pragma once

#include "manifest.pb.h"

#include <nlohmann/json.hpp>

#include <string>

namespace samphirebridge::samphirectl
{

std::string applyText(const nlohmann::json &result);
std::string statusText(const nlohmann::json &result);
std::string budgetsText(const nlohmann::json &result);
// The state of one budget, alone or in a list of one.
std::string budgetText(const nlohmann::json &result);
std::string claimsText(const nlohmann::json &result);
std::string instancesText(const nlohmann::json &result);
std::string doneText(const nlohmann::json &result);

// The difference between the manifest in force and another.
nlohmann::json diffObject(const proto::Manifest &current, const proto::ManifestDelta &delta);
std::string diffText(const nlohmann::json &result);

} // namespace samphirebridge::samphirectl
