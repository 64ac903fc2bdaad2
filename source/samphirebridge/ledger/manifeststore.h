// The manifest in force, its version, and the recent deltas that led to it.
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

// The kind and the id of an entity; ids are unique within a kind.
using EntityId = std::pair<proto::EntityKind, std::string>;

// Returns the entity's kind and id; InvalidManifest if it has no value or no id.
absl::StatusOr<EntityId> identify(const proto::Entity &entity);

class ManifestStore
{
public:
    // Returns the version in force, or 0 if no delta was applied yet.
    [[nodiscard]] uint64_t version() const;

    // Returns InvalidManifest if the delta names an entity more than once, removes one that does
    // not exist, or has one that can't be identified.
    [[nodiscard]] absl::Status check(const proto::ManifestDelta &delta) const;

    // Applies a delta that passed check() as the next version.
    void apply(proto::ManifestDelta delta);

    // Returns one delta from the known version to the one in force; a checkpoint (a delta from
    // version 0 with all entities) if the known version is too old or unknown.
    [[nodiscard]] proto::ManifestDelta deltaSince(uint64_t knownVersion) const;

    // Returns the entity, or an empty one if it does not exist.
    [[nodiscard]] proto::Entity find(proto::EntityKind kind, const std::string &id) const;

    [[nodiscard]] proto::Manifest manifest() const;

    // Returns the remembered deltas, the oldest first.
    [[nodiscard]] std::vector<proto::ManifestDelta> recentDeltas() const;

    // Fills a new store from a snapshot. InvalidManifest if an entity can't be identified.
    absl::Status restore(const proto::Manifest &manifest,
                         const std::vector<proto::ManifestDelta> &deltas);

private:
    struct RecentDelta {
        uint64_t fromVersion = 0;
        std::string bytes; // Serialised ManifestDelta.
    };

    // Adds the delta to the recent ones, and drops the oldest ones beyond the limits.
    void remember(const proto::ManifestDelta &delta);

    uint64_t currentVersion = 0;
    absl::btree_map<EntityId, std::string> entities; // Serialised Entity messages.
    std::deque<RecentDelta> recent; // Consecutive, up to the current version.
    size_t recentBytes = 0; // Size of the deltas in `recent`.
};

} // namespace samphirebridge::ledger
