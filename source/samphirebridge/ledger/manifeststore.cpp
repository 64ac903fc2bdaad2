#include "samphirebridge/ledger/manifeststore.h"

#include "samphirebridge/core/errors.h"

#include <absl/container/btree_set.h>
#include <fmt/format.h>

#include <optional>

namespace samphirebridge::ledger
{

namespace
{

// Limits of the deltas kept for instances that are some versions behind; an instance that is
// further behind gets a checkpoint. The target fleet makes 4,400 changes of 1 KB a day.
constexpr size_t MaximumRecentDeltas = 4096;
constexpr size_t MaximumRecentBytes = 8 << 20;

absl::Status invalid(std::string_view message)
{
    return core::makeError(core::ErrorCode::InvalidManifest, message);
}

std::optional<EntityId> idOf(const proto::Entity &entity)
{
    switch (entity.value_case()) {
    case proto::Entity::kOrganisation:
        return EntityId(proto::ORGANISATION, entity.organisation().id());
    case proto::Entity::kCallerKey:
        return EntityId(proto::CALLER_KEY, entity.caller_key().id());
    case proto::Entity::kBudget:
        return EntityId(proto::BUDGET, entity.budget().id());
    case proto::Entity::kService:
        return EntityId(proto::SERVICE, entity.service().id());
    case proto::Entity::kModel:
        return EntityId(proto::MODEL, entity.model().id());
    case proto::Entity::kTargetKind:
        return EntityId(proto::TARGET_KIND, entity.target_kind().id());
    case proto::Entity::kPolicy:
        return EntityId(proto::POLICY, entity.policy().id());
    case proto::Entity::VALUE_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace

absl::StatusOr<EntityId> identify(const proto::Entity &entity)
{
    std::optional<EntityId> id = idOf(entity);
    if (!id || id->second.empty()) {
        return invalid("an entity has no kind or no id; each needs both");
    }
    return *std::move(id);
}

uint64_t ManifestStore::version() const
{
    return this->currentVersion;
}

absl::Status ManifestStore::check(const proto::ManifestDelta &delta) const
{
    absl::btree_set<EntityId> seen;
    for (const proto::Entity &entity : delta.upserts()) {
        auto id = identify(entity);
        if (!id.ok()) {
            return id.status();
        }
        if (!seen.insert(*id).second) {
            return invalid(fmt::format("the change names '{}' twice", id->second));
        }
    }
    for (const proto::EntityKey &key : delta.removals()) {
        const EntityId id(key.kind(), key.id());
        if (!this->entities.contains(id)) {
            return invalid(fmt::format("the change removes '{}', which does not exist", key.id()));
        }
        if (!seen.insert(id).second) {
            return invalid(fmt::format("the change names '{}' twice", key.id()));
        }
    }
    return absl::OkStatus();
}

void ManifestStore::apply(proto::ManifestDelta delta)
{
    for (const proto::Entity &entity : delta.upserts()) {
        this->entities.insert_or_assign(*idOf(entity), entity.SerializeAsString());
    }
    for (const proto::EntityKey &key : delta.removals()) {
        this->entities.erase(EntityId(key.kind(), key.id()));
    }
    delta.set_from_version(this->currentVersion);
    ++this->currentVersion;
    delta.set_to_version(this->currentVersion);
    this->remember(delta);
}

proto::ManifestDelta ManifestStore::deltaSince(uint64_t knownVersion) const
{
    proto::ManifestDelta merged;
    merged.set_from_version(knownVersion);
    merged.set_to_version(this->currentVersion);
    if (knownVersion == this->currentVersion) {
        return merged;
    }
    const bool isRemembered = knownVersion != 0 && knownVersion < this->currentVersion
                              && !this->recent.empty()
                              && this->recent.front().fromVersion <= knownVersion;
    if (!isRemembered) {
        merged.set_from_version(0);
        *merged.mutable_upserts() = this->manifest().entities();
        return merged;
    }
    absl::btree_set<EntityId> changed;
    proto::ManifestDelta delta;
    for (const RecentDelta &recentDelta : this->recent) {
        if (recentDelta.fromVersion < knownVersion) {
            continue;
        }
        delta.ParseFromString(recentDelta.bytes);
        for (const proto::Entity &entity : delta.upserts()) {
            changed.insert(*idOf(entity));
        }
        for (const proto::EntityKey &key : delta.removals()) {
            changed.emplace(key.kind(), key.id());
        }
    }
    for (const EntityId &id : changed) {
        const auto found = this->entities.find(id);
        if (found != this->entities.end()) {
            merged.add_upserts()->ParseFromString(found->second);
            continue;
        }
        proto::EntityKey *removal = merged.add_removals();
        removal->set_kind(id.first);
        removal->set_id(id.second);
    }
    return merged;
}

proto::Entity ManifestStore::find(proto::EntityKind kind, const std::string &id) const
{
    proto::Entity entity;
    const auto found = this->entities.find(EntityId(kind, id));
    if (found != this->entities.end()) {
        entity.ParseFromString(found->second);
    }
    return entity;
}

proto::Manifest ManifestStore::manifest() const
{
    proto::Manifest manifest;
    manifest.set_version(this->currentVersion);
    manifest.mutable_entities()->Reserve(static_cast<int>(this->entities.size()));
    for (const auto &[id, bytes] : this->entities) {
        manifest.add_entities()->ParseFromString(bytes);
    }
    return manifest;
}

std::vector<proto::ManifestDelta> ManifestStore::recentDeltas() const
{
    std::vector<proto::ManifestDelta> deltas(this->recent.size());
    for (size_t index = 0; index < deltas.size(); ++index) {
        deltas[index].ParseFromString(this->recent[index].bytes);
    }
    return deltas;
}

absl::Status ManifestStore::restore(const proto::Manifest &manifest,
                                    const std::vector<proto::ManifestDelta> &deltas)
{
    for (const proto::Entity &entity : manifest.entities()) {
        auto id = identify(entity);
        if (!id.ok()) {
            return id.status();
        }
        this->entities.insert_or_assign(*std::move(id), entity.SerializeAsString());
    }
    this->currentVersion = manifest.version();
    for (const proto::ManifestDelta &delta : deltas) {
        this->remember(delta);
    }
    return absl::OkStatus();
}

void ManifestStore::remember(const proto::ManifestDelta &delta)
{
    this->recent.push_back({delta.from_version(), delta.SerializeAsString()});
    this->recentBytes += this->recent.back().bytes.size();
    while (this->recent.size() > MaximumRecentDeltas || this->recentBytes > MaximumRecentBytes) {
        this->recentBytes -= this->recent.front().bytes.size();
        this->recent.pop_front();
    }
}

} // namespace samphirebridge::ledger
