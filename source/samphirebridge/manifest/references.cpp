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

// Debian's absl hashes std::string but not std::string_view, which it takes for a foreign type.
template <typename Value>
using ById = absl::flat_hash_map<std::string, const Value *>;

int lineOf(const DocumentNode &node, std::string_view key)
{
    const auto child
        = std::find_if(node.children.begin(),
                       node.children.end(),
                       [key](const DocumentNode &candidate) { return candidate.key == key; });
    return child == node.children.end() ? node.line : child->line;
}

// Reports problems at the keys of one section's declarations.
class SectionChecker
{
public:
    SectionChecker(std::string_view section, ProblemCollector &problems)
        : section{.key = section}
        , problems(problems)
    {
    }

    template <typename Value>
    void add(const Declared<Value> &declared,
             std::string_view key,
             std::string_view found,
             std::string_view accepted)
    {
        if (this->problems.full()) {
            return; // Finding the line takes time that grows with the declaration.
        }
        const Place item{.parent = &this->section, .index = declared.index};
        const Place place{.parent = &item, .key = key};
        this->problems.add(lineOf(*declared.node, key), place, found, accepted);
    }

    // Indexes by id; a repeated id is a problem.
    template <typename Value>
    ById<Value> index(const std::vector<Declared<Value>> &declarations)
    {
        ById<Value> byId;
        byId.reserve(declarations.size());
        for (const Declared<Value> &declared : declarations) {
            const std::string &id = declared.value.id();
            if (!id.empty() && !byId.emplace(id, &declared.value).second) {
                this->add(declared,
                          "id",
                          fmt::format("'{}' a second time", id),
                          "an id that no other of its kind has");
            }
        }
        return byId;
    }

    // Returns what the id leads to; nothing there is a problem.
    template <typename Value, typename Other>
    const Other *resolve(const Declared<Value> &declared,
                         std::string_view key,
                         const std::string &id,
                         const ById<Other> &others,
                         std::string_view kind)
    {
        if (id.empty()) {
            return nullptr;
        }
        const auto found = others.find(id);
        if (found == others.end()) {
            this->add(declared,
                      key,
                      fmt::format("'{}', which is not declared", id),
                      fmt::format("the id of a declared {}", kind));
            return nullptr;
        }
        return found->second;
    }

private:
    Place section;
    ProblemCollector &problems;
};

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
        , organisations(this->organisationChecker.index(declarations.organisations))
        , budgets(this->budgetChecker.index(declarations.budgets))
        , services(this->serviceChecker.index(declarations.services))
        , models(this->modelChecker.index(declarations.models))
    {
        this->callerKeyChecker.index(declarations.callerKeys);
        this->targetKindChecker.index(declarations.targetKinds);
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
                this->organisationChecker.resolve(
                    declared, "services", service, this->services, "service");
            }
            for (const std::string &model : declared.value.models()) {
                this->organisationChecker.resolve(declared, "models", model, this->models, "model");
            }
        }
    }

    void checkBudgets()
    {
        for (const auto &declared : this->declarations.budgets) {
            this->budgetChecker.resolve(declared,
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
            this->callerKeyChecker.resolve(
                declared, "organisation", key.organisation(), this->organisations, "organisation");
            const proto::Budget *budget = this->callerKeyChecker.resolve(
                declared, "budget", key.budget(), this->budgets, "budget");
            if (budget != nullptr && budget->organisation() != key.organisation()) {
                this->callerKeyChecker.add(
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
            this->targetKindChecker.resolve(
                declared, "service", kind.service(), this->services, "service");
            this->checkDigest(
                this->targetKindChecker, declared, "announce_sha256", kind.announce_sha256());
        }
    }

    // One secret leads to one caller key or target kind.
    template <typename Value>
    void checkDigest(SectionChecker &checker,
                     const Declared<Value> &declared,
                     std::string_view key,
                     const std::string &digest)
    {
        if (!digest.empty() && !this->digests.insert(digest).second) {
            checker.add(declared,
                        key,
                        "a digest that another caller key or target kind has",
                        "the digest of a secret of its own");
        }
    }

    void checkRoutes()
    {
        std::set<std::pair<std::string_view, std::string_view>> seen;
        for (const auto &declared : this->declarations.services) {
            for (const proto::Route &route : declared.value.routes()) {
                const bool known = route.path_prefix().empty()
                                   || seen.emplace(route.method(), route.path_prefix()).second;
                if (!known) {
                    this->serviceChecker.add(
                        declared,
                        "routes",
                        fmt::format("'{} {}' a second time", route.method(), route.path_prefix()),
                        "each method and path prefix in one route");
                }
            }
        }
    }

    void checkModels()
    {
        for (const auto &declared : this->declarations.models) {
            const proto::Service *service = this->modelChecker.resolve(
                declared, "service", declared.value.service(), this->services, "service");
            if (service != nullptr && service->kind() == proto::PLAIN) {
                this->modelChecker.add(declared,
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
    std::set<std::string_view> digests;
};

} // namespace

void checkReferences(const Declarations &declarations, ProblemCollector &problems)
{
    ReferenceChecker(declarations, problems).checkAll();
}

} // namespace samphirebridge::manifest
