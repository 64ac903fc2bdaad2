#include "tests/manifest/samples.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/manifest/manifestdelta.h"
#include "samphirebridge/manifest/manifestfile.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>

using namespace samphirebridge;

namespace samples
{

namespace
{

bool randomBool(std::mt19937 &generator)
{
    return generator() % 2 == 0;
}

// Returns one of a few names, most of which YAML would misread without quotes.
std::string randomName(std::mt19937 &generator)
{
    static const std::string names[]
        = {"Nu\xC3\xB1oa", "a \"b\" \\ c", "~", "null", "- x: # [{", " "};
    return names[generator() % std::size(names)];
}

// Adds an organisation with one budget and one caller key.
void addOrganisation(proto::Manifest &manifest, const std::string &id, std::mt19937 &generator)
{
    proto::Organisation &organisation = *manifest.add_entities()->mutable_organisation();
    organisation.set_id(id);
    organisation.set_name(randomName(generator));
    organisation.set_weight(1 + generator() % 3);
    organisation.add_services("chat");
    proto::Budget &budget = *manifest.add_entities()->mutable_budget();
    budget.set_id(id + "/budget");
    budget.set_organisation(id);
    budget.set_tokens(static_cast<int64_t>(generator() % 4));
    proto::CallerKey &key = *manifest.add_entities()->mutable_caller_key();
    key.set_id(id + "/key");
    key.set_organisation(id);
    key.set_budget(budget.id());
    key.set_sha256(core::sha256Of(id + std::to_string(generator() % 3)));
}

} // namespace

std::string exampleText()
{
    std::ifstream stream(std::string(SAMPHIREBRIDGE_ROOT) + "/examples/minimal/manifest.yaml");
    REQUIRE(stream);
    return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

proto::Manifest exampleManifest(uint64_t version)
{
    absl::StatusOr<proto::Manifest> parsed
        = manifest::parseManifest(exampleText(), "examples/minimal/manifest.yaml");
    INFO(core::messageOf(parsed.status()));
    REQUIRE(parsed.ok());
    parsed->set_version(version);
    return *std::move(parsed);
}

proto::Manifest randomManifest(std::mt19937 &generator, uint64_t version)
{
    proto::Manifest manifest;
    manifest.set_version(version);
    proto::Service &chat = *manifest.add_entities()->mutable_service();
    chat.set_id("chat");
    chat.set_kind(proto::CHAT);
    chat.set_max_output_tokens(static_cast<int64_t>(1 + generator() % 3));
    chat.set_stall_timeout_ms(100);
    chat.set_deadline_ms(1000);
    chat.set_key_retention_s(1);
    for (const std::string id : {"null", "-", "1.5", "true", "o/a", "z"}) {
        if (randomBool(generator)) {
            addOrganisation(manifest, id, generator);
        }
    }
    if (randomBool(generator)) {
        proto::Policy &policy = *manifest.add_entities()->mutable_policy();
        policy.set_id("policy");
        policy.set_exposure_tokens(static_cast<int64_t>(generator() % 3));
    }
    manifest::sortEntities(manifest);
    return manifest;
}

} // namespace samples
