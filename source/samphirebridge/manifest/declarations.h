// The declarations of one text on their way to a manifest, each with where it stands.
#pragma once

#include "manifest.pb.h"
#include "samphirebridge/settings/document.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace samphirebridge::manifest
{

// One declaration. Names and digests that were wrong are empty: their problem is already known.
template <typename Value>
struct Declared {
    Value value;
    const settings::DocumentNode *node = nullptr;
    size_t index = 0; // Within its section.
};

struct Declarations {
    std::vector<Declared<proto::Organisation>> organisations;
    std::vector<Declared<proto::CallerKey>> callerKeys;
    std::vector<Declared<proto::Budget>> budgets;
    std::vector<Declared<proto::Service>> services;
    std::vector<Declared<proto::Model>> models;
    std::vector<Declared<proto::TargetKind>> targetKinds;
    std::optional<proto::Policy> policy;
};

// The keys of the sections at the file's top.
inline constexpr std::string_view OrganisationsKey = "organisations";
inline constexpr std::string_view CallerKeysKey = "caller_keys";
inline constexpr std::string_view BudgetsKey = "budgets";
inline constexpr std::string_view ServicesKey = "services";
inline constexpr std::string_view ModelsKey = "models";
inline constexpr std::string_view TargetKindsKey = "target_kinds";
inline constexpr std::string_view PolicyKey = "policy";

// Checks what one declaration says about others: ids and digests once, references that lead
// somewhere, routes that no other route equals.
void checkReferences(const Declarations &declarations, settings::ProblemCollector &problems);

} // namespace samphirebridge::manifest
