#include "samphirebridge/manifest/manifestdelta.h"

#include "samphirebridge/core/errors.h"
#include "samphirebridge/manifest/policy.h"

#include <fmt/format.h>
#include <google/protobuf/util/message_differencer.h>

#include <algorithm>
#include <map>
#include <vector>

namespace samphirebridge::manifest
{

namespace
{

using Entities = google::protobuf::RepeatedPtrField<proto::Entity>;

std::string_view viewOf(const std::string &text)
{
    return text;
}

bool precedes(const proto::Entity &left, const proto::Entity &right)
{
    return nameOf(left) < nameOf(right);
}

bool isSorted(const Entities &entities)
{
    return std::is_sorted(entities.begin(), entities.end(), precedes);
}

// Returns pointers to the entities, ordered by kind and id.
std::vector<const proto::Entity *> orderedEntities(const proto::Manifest &manifest)
{
    std::vector<const proto::Entity *> ordered(manifest.entities().pointer_begin(),
                                               manifest.entities().pointer_end());
    std::stable_sort(
        ordered.begin(), ordered.end(), [](const proto::Entity *left, const proto::Entity *right) {
            return precedes(*left, *right);
        });
    return ordered;
}

void addRemoval(proto::ManifestDelta &delta, const proto::Entity &entity)
{
    const EntityName name = nameOf(entity);
    proto::EntityKey &key = *delta.add_removals();
    key.set_kind(name.kind);
    key.set_id(std::string(name.id));
}

// A checkpoint may have the manifest's own version; any other delta must lead to a higher one.
absl::Status checkVersions(uint64_t version, const proto::ManifestDelta &delta)
{
    const bool isCheckpoint = delta.from_version() == 0;
    if (isCheckpoint && delta.to_version() >= version) {
        return absl::OkStatus();
    }
    const bool increases = delta.to_version() > delta.from_version();
    if (!isCheckpoint && increases && delta.from_version() == version) {
        return absl::OkStatus();
    }
    return core::makeError(
        core::ErrorCode::VersionConflict,
        fmt::format("found a delta from version {} to {}; accepted is one from version {} to a "
                    "higher one, or a checkpoint that is not older",
                    delta.from_version(),
                    delta.to_version(),
                    version));
}

absl::Status checkUpserts(const proto::ManifestDelta &delta)
{
    for (const proto::Entity &entity : delta.upserts()) {
        if (nameOf(entity).kind == proto::ENTITY_KIND_UNSPECIFIED) {
            return core::makeError(
                core::ErrorCode::InvalidManifest,
                "found an upsert without a value; accepted is one that holds an entity");
        }
    }
    return absl::OkStatus();
}

void removeEntities(Entities &entities, const proto::ManifestDelta &delta)
{
    std::vector<EntityName> removals;
    for (const proto::EntityKey &key : delta.removals()) {
        removals.push_back(EntityName{key.kind(), viewOf(key.id())});
    }
    if (removals.empty()) {
        return;
    }
    std::sort(removals.begin(), removals.end());
    const auto isRemoved = [&removals](const proto::Entity &entity) {
        return std::binary_search(removals.begin(), removals.end(), nameOf(entity));
    };
    int keptCount = 0;
    for (int index = 0; index < entities.size(); ++index) {
        if (!isRemoved(entities[index])) {
            entities.SwapElements(keptCount, index);
            ++keptCount;
        }
    }
    entities.DeleteSubrange(keptCount, entities.size() - keptCount);
}

// Replaces entities in place and appends new ones, so the entities must be sorted before, and
// sorted again after. Of several upserts of one new entity the last wins.
void upsertEntities(Entities &entities, const proto::ManifestDelta &delta)
{
    std::map<EntityName, const proto::Entity *> additions;
    const int existingCount = entities.size();
    for (const proto::Entity &upsert : delta.upserts()) {
        const auto end = entities.begin() + existingCount;
        const auto position = std::lower_bound(entities.begin(), end, upsert, precedes);
        if (position != end && nameOf(*position) == nameOf(upsert)) {
            *position = upsert;
        } else {
            additions[nameOf(upsert)] = &upsert;
        }
    }
    for (const auto &[name, entity] : additions) {
        *entities.Add() = *entity;
    }
}

void sortByName(Entities &entities)
{
    if (isSorted(entities)) {
        return;
    }
    std::stable_sort(entities.pointer_begin(),
                     entities.pointer_end(),
                     [](const proto::Entity *left, const proto::Entity *right) {
                         return precedes(*left, *right);
                     });
}

} // namespace

EntityName nameOf(const proto::Entity &entity)
{
    switch (entity.value_case()) {
    case proto::Entity::kOrganisation:
        return {proto::ORGANISATION, viewOf(entity.organisation().id())};
    case proto::Entity::kCallerKey:
        return {proto::CALLER_KEY, viewOf(entity.caller_key().id())};
    case proto::Entity::kBudget:
        return {proto::BUDGET, viewOf(entity.budget().id())};
    case proto::Entity::kService:
        return {proto::SERVICE, viewOf(entity.service().id())};
    case proto::Entity::kModel:
        return {proto::MODEL, viewOf(entity.model().id())};
    case proto::Entity::kTargetKind:
        return {proto::TARGET_KIND, viewOf(entity.target_kind().id())};
    case proto::Entity::kPolicy:
        return {proto::POLICY, PolicyId};
    case proto::Entity::VALUE_NOT_SET:
        break;
    }
    return {};
}

std::string_view kindName(proto::EntityKind kind)
{
    switch (kind) {
    case proto::ORGANISATION:
        return "organisation";
    case proto::CALLER_KEY:
        return "caller_key";
    case proto::BUDGET:
        return "budget";
    case proto::SERVICE:
        return "service";
    case proto::MODEL:
        return "model";
    case proto::TARGET_KIND:
        return "target_kind";
    case proto::POLICY:
        return "policy";
    default:
        return "unspecified";
    }
}

void sortEntities(proto::Manifest &manifest)
{
    sortByName(*manifest.mutable_entities());
}

proto::ManifestDelta diffManifests(const proto::Manifest &oldManifest,
                                   const proto::Manifest &newManifest)
{
    proto::ManifestDelta delta;
    delta.set_from_version(oldManifest.version());
    delta.set_to_version(std::max(newManifest.version(), oldManifest.version() + 1));
    const std::vector<const proto::Entity *> oldEntities = orderedEntities(oldManifest);
    const std::vector<const proto::Entity *> newEntities = orderedEntities(newManifest);
    auto oldEntity = oldEntities.begin();
    for (const proto::Entity *entity : newEntities) {
        while (oldEntity != oldEntities.end() && precedes(**oldEntity, *entity)) {
            addRemoval(delta, **oldEntity);
            ++oldEntity;
        }
        const bool existed
            = oldEntity != oldEntities.end() && nameOf(**oldEntity) == nameOf(*entity);
        if (!existed || !google::protobuf::util::MessageDifferencer::Equals(**oldEntity, *entity)) {
            *delta.add_upserts() = *entity;
        }
        if (existed) {
            ++oldEntity;
        }
    }
    for (; oldEntity != oldEntities.end(); ++oldEntity) {
        addRemoval(delta, **oldEntity);
    }
    return delta;
}

absl::Status checkDelta(uint64_t version, const proto::ManifestDelta &delta)
{
    if (absl::Status status = checkVersions(version, delta); !status.ok()) {
        return status;
    }
    return checkUpserts(delta);
}

absl::Status applyDelta(proto::Manifest &manifest, const proto::ManifestDelta &delta)
{
    if (absl::Status status = checkDelta(manifest.version(), delta); !status.ok()) {
        return status;
    }
    Entities &entities = *manifest.mutable_entities();
    if (delta.from_version() == 0) {
        entities.Clear();
    }
    sortByName(entities);
    removeEntities(entities, delta);
    upsertEntities(entities, delta);
    sortByName(entities);
    manifest.set_version(delta.to_version());
    return absl::OkStatus();
}

} // namespace samphirebridge::manifest
