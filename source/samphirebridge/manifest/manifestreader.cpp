#include "samphirebridge/manifest/declarations.h"
#include "samphirebridge/manifest/manifestdelta.h"
#include "samphirebridge/manifest/manifestfile.h"
#include "samphirebridge/manifest/policy.h"
#include "samphirebridge/manifest/routepath.h"

#include "samphirebridge/core/tokens.h"
#include "samphirebridge/settings/reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace samphirebridge::manifest
{

namespace
{

using settings::DocumentNode;
using settings::IntegerRange;
using settings::MapReader;
using settings::Place;
using settings::ProblemCollector;

constexpr auto TopLevelKeys = std::to_array<std::string_view>({
    OrganisationsKey,
    CallerKeysKey,
    BudgetsKey,
    ServicesKey,
    ModelsKey,
    TargetKindsKey,
    PolicyKey,
});
constexpr auto OrganisationKeys
    = std::to_array<std::string_view>({"id", "name", "weight", "services", "models"});
constexpr auto CallerKeyKeys
    = std::to_array<std::string_view>({"id", "organisation", "budget", "sha256"});
constexpr auto BudgetKeys = std::to_array<std::string_view>({"id", "organisation", "tokens"});
constexpr auto ServiceKeys = std::to_array<std::string_view>({
    "id",
    "kind",
    "routes",
    "price_tokens",
    "max_output_tokens",
    "stall_timeout_ms",
    "deadline_ms",
    "key_retention_s",
});
constexpr auto RouteKeys = std::to_array<std::string_view>({"method", "path_prefix", "repeat"});
constexpr auto ModelKeys
    = std::to_array<std::string_view>({"id", "service", "min_targets", "max_targets"});
constexpr auto TargetKindKeys
    = std::to_array<std::string_view>({"id", "service", "announce_sha256", "checks_fencing"});
constexpr auto PolicyKeys = std::to_array<std::string_view>({
    "escrow_horizon_ms",
    "exposure_tokens",
    "retry_share_percent",
    "out_of_contact_serve_ms",
});
constexpr std::array<DeclarationKeys, 7> Sections{{
    {OrganisationsKey, proto::ORGANISATION, OrganisationKeys},
    {CallerKeysKey, proto::CALLER_KEY, CallerKeyKeys},
    {BudgetsKey, proto::BUDGET, BudgetKeys},
    {ServicesKey, proto::SERVICE, ServiceKeys},
    {ModelsKey, proto::MODEL, ModelKeys},
    {TargetKindsKey, proto::TARGET_KIND, TargetKindKeys},
    {PolicyKey, proto::POLICY, PolicyKeys},
}};

// Each name stands at the position of its value in the array below it.
constexpr auto ServiceKindNames = std::to_array<std::string_view>({"chat", "plain"});
constexpr std::array<proto::ServiceKind, 2> ServiceKinds{proto::CHAT, proto::PLAIN};
constexpr auto RepeatRuleNames
    = std::to_array<std::string_view>({"repeatable", "never", "target_deduplicates"});
constexpr std::array<proto::RepeatRule, 3> RepeatRules{
    proto::REPEATABLE, proto::NEVER, proto::TARGET_DEDUPLICATES};

constexpr size_t MaximumNameBytes = 256;
constexpr size_t MaximumMethodBytes = 16;
constexpr IntegerRange TokenRange{0, core::MaximumPurchase.count};
constexpr IntegerRange WeightRange{1, 1000};
constexpr IntegerRange OutputTokenRange{1, 1'000'000};
constexpr IntegerRange StallTimeoutRangeMs{100, 3'600'000};
constexpr IntegerRange DeadlineRangeMs{1000, 86'400'000};
constexpr IntegerRange KeyRetentionRangeSeconds{1, 604'800};
constexpr IntegerRange TargetCountRange{0, MaximumTargets};
constexpr IntegerRange EscrowHorizonRangeMs{0, 3'600'000};
constexpr IntegerRange RetryShareRangePercent{0, 100};
constexpr IntegerRange OutOfContactServeRangeMs{0, 86'400'000};

// Reads an integer whose range lies within uint32_t.
uint32_t
readUnsigned(MapReader &reader, std::string_view key, IntegerRange range, int64_t defaultValue)
{
    return static_cast<uint32_t>(reader.integer(key, range, defaultValue));
}

// Reports the key if it is there, for keys that only the other kind of service accepts.
void refuseKey(const MapReader &reader,
               std::string_view key,
               std::string_view accepted,
               ProblemCollector &problems)
{
    const DocumentNode *node = reader.find(key);
    if (node != nullptr) {
        problems.add(node->line, reader.placeOf(key), settings::describeValue(*node), accepted);
    }
}

proto::Organisation
readOrganisation(const DocumentNode &node, const Place &place, ProblemCollector &problems)
{
    MapReader reader(node, place, OrganisationKeys, problems);
    proto::Organisation organisation;
    organisation.set_id(reader.name("id"));
    organisation.set_name(reader.text("name", MaximumNameBytes, organisation.id()));
    organisation.set_weight(readUnsigned(reader, "weight", WeightRange, DefaultWeight));
    for (std::string &service : reader.names("services")) {
        organisation.add_services(std::move(service));
    }
    for (std::string &model : reader.names("models")) {
        organisation.add_models(std::move(model));
    }
    return organisation;
}

proto::CallerKey
readCallerKey(const DocumentNode &node, const Place &place, ProblemCollector &problems)
{
    MapReader reader(node, place, CallerKeyKeys, problems);
    proto::CallerKey key;
    key.set_id(reader.name("id"));
    key.set_organisation(reader.name("organisation"));
    key.set_budget(reader.name("budget"));
    key.set_sha256(reader.digest("sha256"));
    return key;
}

proto::Budget readBudget(const DocumentNode &node, const Place &place, ProblemCollector &problems)
{
    MapReader reader(node, place, BudgetKeys, problems);
    proto::Budget budget;
    budget.set_id(reader.name("id"));
    budget.set_organisation(reader.name("organisation"));
    budget.set_tokens(reader.integer("tokens", TokenRange, std::nullopt));
    return budget;
}

bool isValidMethod(std::string_view method)
{
    return method.size() <= MaximumMethodBytes
           && std::all_of(method.begin(), method.end(), [](char character) {
                  return character >= 'A' && character <= 'Z';
              });
}

void readMethod(MapReader &reader, proto::Route &route, ProblemCollector &problems)
{
    const DocumentNode *node = reader.find("method");
    if (node == nullptr) {
        return;
    }
    const Place place = reader.placeOf("method");
    if (node->kind != settings::NodeKind::Scalar || node->value.empty()
        || !isValidMethod(node->value)) {
        problems.add(node->line,
                     place,
                     settings::describeValue(*node),
                     fmt::format("1 to {} capital letters, or no method key to accept any method",
                                 MaximumMethodBytes));
        return;
    }
    route.set_method(node->value);
}

void readPathPrefix(MapReader &reader, proto::Route &route, ProblemCollector &problems)
{
    const DocumentNode *node = reader.require("path_prefix", "a path that starts with '/'");
    if (node == nullptr) {
        return;
    }
    const Place place = reader.placeOf("path_prefix");
    if (node->kind != settings::NodeKind::Scalar || !isValidPathPrefix(node->value)) {
        problems.add(node->line,
                     place,
                     settings::describeValue(*node),
                     "a path that starts with '/', of letters, digits, '-', '_', '.', '~' and '/', "
                     "without '//' and without '.' or '..' as a segment");
        return;
    }
    if (isReservedPath(node->value)) {
        problems.add(node->line,
                     place,
                     settings::describeValue(*node),
                     "a path that the instances don't serve themselves");
        return;
    }
    route.set_path_prefix(node->value);
}

proto::Route readRoute(const DocumentNode &node, const Place &place, ProblemCollector &problems)
{
    MapReader reader(node, place, RouteKeys, problems);
    proto::Route route;
    readMethod(reader, route, problems);
    readPathPrefix(reader, route, problems);
    route.set_repeat(RepeatRules[reader.choice("repeat", RepeatRuleNames, std::nullopt)]);
    return route;
}

void readChatService(MapReader &reader, proto::Service &service, ProblemCollector &problems)
{
    refuseKey(reader, "routes", "no routes for a chat service", problems);
    refuseKey(reader, "price_tokens", "no price for a chat service", problems);
    service.set_max_output_tokens(
        reader.integer("max_output_tokens", OutputTokenRange, DefaultMaxOutputTokens));
}

void readPlainService(MapReader &reader, proto::Service &service, ProblemCollector &problems)
{
    refuseKey(reader, "max_output_tokens", "no max_output_tokens for a plain service", problems);
    service.set_price_tokens(reader.integer("price_tokens", TokenRange, std::nullopt));
    const std::span<const DocumentNode> routes = reader.list("routes");
    const Place place = reader.placeOf("routes");
    if (routes.empty()) {
        problems.add(reader.line(), place, "no routes", "at least one route for a plain service");
    }
    for (size_t index = 0; index < routes.size(); ++index) {
        const Place itemPlace{.parent = &place, .index = index};
        *service.add_routes() = readRoute(routes[index], itemPlace, problems);
    }
}

// Reads the time limits, which both kinds of service have.
void readTimeLimits(MapReader &reader, proto::Service &service, ProblemCollector &problems)
{
    service.set_stall_timeout_ms(
        readUnsigned(reader, "stall_timeout_ms", StallTimeoutRangeMs, DefaultStallTimeoutMs));
    service.set_deadline_ms(
        readUnsigned(reader, "deadline_ms", DeadlineRangeMs, DefaultDeadlineMs));
    service.set_key_retention_s(readUnsigned(
        reader, "key_retention_s", KeyRetentionRangeSeconds, DefaultKeyRetentionSeconds));
    if (service.stall_timeout_ms() > service.deadline_ms()) {
        problems.add(reader.line(),
                     reader.placeOf("stall_timeout_ms"),
                     fmt::format("{}", service.stall_timeout_ms()),
                     fmt::format("at most deadline_ms ({})", service.deadline_ms()));
    }
}

proto::Service readService(const DocumentNode &node, const Place &place, ProblemCollector &problems)
{
    MapReader reader(node, place, ServiceKeys, problems);
    proto::Service service;
    service.set_id(reader.name("id"));
    if (node.kind != settings::NodeKind::Map) {
        return service;
    }
    service.set_kind(ServiceKinds[reader.choice("kind", ServiceKindNames, std::nullopt)]);
    if (service.kind() == proto::CHAT) {
        readChatService(reader, service, problems);
    } else {
        readPlainService(reader, service, problems);
    }
    readTimeLimits(reader, service, problems);
    return service;
}

proto::Model readModel(const DocumentNode &node, const Place &place, ProblemCollector &problems)
{
    MapReader reader(node, place, ModelKeys, problems);
    proto::Model model;
    model.set_id(reader.name("id"));
    model.set_service(reader.name("service"));
    model.set_min_targets(readUnsigned(reader, "min_targets", TargetCountRange, DefaultMinTargets));
    model.set_max_targets(readUnsigned(reader, "max_targets", TargetCountRange, MaximumTargets));
    if (model.min_targets() > model.max_targets()) {
        problems.add(reader.line(),
                     reader.placeOf("min_targets"),
                     fmt::format("{}", model.min_targets()),
                     fmt::format("at most max_targets ({})", model.max_targets()));
    }
    return model;
}

proto::TargetKind
readTargetKind(const DocumentNode &node, const Place &place, ProblemCollector &problems)
{
    MapReader reader(node, place, TargetKindKeys, problems);
    proto::TargetKind kind;
    kind.set_id(reader.name("id"));
    kind.set_service(reader.name("service"));
    kind.set_announce_sha256(reader.digest("announce_sha256"));
    kind.set_checks_fencing(reader.boolean("checks_fencing", false));
    return kind;
}

proto::Policy readPolicy(const DocumentNode &node, const Place &place, ProblemCollector &problems)
{
    MapReader reader(node, place, PolicyKeys, problems);
    proto::Policy policy;
    policy.set_id(PolicyId);
    policy.set_escrow_horizon_ms(
        readUnsigned(reader, "escrow_horizon_ms", EscrowHorizonRangeMs, 0));
    policy.set_exposure_tokens(reader.integer("exposure_tokens", TokenRange, 0));
    policy.set_retry_share_percent(
        readUnsigned(reader, "retry_share_percent", RetryShareRangePercent, 0));
    policy.set_out_of_contact_serve_ms(
        readUnsigned(reader, "out_of_contact_serve_ms", OutOfContactServeRangeMs, 0));
    return policy;
}

// Reads each item of the section's list with the given function.
template <typename Value>
std::vector<Declared<Value>>
readSection(MapReader &top,
            std::string_view key,
            Value (*readDeclaration)(const DocumentNode &, const Place &, ProblemCollector &),
            ProblemCollector &problems)
{
    const std::span<const DocumentNode> items = top.list(key);
    const Place section = top.placeOf(key);
    std::vector<Declared<Value>> declared;
    declared.reserve(items.size());
    for (size_t index = 0; index < items.size(); ++index) {
        const Place place{.parent = &section, .index = index};
        declared.push_back({readDeclaration(items[index], place, problems), &items[index], index});
    }
    return declared;
}

Declarations readDeclarations(const DocumentNode &document, ProblemCollector &problems)
{
    const Place root;
    MapReader top(document, root, TopLevelKeys, problems);
    Declarations declarations;
    declarations.organisations = readSection(top, OrganisationsKey, readOrganisation, problems);
    declarations.callerKeys = readSection(top, CallerKeysKey, readCallerKey, problems);
    declarations.budgets = readSection(top, BudgetsKey, readBudget, problems);
    declarations.services = readSection(top, ServicesKey, readService, problems);
    declarations.models = readSection(top, ModelsKey, readModel, problems);
    declarations.targetKinds = readSection(top, TargetKindsKey, readTargetKind, problems);
    const DocumentNode *policy = top.find(PolicyKey);
    if (policy != nullptr) {
        declarations.policy = readPolicy(*policy, top.placeOf(PolicyKey), problems);
    }
    return declarations;
}

proto::Manifest assembleManifest(Declarations declarations)
{
    proto::Manifest manifest;
    for (auto &declared : declarations.organisations) {
        *manifest.add_entities()->mutable_organisation() = std::move(declared.value);
    }
    for (auto &declared : declarations.callerKeys) {
        *manifest.add_entities()->mutable_caller_key() = std::move(declared.value);
    }
    for (auto &declared : declarations.budgets) {
        *manifest.add_entities()->mutable_budget() = std::move(declared.value);
    }
    for (auto &declared : declarations.services) {
        *manifest.add_entities()->mutable_service() = std::move(declared.value);
    }
    for (auto &declared : declarations.models) {
        *manifest.add_entities()->mutable_model() = std::move(declared.value);
    }
    for (auto &declared : declarations.targetKinds) {
        *manifest.add_entities()->mutable_target_kind() = std::move(declared.value);
    }
    if (declarations.policy) {
        *manifest.add_entities()->mutable_policy() = std::move(*declarations.policy);
    }
    sortEntities(manifest);
    return manifest;
}

} // namespace

std::span<const DeclarationKeys> declarationKeys()
{
    return Sections;
}

std::span<const std::string_view> routeKeys()
{
    return RouteKeys;
}

CheckedManifest checkManifest(std::string_view text, std::string_view fileName)
{
    ProblemCollector problems(core::ErrorCode::InvalidManifest, fileName);
    CheckedManifest checked;
    const std::optional<DocumentNode> document
        = settings::readDocument(text, MaximumManifestBytes, problems);
    if (document) {
        Declarations declarations = readDeclarations(*document, problems);
        checkReferences(declarations, problems);
        checked.manifest = assembleManifest(std::move(declarations));
    }
    checked.problems = problems.take();
    return checked;
}

absl::StatusOr<proto::Manifest> parseManifest(std::string_view text, std::string_view fileName)
{
    CheckedManifest checked = checkManifest(text, fileName);
    if (!checked.problems.empty()) {
        return settings::statusOf(checked.problems);
    }
    return std::move(checked.manifest);
}

} // namespace samphirebridge::manifest
