// What turns one version of the manifest into another: the form in which changes travel.
#pragma once

#include "manifest.pb.h"

#include <absl/status/status.h>

#include <cstdint>
#include <string_view>

namespace samphirebridge::manifest
{

// The kind and id of an entity; the id views into the entity.
struct EntityName {
    proto::EntityKind kind = proto::ENTITY_KIND_UNSPECIFIED;
    std::string_view id;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the zero in <=> for a pointer.
    friend auto operator<=>(const EntityName &, const EntityName &) = default;
};

// Returns the entity's kind and id; unspecified and empty for an entity without a value.
EntityName nameOf(const proto::Entity &entity);

// Returns the kind's name as messages and --json output show it, such as "caller_key".
std::string_view kindName(proto::EntityKind kind);

// Orders the entities by kind and id, as diffManifests and applyDelta require and keep it.
void sortEntities(proto::Manifest &manifest);

// Returns the fewest upserts and removals that turn one manifest's entities into the other's, each
// ordered by kind and id. It leads from the old version to the new one; where the new one is not
// higher (a text just parsed has 0), to the old version plus one.
proto::ManifestDelta diffManifests(const proto::Manifest &oldManifest,
                                   const proto::Manifest &newManifest);

// Tells whether a manifest of the given version takes the delta; the errors are those of
// applyDelta.
absl::Status checkDelta(uint64_t version, const proto::ManifestDelta &delta);

// Applies the delta in place. VersionConflict, with the manifest unchanged, if the delta starts at
// another version or does not rise. A delta from version 0 is a checkpoint: it replaces every
// entity, unless its version is lower than the manifest's. InvalidManifest for an entity without a
// value.
absl::Status applyDelta(proto::Manifest &manifest, const proto::ManifestDelta &delta);

} // namespace samphirebridge::manifest
