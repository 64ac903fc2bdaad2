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

// Returns the text as a double-quoted YAML scalar. All names are quoted, so that none is read as
// null, a number or the start of a list.
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

// Writes the sections of a manifest, one declaration after the other.
class Renderer
{
public:
    // Writes the section's heading, unless the section is open already.
    void openSection(std::string_view section)
    {
        if (this->section != section) {
            this->section = section;
            this->write("{}:\n", section);
        }
    }

    // Starts a list item; id is its first key.
    void beginItem(std::string_view id)
    {
        this->write("  - id: {}\n", quote(id));
    }

    void writeQuoted(std::string_view key, std::string_view value)
    {
        this->write("    {}: {}\n", key, quote(value));
    }

    // Writes a value without quotes.
    void writePlain(std::string_view key, std::string_view value)
    {
        this->write("    {}: {}\n", key, value);
    }

    void writeNumber(std::string_view key, int64_t value)
    {
        this->write("    {}: {}\n", key, value);
    }

    // Writes the bytes as hexadecimal digits.
    void writeDigest(std::string_view key, std::string_view bytes)
    {
        this->writeQuoted(key, core::toHex(bytes));
    }

    // Writes the names as a list of one a line; nothing for no names. A list in brackets could
    // exceed settings::MaximumLookahead, as the parser reads it to its end before it reports an
    // item.
    void writeNames(std::string_view key, const Names &names)
    {
        if (names.empty()) {
            return;
        }
        this->write("    {}:\n", key);
        for (const std::string &name : names) {
            this->write("      - {}\n", quote(name));
        }
    }

    // Writes one item of a service's list of routes.
    void writeRoute(const proto::Route &route);

    template <typename... Arguments>
    void write(fmt::format_string<Arguments...> format, Arguments &&...arguments)
    {
        fmt::format_to(
            std::back_inserter(this->output), format, std::forward<Arguments>(arguments)...);
    }

    // Returns the text. The renderer must not be used any more.
    std::string take()
    {
        return std::move(this->output);
    }

private:
    std::string_view section;
    std::string output;
};

// Returns the rule's name in the manifest text.
std::string_view repeatRuleName(proto::RepeatRule rule)
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

void Renderer::writeRoute(const proto::Route &route)
{
    this->write("      - path_prefix: {}\n", quote(route.path_prefix()));
    if (!route.method().empty()) {
        this->write("        method: {}\n", route.method());
    }
    this->write("        repeat: {}\n", repeatRuleName(route.repeat()));
}

void render(Renderer &renderer, const proto::Organisation &organisation)
{
    renderer.openSection(OrganisationsKey);
    renderer.beginItem(organisation.id());
    renderer.writeQuoted("name", organisation.name());
    renderer.writeNumber("weight", organisation.weight());
    renderer.writeNames("services", organisation.services());
    renderer.writeNames("models", organisation.models());
}

void render(Renderer &renderer, const proto::CallerKey &key)
{
    renderer.openSection(CallerKeysKey);
    renderer.beginItem(key.id());
    renderer.writeQuoted("organisation", key.organisation());
    renderer.writeQuoted("budget", key.budget());
    renderer.writeDigest("sha256", key.sha256());
}

void render(Renderer &renderer, const proto::Budget &budget)
{
    renderer.openSection(BudgetsKey);
    renderer.beginItem(budget.id());
    renderer.writeQuoted("organisation", budget.organisation());
    renderer.writeNumber("tokens", budget.tokens());
}

void render(Renderer &renderer, const proto::Service &service)
{
    renderer.openSection(ServicesKey);
    renderer.beginItem(service.id());
    if (service.kind() == proto::CHAT) {
        renderer.writePlain("kind", "chat");
        renderer.writeNumber("max_output_tokens", service.max_output_tokens());
    } else {
        renderer.writePlain("kind", "plain");
        renderer.writeNumber("price_tokens", service.price_tokens());
        renderer.write("    routes:\n");
        for (const proto::Route &route : service.routes()) {
            renderer.writeRoute(route);
        }
    }
    renderer.writeNumber("stall_timeout_ms", service.stall_timeout_ms());
    renderer.writeNumber("deadline_ms", service.deadline_ms());
    renderer.writeNumber("key_retention_s", service.key_retention_s());
}

void render(Renderer &renderer, const proto::Model &model)
{
    renderer.openSection(ModelsKey);
    renderer.beginItem(model.id());
    renderer.writeQuoted("service", model.service());
    renderer.writeNumber("min_targets", model.min_targets());
    renderer.writeNumber("max_targets", model.max_targets());
}

void render(Renderer &renderer, const proto::TargetKind &kind)
{
    renderer.openSection(TargetKindsKey);
    renderer.beginItem(kind.id());
    renderer.writeQuoted("service", kind.service());
    renderer.writeDigest("announce_sha256", kind.announce_sha256());
    renderer.writePlain("checks_fencing", kind.checks_fencing() ? "true" : "false");
}

void render(Renderer &renderer, const proto::Policy &policy)
{
    renderer.openSection(PolicyKey);
    renderer.write("  escrow_horizon_ms: {}\n", policy.escrow_horizon_ms());
    renderer.write("  exposure_tokens: {}\n", policy.exposure_tokens());
    renderer.write("  retry_share_percent: {}\n", policy.retry_share_percent());
    renderer.write("  out_of_contact_serve_ms: {}\n", policy.out_of_contact_serve_ms());
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
