// The manifest in force, its version, and the recent changes that led to it.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/status/statusor.h>
#include <manifest.pb.h>

#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace samphirebridge::ledger
{

// What identifies an entity: its kind and its id.
using EntityId = std::pair<proto::EntityKind, std::string>;

// Returns the entity's kind and id. InvalidManifest when it has no value or no id.
absl::StatusOr<EntityId> identify(const proto::Entity &entity);

class ManifestStore
{
public:
    [[nodiscard]] uint64_t version() const;

    // Checks that the change names each entity once and removes only what exists. InvalidManifest.
    [[nodiscard]] absl::Status check(const proto::ManifestDelta &delta) const;

    // Applies a checked change as the next version.
    void apply(proto::ManifestDelta delta);

    // Returns what turns the known version into the one in force; a checkpoint from version 0 when
    // the known version is too old or unknown.
    [[nodiscard]] proto::ManifestDelta since(uint64_t knownVersion) const;

    // Returns the entity's value as it was declared, or an empty one.
    [[nodiscard]] proto::Entity find(proto::EntityKind kind, const std::string &id) const;

    [[nodiscard]] proto::Manifest manifest() const;
    [[nodiscard]] std::vector<proto::ManifestDelta> recentDeltas() const;

    // Sets the whole. InvalidManifest when an entity cannot be identified.
    absl::Status restore(const proto::Manifest &manifest,
                         const std::vector<proto::ManifestDelta> &deltas);

private:
    struct RecentDelta {
        uint64_t fromVersion = 0;
        std::string bytes; // Serialised.
    };

    void remember(const proto::ManifestDelta &delta);

    uint64_t current = 0;
    absl::btree_map<EntityId, std::string> entities; // Serialised.
    std::deque<RecentDelta> recent; // Without gaps, up to the current version.
    size_t recentBytes = 0;
};

} // namespace samphirebridge::ledger
