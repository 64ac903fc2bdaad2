// The manifest in force, indexed for the questions that each request asks. A catalogue never
// changes; an update shares with its predecessor all that the delta leaves alone, so threads keep
// the one that they hold while the next one is put in place.
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

// The plain service that a method and path lead to, and the route that says how.
struct RouteMatch {
    const proto::Service *service = nullptr;
    const proto::Route *route = nullptr;
};

// Pointers that it returns are valid as long as the catalogue, null where nothing is declared. All
// members may be called by several threads at once.
class Catalogue
{
public:
    // An empty catalogue of version 0.
    Catalogue();

    // Indexes a checked manifest.
    explicit Catalogue(const proto::Manifest &manifest);

    // Returns the catalogue that the delta leads to. Cost follows the delta, not the manifest, but
    // for a checkpoint. Errors are those of applyDelta.
    [[nodiscard]] absl::StatusOr<std::shared_ptr<const Catalogue>>
    updated(const proto::ManifestDelta &delta) const;

    [[nodiscard]] uint64_t version() const;

    [[nodiscard]] const proto::Organisation *organisation(std::string_view id) const;
    [[nodiscard]] const proto::CallerKey *callerKey(std::string_view id) const;
    [[nodiscard]] const proto::Budget *budget(std::string_view id) const;
    [[nodiscard]] const proto::Service *service(std::string_view id) const;
    [[nodiscard]] const proto::Model *model(std::string_view id) const;
    [[nodiscard]] const proto::TargetKind *targetKind(std::string_view id) const;

    // Finds by the 32 bytes of SHA-256 of what a caller or a target presented.
    [[nodiscard]] const proto::CallerKey *callerKeyByDigest(std::string_view sha256) const;
    [[nodiscard]] const proto::TargetKind *targetKindByDigest(std::string_view sha256) const;

    // Finds the plain service of a request. A prefix covers whole segments: "/a" covers "/a" and
    // "/a/b", not "/ab"; "/a/" covers what is below. The longest prefix wins, then a route that
    // names the method. The path comes decoded and without its query. One with "//", "." or ".." as
    // segments has no match: a target could read it as another path, with another repeat rule. Chat
    // services have no routes: they are found through the model that the request names.
    [[nodiscard]] std::optional<RouteMatch> match(std::string_view method,
                                                  std::string_view path) const;

    // Whether the organisation may call the service, and may name the model.
    [[nodiscard]] static bool mayCall(const proto::Organisation &organisation,
                                      std::string_view service);
    [[nodiscard]] static bool mayName(const proto::Organisation &organisation,
                                      std::string_view model);

    // The policy in force, defaults resolved.
    [[nodiscard]] const EffectivePolicy &policy() const;

    // Everything of one kind, ordered by id.
    [[nodiscard]] std::vector<const proto::Organisation *> organisations() const;
    [[nodiscard]] std::vector<const proto::CallerKey *> callerKeys() const;
    [[nodiscard]] std::vector<const proto::Budget *> budgets() const;
    [[nodiscard]] std::vector<const proto::Service *> services() const;
    [[nodiscard]] std::vector<const proto::Model *> models() const;
    [[nodiscard]] std::vector<const proto::TargetKind *> targetKinds() const;

    // Returns the whole as a manifest, ordered by kind and id.
    [[nodiscard]] proto::Manifest manifest() const;

private:
    void upsert(const proto::Entity &entity);
    void upsertCallerKey(const proto::CallerKey &callerKey);
    void upsertTargetKind(const proto::TargetKind &targetKind);
    void removeCallerKey(const std::string &id);
    void removeTargetKind(const std::string &id);
    void remove(const proto::EntityKey &key);
    void indexRoutes();

    uint64_t currentVersion = 0;
    SharedTable<proto::Organisation> organisationTable;
    SharedTable<proto::CallerKey> callerKeyTable;
    SharedTable<proto::CallerKey> callerKeyDigests;
    SharedTable<proto::Budget> budgetTable;
    SharedTable<proto::Service> serviceTable;
    SharedTable<proto::Model> modelTable;
    SharedTable<proto::TargetKind> targetKindTable;
    SharedTable<proto::TargetKind> targetKindDigests;
    std::optional<proto::Policy> declaredPolicy;
    EffectivePolicy resolvedPolicy;
    std::vector<RouteMatch> routes; // Longest prefix first, then those that name a method.
};

} // namespace samphirebridge::manifest
