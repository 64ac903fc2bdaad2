// What operators read, as JSON documents.
#pragma once

#include "instance.pb.h"
#include "ledger.pb.h"
#include "samphirebridge/membership/instancedirectory.h"

#include <nlohmann/json.hpp>

#include <span>
#include <vector>

namespace samphirebridge::gateway
{

nlohmann::json budgetJson(const proto::BudgetState &budget);

nlohmann::json instancesJson(std::span<const membership::InstanceView> instances);

// The fleet as the ledger and this instance see it.
nlohmann::json statusJson(const proto::ReadStatusReply &status,
                          std::span<const membership::InstanceView> instances,
                          std::span<const proto::TargetRecord> targets);

} // namespace samphirebridge::gateway
