// An immutable index of one version of the manifest, for the look-ups that each request makes. An
// update returns a new catalogue, which shares the unchanged parts with its predecessor. Threads
// may go on to use the predecessor meanwhile.
#pragma once

#include "manifest.pb.h"
#include "samphirebridge/core/ids.h"
#include "samphirebridge/manifest/policy.h"
#include "samphirebridge/manifest/sharedtable.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphirebridge::manifest
{

// The result of a route look-up: a plain service and the one of its routes that matched.
struct RouteMatch {
    const proto::Service *service = nullptr;
    const proto::Route *route = nullptr;
};

// Look-ups return null for an id or digest that is not declared. Returned pointers are valid as
// long as the catalogue. Any number of threads may call the members at once.
class Catalogue
{
public:
    // Creates an empty catalogue of version 0, with the default policy.
    Catalogue();

    // Indexes a manifest that checkManifest accepted, or that deltas of such manifests made.
    explicit Catalogue(const proto::Manifest &manifest);

    // Returns the catalogue that results from applying the delta; this one doesn't change. Copies
    // only the table shards that the delta changes, and sorts all routes anew; a checkpoint builds
    // every table anew. Errors are those of applyDelta.
    [[nodiscard]] absl::StatusOr<std::shared_ptr<const Catalogue>>
    updated(const proto::ManifestDelta &delta) const;

    [[nodiscard]] uint64_t version() const;

    [[nodiscard]] const proto::Organisation *organisation(std::string_view id) const;
    [[nodiscard]] const proto::CallerKey *callerKey(std::string_view id) const;
    [[nodiscard]] const proto::Budget *budget(std::string_view id) const;
    [[nodiscard]] const proto::Service *service(std::string_view id) const;
    [[nodiscard]] const proto::Model *model(std::string_view id) const;
    [[nodiscard]] const proto::TargetKind *targetKind(std::string_view id) const;

    // Look up by the SHA-256 (32 bytes) of the secret that a caller or a target presented.
    [[nodiscard]] const proto::CallerKey *callerKeyByDigest(std::string_view sha256) const;
    [[nodiscard]] const proto::TargetKind *targetKindByDigest(std::string_view sha256) const;

    // Finds the plain service and route of a request; nullopt if no route matches. The path must be
    // percent-decoded and without its query. A prefix matches whole segments: "/a" matches "/a" and
    // "/a/b", not "/ab"; "/a/" matches "/a/" and the paths below it, not "/a". The longest prefix
    // wins; among equal prefixes, a route that names the method wins over one for any method. A
    // path with "//", or with "." or ".." as a segment, never matches: a target might normalise it
    // to a path with another repeat rule. Chat services have no routes: they are found through the
    // model that the request names.
    [[nodiscard]] std::optional<RouteMatch> matchRoute(std::string_view method,
                                                       std::string_view path) const;

    // Whether the organisation may call the service with this id, or use the model with this id. An
    // organisation that lists no models may use every model.
    [[nodiscard]] static bool mayCallService(const proto::Organisation &organisation,
                                             std::string_view service);
    [[nodiscard]] static bool mayUseModel(const proto::Organisation &organisation,
                                          std::string_view model);

    // Returns the policy with defaults in place of zeros.
    [[nodiscard]] const EffectivePolicy &policy() const;

    // Return all entities of one kind, ordered by id.
    [[nodiscard]] std::vector<const proto::Organisation *> organisations() const;
    [[nodiscard]] std::vector<const proto::CallerKey *> callerKeys() const;
    [[nodiscard]] std::vector<const proto::Budget *> budgets() const;
    [[nodiscard]] std::vector<const proto::Service *> services() const;
    [[nodiscard]] std::vector<const proto::Model *> models() const;
    [[nodiscard]] std::vector<const proto::TargetKind *> targetKinds() const;

    // Returns all entities as a manifest of the same version, ordered by kind and id.
    [[nodiscard]] proto::Manifest manifest() const;

private:
    // Inserts the entity or replaces the one with its kind and id. An entity without a value is
    // ignored.
    void upsert(const proto::Entity &entity);
    void upsertCallerKey(const proto::CallerKey &callerKey);
    void upsertTargetKind(const proto::TargetKind &targetKind);
    void removeCallerKey(const std::string &id);
    void removeTargetKind(const std::string &id);
    // Removes the entity if it exists. Removing the policy restores the defaults.
    void remove(const proto::EntityKey &key);

    // Rebuilds the list of routes from all services.
    void indexRoutes();

    uint64_t currentVersion = 0;
    SharedTable<proto::Organisation> organisationTable;
    SharedTable<proto::CallerKey> callerKeyTable;
    SharedTable<proto::CallerKey> callerKeysByDigest;
    SharedTable<proto::Budget> budgetTable;
    SharedTable<proto::Service> serviceTable;
    SharedTable<proto::Model> modelTable;
    SharedTable<proto::TargetKind> targetKindTable;
    SharedTable<proto::TargetKind> targetKindsByDigest;
    std::optional<proto::Policy> declaredPolicy;
    EffectivePolicy resolvedPolicy;
    std::vector<RouteMatch> routes; // In the order in which matchRoute tries them.
};

} // namespace samphirebridge::manifest
