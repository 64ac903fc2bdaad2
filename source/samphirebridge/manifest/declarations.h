// The declarations of a manifest text after parsing, each with its position for error messages,
// before they are checked against each other and joined to a manifest.
#pragma once

#include "manifest.pb.h"
#include "samphirebridge/settings/document.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace samphirebridge::manifest
{

// One declaration. A name or digest that was missing or invalid is empty; its problem is already
// reported. The node belongs to the parsed document, which must outlive the declaration.
template <typename Value>
struct Declared {
    Value value;
    const settings::DocumentNode *node = nullptr;
    size_t index = 0; // Position in its section, from 0.
};

// All declarations of one text, each kind in the order of the text.
struct Declarations {
    std::vector<Declared<proto::Organisation>> organisations;
    std::vector<Declared<proto::CallerKey>> callerKeys;
    std::vector<Declared<proto::Budget>> budgets;
    std::vector<Declared<proto::Service>> services;
    std::vector<Declared<proto::Model>> models;
    std::vector<Declared<proto::TargetKind>> targetKinds;
    std::optional<proto::Policy> policy;
};

// The top-level keys of the text: one section for each kind, and the policy.
inline constexpr std::string_view OrganisationsKey = "organisations";
inline constexpr std::string_view CallerKeysKey = "caller_keys";
inline constexpr std::string_view BudgetsKey = "budgets";
inline constexpr std::string_view ServicesKey = "services";
inline constexpr std::string_view ModelsKey = "models";
inline constexpr std::string_view TargetKindsKey = "target_kinds";
inline constexpr std::string_view PolicyKey = "policy";

// Checks the declarations against each other and reports to the collector: ids used twice within a
// kind, digests used twice among caller keys and target kinds, references to undeclared ids, a
// caller key with another organisation's budget, a model of a plain service, and two routes with
// the same method and path prefix.
void checkReferences(const Declarations &declarations, settings::ProblemCollector &problems);

} // namespace samphirebridge::manifest
