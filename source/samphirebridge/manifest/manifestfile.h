// Reads and writes manifests as YAML text, the form in which operators declare them. The entities
// of a manifest are ordered by kind and id. The text has no version: the fleet assigns one when it
// accepts a manifest.
#pragma once

#include "manifest.pb.h"
#include "samphirebridge/settings/problem.h"

#include <absl/status/statusor.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::manifest
{

// The largest manifest text, in bytes. A longer one is refused with TooLarge.
inline constexpr size_t MaximumManifestBytes = 10'000'000;

// Values that services, models and organisations get where their declaration leaves the key out.
// MaximumTargets is the default of max_targets, and the largest value of min_targets and
// max_targets.
inline constexpr int64_t DefaultMaxOutputTokens = 4096;
inline constexpr uint32_t DefaultStallTimeoutMs = 30'000;
inline constexpr uint32_t DefaultDeadlineMs = 600'000;
inline constexpr uint32_t DefaultKeyRetentionSeconds = 900;
inline constexpr uint32_t DefaultMinTargets = 1;
inline constexpr uint32_t MaximumTargets = 10'000;
inline constexpr uint32_t DefaultWeight = 1;

// The keys that are accepted in the declarations of one kind.
struct DeclarationKeys {
    std::string_view section; // The top-level key, such as "caller_keys".
    proto::EntityKind kind = proto::ENTITY_KIND_UNSPECIFIED;
    std::span<const std::string_view> keys;
};

// Returns every section that the reader accepts, with the keys of its declarations.
std::span<const DeclarationKeys> declarationKeys();

// Returns the keys that are accepted in a route of a service.
std::span<const std::string_view> routeKeys();

// The result of checkManifest. Only without problems is the manifest complete and valid; its
// version is 0.
struct CheckedManifest {
    proto::Manifest manifest;
    std::vector<settings::Problem> problems;
};

// Reads and checks the text, and collects up to settings::MaximumProblems problems: unknown keys,
// wrong types, values out of range, duplicate ids, references to undeclared ids, ambiguous routes,
// keys in clear text instead of their digest. Fills in the defaults of services, models and
// organisations; missing values of the policy stay zero (see effectivePolicy). The problems show
// the file name.
CheckedManifest checkManifest(std::string_view text, std::string_view fileName);

// Like checkManifest, but returns problems as the status that settings::statusOf makes of them; its
// code is InvalidManifest or TooLarge.
absl::StatusOr<proto::Manifest> parseManifest(std::string_view text, std::string_view fileName);

// Returns the manifest as YAML text, ordered by kind and id, which parses back to the same
// entities.
std::string renderManifest(const proto::Manifest &manifest);

} // namespace samphirebridge::manifest
