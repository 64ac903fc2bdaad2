#include "samphirebridge/manifest/declarations.h"
#include "samphirebridge/manifest/manifestdelta.h"
#include "samphirebridge/manifest/manifestfile.h"

#include "samphirebridge/core/digest.h"

#include <fmt/format.h>

#include <iterator>

namespace samphirebridge::manifest
{

namespace
{

using Names = google::protobuf::RepeatedPtrField<std::string>;

// Always in quotes, so that no id is read as null, a number or the start of a list.
std::string quote(std::string_view text)
{
    std::string quoted = "\"";
    for (const char character : text) {
        if (character == '"' || character == '\\') {
            quoted += '\\';
        }
        quoted += character;
    }
    return quoted + '"';
}

// Writes the items of one section, its heading before the first.
class Renderer
{
public:
    void open(std::string_view section)
    {
        if (this->section != section) {
            this->section = section;
            this->put("{}:\n", section);
        }
    }

    // Writes the first key of a list's item.
    void id(std::string_view id)
    {
        this->put("  - id: {}\n", quote(id));
    }

    void text(std::string_view key, std::string_view value)
    {
        this->put("    {}: {}\n", key, quote(value));
    }

    void word(std::string_view key, std::string_view value)
    {
        this->put("    {}: {}\n", key, value);
    }

    void number(std::string_view key, int64_t value)
    {
        this->put("    {}: {}\n", key, value);
    }

    void digest(std::string_view key, std::string_view bytes)
    {
        this->text(key, core::toHex(bytes));
    }

    // Writes one name a line: the parser holds a list in brackets back until its end.
    void names(std::string_view key, const Names &names)
    {
        if (names.empty()) {
            return;
        }
        this->put("    {}:\n", key);
        for (const std::string &name : names) {
            this->put("      - {}\n", quote(name));
        }
    }

    void route(const proto::Route &route);

    template <typename... Arguments>
    void put(fmt::format_string<Arguments...> format, Arguments &&...arguments)
    {
        fmt::format_to(
            std::back_inserter(this->output), format, std::forward<Arguments>(arguments)...);
    }

    std::string take()
    {
        return std::move(this->output);
    }

private:
    std::string_view section;
    std::string output;
};

std::string_view repeatName(proto::RepeatRule rule)
{
    switch (rule) {
    case proto::REPEATABLE:
        return "repeatable";
    case proto::TARGET_DEDUPLICATES:
        return "target_deduplicates";
    default:
        return "never";
    }
}

void Renderer::route(const proto::Route &route)
{
    this->put("      - path_prefix: {}\n", quote(route.path_prefix()));
    if (!route.method().empty()) {
        this->put("        method: {}\n", route.method());
    }
    this->put("        repeat: {}\n", repeatName(route.repeat()));
}

void render(Renderer &renderer, const proto::Organisation &organisation)
{
    renderer.open(OrganisationsKey);
    renderer.id(organisation.id());
    renderer.text("name", organisation.name());
    renderer.number("weight", organisation.weight());
    renderer.names("services", organisation.services());
    renderer.names("models", organisation.models());
}

void render(Renderer &renderer, const proto::CallerKey &key)
{
    renderer.open(CallerKeysKey);
    renderer.id(key.id());
    renderer.text("organisation", key.organisation());
    renderer.text("budget", key.budget());
    renderer.digest("sha256", key.sha256());
}

void render(Renderer &renderer, const proto::Budget &budget)
{
    renderer.open(BudgetsKey);
    renderer.id(budget.id());
    renderer.text("organisation", budget.organisation());
    renderer.number("tokens", budget.tokens());
}

void render(Renderer &renderer, const proto::Service &service)
{
    renderer.open(ServicesKey);
    renderer.id(service.id());
    if (service.kind() == proto::CHAT) {
        renderer.word("kind", "chat");
        renderer.number("max_output_tokens", service.max_output_tokens());
    } else {
        renderer.word("kind", "plain");
        renderer.number("price_tokens", service.price_tokens());
        renderer.put("    routes:\n");
        for (const proto::Route &route : service.routes()) {
            renderer.route(route);
        }
    }
    renderer.number("stall_timeout_ms", service.stall_timeout_ms());
    renderer.number("deadline_ms", service.deadline_ms());
    renderer.number("key_retention_s", service.key_retention_s());
}

void render(Renderer &renderer, const proto::Model &model)
{
    renderer.open(ModelsKey);
    renderer.id(model.id());
    renderer.text("service", model.service());
    renderer.number("min_targets", model.min_targets());
    renderer.number("max_targets", model.max_targets());
}

void render(Renderer &renderer, const proto::TargetKind &kind)
{
    renderer.open(TargetKindsKey);
    renderer.id(kind.id());
    renderer.text("service", kind.service());
    renderer.digest("announce_sha256", kind.announce_sha256());
    renderer.word("checks_fencing", kind.checks_fencing() ? "true" : "false");
}

void render(Renderer &renderer, const proto::Policy &policy)
{
    renderer.open(PolicyKey);
    renderer.put("  escrow_horizon_ms: {}\n", policy.escrow_horizon_ms());
    renderer.put("  exposure_tokens: {}\n", policy.exposure_tokens());
    renderer.put("  retry_share_percent: {}\n", policy.retry_share_percent());
    renderer.put("  out_of_contact_serve_ms: {}\n", policy.out_of_contact_serve_ms());
}

void renderEntity(Renderer &renderer, const proto::Entity &entity)
{
    switch (entity.value_case()) {
    case proto::Entity::kOrganisation:
        return render(renderer, entity.organisation());
    case proto::Entity::kCallerKey:
        return render(renderer, entity.caller_key());
    case proto::Entity::kBudget:
        return render(renderer, entity.budget());
    case proto::Entity::kService:
        return render(renderer, entity.service());
    case proto::Entity::kModel:
        return render(renderer, entity.model());
    case proto::Entity::kTargetKind:
        return render(renderer, entity.target_kind());
    case proto::Entity::kPolicy:
        return render(renderer, entity.policy());
    case proto::Entity::VALUE_NOT_SET:
        return;
    }
}

} // namespace

std::string renderManifest(const proto::Manifest &manifest)
{
    if (manifest.entities().empty()) {
        return "{}\n";
    }
    proto::Manifest ordered = manifest;
    sortEntities(ordered);
    Renderer renderer;
    for (const proto::Entity &entity : ordered.entities()) {
        renderEntity(renderer, entity);
    }
    return renderer.take();
}

} // namespace samphirebridge::manifest
