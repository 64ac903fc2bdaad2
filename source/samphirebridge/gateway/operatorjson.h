// Renders the answers to operators' reads as JSON.
#pragma once

#include "instance.pb.h"
#include "ledger.pb.h"
#include "samphirebridge/membership/instancedirectory.h"

#include <nlohmann/json.hpp>

#include <span>
#include <vector>

namespace samphirebridge::gateway
{

// Renders the token counts of one budget.
nlohmann::json budgetJson(const proto::BudgetState &budget);

// Renders the instances as an array; "live" tells whether an instance is in contact.
nlohmann::json instancesJson(std::span<const membership::InstanceView> instances);

// Renders the evacuations as an array, without those that were never started. For each it names the
// instances in contact that serve callers and have its last change in force, and the others.
nlohmann::json evacuationsJson(std::span<const proto::Evacuation> evacuations,
                               std::span<const membership::InstanceView> instances);

// Renders the state of the fleet: leader, voters, manifest version and unresolved claims as the
// ledger has them, instances and targets as this instance knows them.
nlohmann::json statusJson(const proto::ReadStatusReply &status,
                          std::span<const membership::InstanceView> instances,
                          std::span<const proto::TargetRecord> targets);

} // namespace samphirebridge::gateway
