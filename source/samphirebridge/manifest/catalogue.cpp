#include "samphirebridge/manifest/catalogue.h"

#include "samphirebridge/core/errors.h"
#include "samphirebridge/manifest/manifestdelta.h"
#include "samphirebridge/manifest/routepath.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace samphirebridge::manifest
{

namespace
{

// Whether the path equals the prefix, or continues it at the start of a segment.
bool prefixMatches(std::string_view prefix, std::string_view path)
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
}

template <typename Value>
void setById(SharedTable<Value> &table, const Value &value)
{
    table.set(value.id(), std::make_shared<const Value>(value));
}

// Inserts or replaces a value in its table and under its digest. The caller has erased the digest
// of the previous value.
template <typename Value>
void setWithDigest(SharedTable<Value> &table,
                   SharedTable<Value> &valuesByDigest,
                   const Value &value,
                   const std::string &digest)
{
    auto shared = std::make_shared<const Value>(value);
    table.set(value.id(), shared);
    valuesByDigest.set(digest, std::move(shared));
}

// Erases the digest unless another value has it by now, as when one delta exchanges two digests.
template <typename Value>
void eraseDigest(SharedTable<Value> &valuesByDigest,
                 const std::string &digest,
                 const std::string &id)
{
    const Value *value = valuesByDigest.find(digest);
    if (value != nullptr && value->id() == id) {
        valuesByDigest.erase(digest);
    }
}

// Adds one entity for each value; the setter copies the value into its field of the entity.
template <typename Value, typename Setter>
void addEntities(proto::Manifest &manifest, const std::vector<const Value *> &values, Setter setter)
{
    for (const Value *value : values) {
        setter(*manifest.add_entities(), *value);
    }
}

bool contains(const google::protobuf::RepeatedPtrField<std::string> &names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

Catalogue::Catalogue()
    : resolvedPolicy(effectivePolicy(proto::Policy()))
{
}

Catalogue::Catalogue(const proto::Manifest &manifest)
    : Catalogue()
{
    this->currentVersion = manifest.version();
    for (const proto::Entity &entity : manifest.entities()) {
        this->upsert(entity);
    }
    this->indexRoutes();
}

absl::StatusOr<std::shared_ptr<const Catalogue>>
Catalogue::updated(const proto::ManifestDelta &delta) const
{
    const bool isCheckpoint = delta.from_version() == 0;
    const absl::Status status = checkDelta(this->currentVersion, delta);
    if (!status.ok()) {
        return status;
    }
    auto next = isCheckpoint ? std::make_shared<Catalogue>() : std::make_shared<Catalogue>(*this);
    for (const proto::EntityKey &key : delta.removals()) {
        next->remove(key);
    }
    for (const proto::Entity &entity : delta.upserts()) {
        next->upsert(entity);
    }
    next->currentVersion = delta.to_version();
    next->indexRoutes();
    return std::shared_ptr<const Catalogue>(std::move(next));
}

uint64_t Catalogue::version() const
{
    return this->currentVersion;
}

const proto::Organisation *Catalogue::organisation(std::string_view id) const
{
    return this->organisationTable.find(id);
}

const proto::CallerKey *Catalogue::callerKey(std::string_view id) const
{
    return this->callerKeyTable.find(id);
}

const proto::Budget *Catalogue::budget(std::string_view id) const
{
    return this->budgetTable.find(id);
}

const proto::Service *Catalogue::service(std::string_view id) const
{
    return this->serviceTable.find(id);
}

const proto::Model *Catalogue::model(std::string_view id) const
{
    return this->modelTable.find(id);
}

const proto::TargetKind *Catalogue::targetKind(std::string_view id) const
{
    return this->targetKindTable.find(id);
}

const proto::CallerKey *Catalogue::callerKeyByDigest(std::string_view sha256) const
{
    return this->callerKeysByDigest.find(sha256);
}

const proto::TargetKind *Catalogue::targetKindByDigest(std::string_view sha256) const
{
    return this->targetKindsByDigest.find(sha256);
}

std::optional<RouteMatch> Catalogue::matchRoute(std::string_view method,
                                                std::string_view path) const
{
    if (!hasPlainSegments(path)) {
        return std::nullopt;
    }
    for (const RouteMatch &candidate : this->routes) {
        const std::string &declaredMethod = candidate.route->method();
        const bool methodMatches
            = declaredMethod.empty() || std::string_view(declaredMethod) == method;
        if (methodMatches && prefixMatches(candidate.route->path_prefix(), path)) {
            return candidate;
        }
    }
    return std::nullopt;
}

bool Catalogue::mayCallService(const proto::Organisation &organisation, std::string_view service)
{
    return contains(organisation.services(), service);
}

bool Catalogue::mayUseModel(const proto::Organisation &organisation, std::string_view model)
{
    return organisation.models().empty() || contains(organisation.models(), model);
}

const EffectivePolicy &Catalogue::policy() const
{
    return this->resolvedPolicy;
}

std::vector<const proto::Organisation *> Catalogue::organisations() const
{
    return this->organisationTable.values();
}

std::vector<const proto::CallerKey *> Catalogue::callerKeys() const
{
    return this->callerKeyTable.values();
}

std::vector<const proto::Budget *> Catalogue::budgets() const
{
    return this->budgetTable.values();
}

std::vector<const proto::Service *> Catalogue::services() const
{
    return this->serviceTable.values();
}

std::vector<const proto::Model *> Catalogue::models() const
{
    return this->modelTable.values();
}

std::vector<const proto::TargetKind *> Catalogue::targetKinds() const
{
    return this->targetKindTable.values();
}

proto::Manifest Catalogue::manifest() const
{
    proto::Manifest manifest;
    manifest.set_version(this->currentVersion);
    addEntities(manifest, this->organisations(), [](proto::Entity &entity, const auto &value) {
        *entity.mutable_organisation() = value;
    });
    addEntities(manifest, this->callerKeys(), [](proto::Entity &entity, const auto &value) {
        *entity.mutable_caller_key() = value;
    });
    addEntities(manifest, this->budgets(), [](proto::Entity &entity, const auto &value) {
        *entity.mutable_budget() = value;
    });
    addEntities(manifest, this->services(), [](proto::Entity &entity, const auto &value) {
        *entity.mutable_service() = value;
    });
    addEntities(manifest, this->models(), [](proto::Entity &entity, const auto &value) {
        *entity.mutable_model() = value;
    });
    addEntities(manifest, this->targetKinds(), [](proto::Entity &entity, const auto &value) {
        *entity.mutable_target_kind() = value;
    });
    if (this->declaredPolicy) {
        *manifest.add_entities()->mutable_policy() = *this->declaredPolicy;
    }
    return manifest;
}

void Catalogue::upsert(const proto::Entity &entity)
{
    const EntityName name = nameOf(entity);
    switch (name.kind) {
    case proto::ORGANISATION:
        setById(this->organisationTable, entity.organisation());
        return;
    case proto::CALLER_KEY:
        this->upsertCallerKey(entity.caller_key());
        return;
    case proto::BUDGET:
        setById(this->budgetTable, entity.budget());
        return;
    case proto::SERVICE:
        setById(this->serviceTable, entity.service());
        return;
    case proto::MODEL:
        setById(this->modelTable, entity.model());
        return;
    case proto::TARGET_KIND:
        this->upsertTargetKind(entity.target_kind());
        return;
    case proto::POLICY:
        this->declaredPolicy = entity.policy();
        this->resolvedPolicy = effectivePolicy(entity.policy());
        return;
    default:
        return;
    }
}

void Catalogue::upsertCallerKey(const proto::CallerKey &callerKey)
{
    const proto::CallerKey *previous = this->callerKeyTable.find(callerKey.id());
    if (previous != nullptr) {
        eraseDigest(this->callerKeysByDigest, previous->sha256(), previous->id());
    }
    setWithDigest(this->callerKeyTable, this->callerKeysByDigest, callerKey, callerKey.sha256());
}

void Catalogue::upsertTargetKind(const proto::TargetKind &targetKind)
{
    const proto::TargetKind *previous = this->targetKindTable.find(targetKind.id());
    if (previous != nullptr) {
        eraseDigest(this->targetKindsByDigest, previous->announce_sha256(), previous->id());
    }
    setWithDigest(
        this->targetKindTable, this->targetKindsByDigest, targetKind, targetKind.announce_sha256());
}

void Catalogue::removeCallerKey(const std::string &id)
{
    const proto::CallerKey *previous = this->callerKeyTable.find(id);
    if (previous != nullptr) {
        eraseDigest(this->callerKeysByDigest, previous->sha256(), id);
        this->callerKeyTable.erase(id);
    }
}

void Catalogue::removeTargetKind(const std::string &id)
{
    const proto::TargetKind *previous = this->targetKindTable.find(id);
    if (previous != nullptr) {
        eraseDigest(this->targetKindsByDigest, previous->announce_sha256(), id);
        this->targetKindTable.erase(id);
    }
}

void Catalogue::remove(const proto::EntityKey &key)
{
    switch (key.kind()) {
    case proto::ORGANISATION:
        this->organisationTable.erase(key.id());
        return;
    case proto::CALLER_KEY:
        this->removeCallerKey(key.id());
        return;
    case proto::BUDGET:
        this->budgetTable.erase(key.id());
        return;
    case proto::SERVICE:
        this->serviceTable.erase(key.id());
        return;
    case proto::MODEL:
        this->modelTable.erase(key.id());
        return;
    case proto::TARGET_KIND:
        this->removeTargetKind(key.id());
        return;
    case proto::POLICY:
        this->declaredPolicy.reset();
        this->resolvedPolicy = effectivePolicy(proto::Policy());
        return;
    default:
        return;
    }
}

void Catalogue::indexRoutes()
{
    this->routes.clear();
    for (const proto::Service *service : this->serviceTable.values()) {
        for (const proto::Route &route : service->routes()) {
            this->routes.push_back(RouteMatch{service, &route});
        }
    }
    const auto precedence = [](const RouteMatch &match) {
        return std::tuple(-static_cast<int64_t>(match.route->path_prefix().size()),
                          match.route->method().empty(),
                          std::string_view(match.route->path_prefix()),
                          std::string_view(match.route->method()));
    };
    std::sort(this->routes.begin(),
              this->routes.end(),
              [&precedence](const RouteMatch &left, const RouteMatch &right) {
                  return precedence(left) < precedence(right);
              });
}

} // namespace samphirebridge::manifest
