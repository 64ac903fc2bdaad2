// Computes and applies the differences between two versions of a manifest, which is the form in
// which instances send manifest changes to each other.
#pragma once

#include "manifest.pb.h"

#include <absl/status/status.h>

#include <cstdint>
#include <string_view>

namespace samphirebridge::manifest
{

// Identifies an entity within a manifest. The id is a view into the entity, which must outlive it.
struct EntityName {
    proto::EntityKind kind = proto::ENTITY_KIND_UNSPECIFIED;
    std::string_view id;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the zero in <=> for a pointer.
    friend auto operator<=>(const EntityName &, const EntityName &) = default;
};

// Returns the entity's kind and id; an unspecified kind and an empty id for an entity without a
// value. A policy always has the id PolicyId.
EntityName nameOf(const proto::Entity &entity);

// Returns the kind's name as shown in messages and in --json output, such as "caller_key".
std::string_view kindName(proto::EntityKind kind);

// Sorts the entities by kind and id. applyDelta leaves a manifest in this order.
void sortEntities(proto::Manifest &manifest);

// Returns the smallest delta that turns the old manifest's entities into the new one's, with
// upserts and removals each ordered by kind and id. Neither manifest needs to be sorted. The delta
// leads from the old version to the new one, or to the old version plus one where the new one is
// not higher (a manifest just parsed has version 0).
proto::ManifestDelta diffManifests(const proto::Manifest &oldManifest,
                                   const proto::Manifest &newManifest);

// Checks whether the delta can be applied to a manifest of the given version, with the errors of
// applyDelta.
absl::Status checkDelta(uint64_t version, const proto::ManifestDelta &delta);

// Applies the delta in place: the removals first, then the upserts. A delta from version 0 is a
// checkpoint, which replaces every entity. Removals of entities that don't exist are ignored. On an
// error the manifest doesn't change:
// - VersionConflict: the delta starts at another version or doesn't lead to a higher one, or the
//   checkpoint's version is lower than the manifest's.
// - InvalidManifest: an upsert has no value.
absl::Status applyDelta(proto::Manifest &manifest, const proto::ManifestDelta &delta);

} // namespace samphirebridge::manifest
