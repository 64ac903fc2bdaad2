#include "samphirebridge/manifest/declarations.h"

#include <absl/container/flat_hash_map.h>
#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace samphirebridge::manifest
{

namespace
{

using settings::DocumentNode;
using settings::Place;
using settings::ProblemCollector;

// Keyed by std::string: Debian's Abseil hashes that, but not std::string_view, which is another
// type than its absl::string_view.
template <typename Value>
using ById = absl::flat_hash_map<std::string, const Value *>;

// Returns the line of the key's value, or of the node itself if it lacks the key.
int lineOf(const DocumentNode &node, std::string_view key)
{
    const auto child
        = std::find_if(node.children.begin(),
                       node.children.end(),
                       [key](const DocumentNode &candidate) { return candidate.key == key; });
    return child == node.children.end() ? node.line : child->line;
}

// Indexes and checks the declarations of one section; reports problems at their keys.
class SectionChecker
{
public:
    SectionChecker(std::string_view sectionKey, ProblemCollector &problems)
        : sectionPlace{.key = sectionKey}
        , problems(problems)
    {
    }

    template <typename Value>
    void addProblem(const Declared<Value> &declared,
                    std::string_view key,
                    std::string_view found,
                    std::string_view accepted)
    {
        if (this->problems.full()) {
            return; // Skips the search for the line, which takes time linear in the number of keys.
        }
        const Place item{.parent = &this->sectionPlace, .index = declared.index};
        const Place place{.parent = &item, .key = key};
        this->problems.add(lineOf(*declared.node, key), place, found, accepted);
    }

    // Returns the declarations by id, the first of each id. Reports a repeated id.
    template <typename Value>
    ById<Value> indexById(const std::vector<Declared<Value>> &declarations)
    {
        ById<Value> byId;
        byId.reserve(declarations.size());
        for (const Declared<Value> &declared : declarations) {
            const std::string &id = declared.value.id();
            if (!id.empty() && !byId.emplace(id, &declared.value).second) {
                this->addProblem(declared,
                                 "id",
                                 fmt::format("'{}' a second time", id),
                                 "an id that no other declaration of its kind has");
            }
        }
        return byId;
    }

    // Returns the declaration that the id under the key refers to. Reports an id that is not
    // declared, and returns null for it. An empty id gives null only: its problem is already
    // reported.
    template <typename Value, typename Other>
    const Other *resolveReference(const Declared<Value> &declared,
                                  std::string_view key,
                                  const std::string &id,
                                  const ById<Other> &declarationsById,
                                  std::string_view kind)
    {
        if (id.empty()) {
            return nullptr;
        }
        const auto entry = declarationsById.find(id);
        if (entry == declarationsById.end()) {
            this->addProblem(declared,
                             key,
                             fmt::format("'{}', which is not declared", id),
                             fmt::format("the id of a declared {}", kind));
            return nullptr;
        }
        return entry->second;
    }

private:
    Place sectionPlace;
    ProblemCollector &problems;
};

// Runs the checks of checkReferences over all sections.
class ReferenceChecker
{
public:
    ReferenceChecker(const Declarations &declarations, ProblemCollector &problems)
        : declarations(declarations)
        , organisationChecker(OrganisationsKey, problems)
        , callerKeyChecker(CallerKeysKey, problems)
        , budgetChecker(BudgetsKey, problems)
        , serviceChecker(ServicesKey, problems)
        , modelChecker(ModelsKey, problems)
        , targetKindChecker(TargetKindsKey, problems)
        , organisations(this->organisationChecker.indexById(declarations.organisations))
        , budgets(this->budgetChecker.indexById(declarations.budgets))
        , services(this->serviceChecker.indexById(declarations.services))
        , models(this->modelChecker.indexById(declarations.models))
    {
        this->callerKeyChecker.indexById(declarations.callerKeys);
        this->targetKindChecker.indexById(declarations.targetKinds);
    }

    void checkAll()
    {
        this->checkOrganisations();
        this->checkBudgets();
        this->checkCallerKeys();
        this->checkRoutes();
        this->checkModels();
        this->checkTargetKinds();
    }

private:
    void checkOrganisations()
    {
        for (const auto &declared : this->declarations.organisations) {
            for (const std::string &service : declared.value.services()) {
                this->organisationChecker.resolveReference(
                    declared, "services", service, this->services, "service");
            }
            for (const std::string &model : declared.value.models()) {
                this->organisationChecker.resolveReference(
                    declared, "models", model, this->models, "model");
            }
        }
    }

    void checkBudgets()
    {
        for (const auto &declared : this->declarations.budgets) {
            this->budgetChecker.resolveReference(declared,
                                                 "organisation",
                                                 declared.value.organisation(),
                                                 this->organisations,
                                                 "organisation");
        }
    }

    void checkCallerKeys()
    {
        for (const auto &declared : this->declarations.callerKeys) {
            const proto::CallerKey &key = declared.value;
            this->callerKeyChecker.resolveReference(
                declared, "organisation", key.organisation(), this->organisations, "organisation");
            const proto::Budget *budget = this->callerKeyChecker.resolveReference(
                declared, "budget", key.budget(), this->budgets, "budget");
            if (budget != nullptr && budget->organisation() != key.organisation()) {
                this->callerKeyChecker.addProblem(
                    declared,
                    "budget",
                    fmt::format("'{}' of organisation '{}'", budget->id(), budget->organisation()),
                    "a budget of the key's own organisation");
            }
            this->checkDigest(this->callerKeyChecker, declared, "sha256", key.sha256());
        }
    }

    void checkTargetKinds()
    {
        for (const auto &declared : this->declarations.targetKinds) {
            const proto::TargetKind &kind = declared.value;
            this->targetKindChecker.resolveReference(
                declared, "service", kind.service(), this->services, "service");
            this->checkDigest(
                this->targetKindChecker, declared, "announce_sha256", kind.announce_sha256());
        }
    }

    // Reports a digest that an earlier caller key or target kind has: a secret must identify
    // exactly one of them.
    template <typename Value>
    void checkDigest(SectionChecker &checker,
                     const Declared<Value> &declared,
                     std::string_view key,
                     const std::string &digest)
    {
        if (!digest.empty() && !this->seenDigests.insert(digest).second) {
            checker.addProblem(declared,
                               key,
                               "a digest that another caller key or target kind has",
                               "the digest of a secret that nothing else uses");
        }
    }

    // Compares the routes of all services. Empty path prefixes were invalid and are skipped.
    void checkRoutes()
    {
        std::set<std::pair<std::string_view, std::string_view>> seenRoutes;
        for (const auto &declared : this->declarations.services) {
            for (const proto::Route &route : declared.value.routes()) {
                const bool isUnique
                    = route.path_prefix().empty()
                      || seenRoutes.emplace(route.method(), route.path_prefix()).second;
                if (!isUnique) {
                    this->serviceChecker.addProblem(
                        declared,
                        "routes",
                        fmt::format("'{} {}' a second time", route.method(), route.path_prefix()),
                        "each pair of method and path prefix in one route only");
                }
            }
        }
    }

    void checkModels()
    {
        for (const auto &declared : this->declarations.models) {
            const proto::Service *service = this->modelChecker.resolveReference(
                declared, "service", declared.value.service(), this->services, "service");
            if (service != nullptr && service->kind() == proto::PLAIN) {
                this->modelChecker.addProblem(declared,
                                              "service",
                                              fmt::format("'{}', a plain service", service->id()),
                                              "the id of a chat service");
            }
        }
    }

    const Declarations &declarations;
    SectionChecker organisationChecker;
    SectionChecker callerKeyChecker;
    SectionChecker budgetChecker;
    SectionChecker serviceChecker;
    SectionChecker modelChecker;
    SectionChecker targetKindChecker;
    ById<proto::Organisation> organisations;
    ById<proto::Budget> budgets;
    ById<proto::Service> services;
    ById<proto::Model> models;
    std::set<std::string_view> seenDigests;
};

} // namespace

void checkReferences(const Declarations &declarations, ProblemCollector &problems)
{
    ReferenceChecker(declarations, problems).checkAll();
}

} // namespace samphirebridge::manifest
