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

bool covers(std::string_view prefix, std::string_view path)
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

// Replaces a value that is also found by a digest, which the change may have changed.
template <typename Value>
void setWithDigest(SharedTable<Value> &table,
                   SharedTable<Value> &digests,
                   const Value &value,
                   const std::string &digest)
{
    auto shared = std::make_shared<const Value>(value);
    table.set(value.id(), shared);
    digests.set(digest, std::move(shared));
}

// Forgets the digest unless it has passed to another value in the meantime.
template <typename Value>
void eraseDigest(SharedTable<Value> &digests, const std::string &digest, const std::string &id)
{
    const Value *value = digests.find(digest);
    if (value != nullptr && value->id() == id) {
        digests.erase(digest);
    }
}

template <typename Value, typename Setter>
void addAll(proto::Manifest &manifest, const std::vector<const Value *> &values, Setter setter)
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
    const bool checkpoint = delta.from_version() == 0;
    const absl::Status status = checkDelta(this->currentVersion, delta);
    if (!status.ok()) {
        return status;
    }
    auto next = checkpoint ? std::make_shared<Catalogue>() : std::make_shared<Catalogue>(*this);
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
    return this->callerKeyDigests.find(sha256);
}

const proto::TargetKind *Catalogue::targetKindByDigest(std::string_view sha256) const
{
    return this->targetKindDigests.find(sha256);
}

std::optional<RouteMatch> Catalogue::match(std::string_view method, std::string_view path) const
{
    if (!hasPlainSegments(path)) {
        return std::nullopt;
    }
    for (const RouteMatch &candidate : this->routes) {
        const std::string &declared = candidate.route->method();
        const bool methodFits = declared.empty() || std::string_view(declared) == method;
        if (methodFits && covers(candidate.route->path_prefix(), path)) {
            return candidate;
        }
    }
    return std::nullopt;
}

bool Catalogue::mayCall(const proto::Organisation &organisation, std::string_view service)
{
    return contains(organisation.services(), service);
}

bool Catalogue::mayName(const proto::Organisation &organisation, std::string_view model)
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
    addAll(manifest, this->organisations(), [](proto::Entity &entity, const auto &value) {
        *entity.mutable_organisation() = value;
    });
    addAll(manifest, this->callerKeys(), [](proto::Entity &entity, const auto &value) {
        *entity.mutable_caller_key() = value;
    });
    addAll(manifest, this->budgets(), [](proto::Entity &entity, const auto &value) {
        *entity.mutable_budget() = value;
    });
    addAll(manifest, this->services(), [](proto::Entity &entity, const auto &value) {
        *entity.mutable_service() = value;
    });
    addAll(manifest, this->models(), [](proto::Entity &entity, const auto &value) {
        *entity.mutable_model() = value;
    });
    addAll(manifest, this->targetKinds(), [](proto::Entity &entity, const auto &value) {
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
    const proto::CallerKey *known = this->callerKeyTable.find(callerKey.id());
    if (known != nullptr) {
        eraseDigest(this->callerKeyDigests, known->sha256(), known->id());
    }
    setWithDigest(this->callerKeyTable, this->callerKeyDigests, callerKey, callerKey.sha256());
}

void Catalogue::upsertTargetKind(const proto::TargetKind &targetKind)
{
    const proto::TargetKind *known = this->targetKindTable.find(targetKind.id());
    if (known != nullptr) {
        eraseDigest(this->targetKindDigests, known->announce_sha256(), known->id());
    }
    setWithDigest(
        this->targetKindTable, this->targetKindDigests, targetKind, targetKind.announce_sha256());
}

void Catalogue::removeCallerKey(const std::string &id)
{
    const proto::CallerKey *known = this->callerKeyTable.find(id);
    if (known != nullptr) {
        eraseDigest(this->callerKeyDigests, known->sha256(), id);
        this->callerKeyTable.erase(id);
    }
}

void Catalogue::removeTargetKind(const std::string &id)
{
    const proto::TargetKind *known = this->targetKindTable.find(id);
    if (known != nullptr) {
        eraseDigest(this->targetKindDigests, known->announce_sha256(), id);
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
    const auto rank = [](const RouteMatch &match) {
        return std::tuple(-static_cast<int64_t>(match.route->path_prefix().size()),
                          match.route->method().empty(),
                          std::string_view(match.route->path_prefix()),
                          std::string_view(match.route->method()));
    };
    std::sort(this->routes.begin(),
              this->routes.end(),
              [&rank](const RouteMatch &left, const RouteMatch &right) {
                  return rank(left) < rank(right);
              });
}

} // namespace samphirebridge::manifest
