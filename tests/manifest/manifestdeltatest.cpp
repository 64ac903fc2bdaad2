#include "samphirebridge/manifest/manifestdelta.h"

#include "samphirebridge/core/errors.h"
#include "tests/manifest/samples.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace samphirebridge::manifest;

TEST_CASE("the delta between two manifests turns one into the other, and equal manifests give an "
          "empty one")
{
    std::mt19937 generator(7);
    for (int round = 0; round < 300; ++round) {
        const proto::Manifest from = samples::randomManifest(generator, 5);
        const proto::Manifest to = samples::randomManifest(generator, 6);
        const proto::ManifestDelta delta = diffManifests(from, to);
        proto::Manifest applied = from;
        REQUIRE(applyDelta(applied, delta).ok());
        REQUIRE(applied.SerializeAsString() == to.SerializeAsString());
        const proto::ManifestDelta none = diffManifests(applied, to);
        REQUIRE(none.upserts_size() + none.removals_size() == 0);
        const bool differs = from.entities_size() != to.entities_size()
                             || from.entities().Get(0).SerializeAsString()
                                    != to.entities().Get(0).SerializeAsString();
        REQUIRE((!differs || delta.upserts_size() + delta.removals_size() > 0));
    }
}

TEST_CASE("changing one budget gives a delta of one upsert")
{
    const proto::Manifest from = samples::exampleManifest(5);
    proto::Manifest to = from;
    to.set_version(0);
    for (proto::Entity &entity : *to.mutable_entities()) {
        if (entity.has_budget() && entity.budget().id() == "prestamar-trial") {
            entity.mutable_budget()->set_tokens(60'000);
        }
    }
    const proto::ManifestDelta delta = diffManifests(from, to);
    CHECK(delta.from_version() == 5);
    CHECK(delta.to_version() == 6);
    REQUIRE(delta.upserts_size() == 1);
    CHECK(delta.removals_size() == 0);
    CHECK(nameOf(delta.upserts(0)) == EntityName{proto::BUDGET, "prestamar-trial"});
}

TEST_CASE("a delta is refused unless it starts at the manifest's version and leads to a higher one")
{
    proto::Manifest manifest = samples::exampleManifest(5);
    const std::string before = manifest.SerializeAsString();
    proto::ManifestDelta delta;
    const auto refused = [&](uint64_t from, uint64_t to) {
        delta.set_from_version(from);
        delta.set_to_version(to);
        const absl::Status status = applyDelta(manifest, delta);
        return core::errorCodeOf(status) == core::ErrorCode::VersionConflict
               && manifest.SerializeAsString() == before;
    };
    CHECK(refused(4, 6));
    CHECK(refused(6, 7));
    CHECK(refused(5, 5));
    CHECK(refused(5, 4));
    CHECK(refused(0, 4));
}

TEST_CASE("a checkpoint replaces every entity")
{
    proto::Manifest manifest = samples::exampleManifest(5);
    const proto::ManifestDelta checkpoint
        = diffManifests(proto::Manifest(), samples::exampleManifest(9));
    proto::Manifest empty;
    REQUIRE(applyDelta(empty, checkpoint).ok());
    CHECK(empty.SerializeAsString() == samples::exampleManifest(9).SerializeAsString());
    proto::ManifestDelta none;
    none.set_to_version(6);
    REQUIRE(applyDelta(manifest, none).ok());
    CHECK(manifest.entities().empty());
    CHECK(manifest.version() == 6);
}

TEST_CASE("an upsert without a value is refused and changes nothing")
{
    proto::Manifest manifest = samples::exampleManifest(5);
    proto::ManifestDelta delta;
    delta.set_from_version(5);
    delta.set_to_version(6);
    delta.add_upserts();
    CHECK(core::errorCodeOf(applyDelta(manifest, delta)) == core::ErrorCode::InvalidManifest);
    CHECK(manifest.version() == 5);
}
