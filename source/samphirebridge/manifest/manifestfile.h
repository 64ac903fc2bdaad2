// The operators' declarations as YAML text. A manifest holds its entities ordered by kind and id;
// the text carries no version, since the fleet numbers what it accepts.
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

// The largest manifest text, in bytes. Longer ones are TooLarge.
inline constexpr size_t MaximumManifestBytes = 10'000'000;

// Values that a service or a model gets where its declaration names none.
inline constexpr int64_t DefaultMaxOutputTokens = 4096;
inline constexpr uint32_t DefaultStallTimeoutMs = 30'000;
inline constexpr uint32_t DefaultDeadlineMs = 600'000;
inline constexpr uint32_t DefaultKeyRetentionSeconds = 900;
inline constexpr uint32_t DefaultMinTargets = 1;
inline constexpr uint32_t MaximumTargets = 10'000;
inline constexpr uint32_t DefaultWeight = 1;

// The keys that the declarations of one kind accept.
struct DeclarationKeys {
    std::string_view section; // The key at the file's top, such as "caller_keys".
    proto::EntityKind kind = proto::ENTITY_KIND_UNSPECIFIED;
    std::span<const std::string_view> keys;
};

// Returns every section of the text with its keys, as the reader accepts them.
std::span<const DeclarationKeys> declarationKeys();

// Returns the keys that a route accepts.
std::span<const std::string_view> routeKeys();

// What became of a text: a manifest of version 0 if the problems are empty.
struct CheckedManifest {
    proto::Manifest manifest;
    std::vector<settings::Problem> problems;
};

// Reads and checks the text, collecting every problem: unknown keys, wrong types, values out of
// range, duplicate ids, dangling references, ambiguous routes, keys in clear. Defaults of services,
// models and organisations are filled in; those of the policy stay zero (see effectivePolicy).
CheckedManifest checkManifest(std::string_view text, std::string_view fileName);

// As checkManifest; InvalidManifest or TooLarge with a line for each problem if there is any.
absl::StatusOr<proto::Manifest> parseManifest(std::string_view text, std::string_view fileName);

// Returns text that parses back to the same entities.
std::string renderManifest(const proto::Manifest &manifest);

} // namespace samphirebridge::manifest
