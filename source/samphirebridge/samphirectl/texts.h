// Formats the fleet's answers as text for operators. A missing field is shown as "-".
#pragma once

#include "manifest.pb.h"

#include <nlohmann/json.hpp>

#include <string>

namespace samphirebridge::samphirectl
{

std::string applyText(const nlohmann::json &result);
std::string statusText(const nlohmann::json &result);
std::string budgetsText(const nlohmann::json &result);
// Formats one budget, given as the object itself or in the list "budgets".
std::string budgetText(const nlohmann::json &result);
std::string claimsText(const nlohmann::json &result);
std::string instancesText(const nlohmann::json &result);
// Formats the evacuation after an order.
std::string evacuationText(const nlohmann::json &result);
// Formats all evacuations, with the instances that have the last change in force.
std::string evacuationsText(const nlohmann::json &result);
std::string doneText(const nlohmann::json &result);

// Returns the names of the entities that the delta adds to, changes in and removes from the current
// manifest.
nlohmann::json diffObject(const proto::Manifest &current, const proto::ManifestDelta &delta);
std::string diffText(const nlohmann::json &result);

} // namespace samphirebridge::samphirectl
