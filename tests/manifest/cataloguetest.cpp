#include "samphirebridge/manifest/catalogue.h"

#include "samphirebridge/core/digest.h"
#include "samphirebridge/core/errors.h"
#include "samphirebridge/manifest/manifestdelta.h"
#include "tests/manifest/samples.h"

#include <catch2/catch.hpp>

using namespace samphirebridge;
using namespace samphirebridge::manifest;

namespace
{

// Returns the matching route as "METHOD prefix", or "none".
std::string routeOf(const Catalogue &catalogue, std::string_view method, std::string_view path)
{
    const std::optional<RouteMatch> match = catalogue.matchRoute(method, path);
    return match ? match->route->method() + " " + match->route->path_prefix() : "none";
}

void addRoute(proto::Service &service, std::string_view method, std::string_view prefix)
{
    proto::Route &route = *service.add_routes();
    route.set_method(std::string(method));
    route.set_path_prefix(std::string(prefix));
}

} // namespace

TEST_CASE("caller keys and target kinds are found by digest, with what they refer to")
{
    const Catalogue catalogue(samples::exampleManifest(3));
    CHECK(catalogue.version() == 3);
    const proto::CallerKey *key = catalogue.callerKeyByDigest(core::sha256Of("demo-key-a"));
    REQUIRE(key != nullptr);
    CHECK(key == catalogue.callerKey("cuotabierta-web"));
    CHECK(catalogue.budget(key->budget())->tokens() == 1'000'000);
    const proto::Organisation &organisation = *catalogue.organisation(key->organisation());
    CHECK(Catalogue::mayCallService(organisation, "payments"));
    CHECK_FALSE(Catalogue::mayCallService(*catalogue.organisation("prestamar"), "payments"));
    CHECK(Catalogue::mayUseModel(organisation, "letters"));
    CHECK_FALSE(Catalogue::mayUseModel(*catalogue.organisation("prestamar"), "numbers"));
    CHECK(catalogue.callerKeyByDigest(core::sha256Of("demo-key-c")) == nullptr);
    CHECK(catalogue.targetKindByDigest(core::sha256Of("demo-engine"))->id() == "engine");
    CHECK(catalogue.model("letters")->service() == "chat");
}

TEST_CASE("the longest prefix of whole segments wins, then the route that names the method")
{
    proto::Manifest manifest;
    proto::Service &service = *manifest.add_entities()->mutable_service();
    service.set_id("plain");
    addRoute(service, "", "/");
    addRoute(service, "POST", "/v1/payments");
    addRoute(service, "", "/v1/payments");
    addRoute(service, "GET", "/v1/payments/");
    const Catalogue catalogue(manifest);
    CHECK(routeOf(catalogue, "POST", "/v1/payments") == "POST /v1/payments");
    CHECK(routeOf(catalogue, "POST", "/v1/payments/7") == "POST /v1/payments");
    CHECK(routeOf(catalogue, "PUT", "/v1/payments") == " /v1/payments");
    CHECK(routeOf(catalogue, "GET", "/v1/payments/7") == "GET /v1/payments/");
    CHECK(routeOf(catalogue, "GET", "/v1/payments") == " /v1/payments");
    CHECK(routeOf(catalogue, "POST", "/v1/paymentsx") == " /");
    CHECK(routeOf(catalogue, "GET", "") == "none");
    for (const std::string path : {"/v1/payments/../x", "/v1//payments", "/v1/./x", "/..", "*"}) {
        CHECK(routeOf(catalogue, "GET", path) == "none");
    }
}

TEST_CASE(
    "a catalogue updated by a delta equals one built anew, and its predecessor doesn't change")
{
    std::mt19937 generator(11);
    proto::Manifest current = samples::randomManifest(generator, 1);
    auto catalogue = std::make_shared<const Catalogue>(current);
    for (uint64_t version = 2; version < 200; ++version) {
        const proto::Manifest next = samples::randomManifest(generator, version);
        const auto updated = catalogue->updated(diffManifests(current, next));
        REQUIRE(updated.ok());
        REQUIRE((*updated)->manifest().SerializeAsString() == next.SerializeAsString());
        REQUIRE(catalogue->manifest().SerializeAsString() == current.SerializeAsString());
        for (const proto::CallerKey *key : (*updated)->callerKeys()) {
            REQUIRE((*updated)->callerKeyByDigest(key->sha256()) == key);
        }
        for (const proto::CallerKey *key : catalogue->callerKeys()) {
            const proto::CallerKey *keyOfDigest = (*updated)->callerKeyByDigest(key->sha256());
            REQUIRE((keyOfDigest == nullptr || keyOfDigest->sha256() == key->sha256()));
            const proto::CallerKey *keyOfId = (*updated)->callerKey(key->id());
            REQUIRE((keyOfDigest != nullptr)
                    == (keyOfId != nullptr && keyOfId->sha256() == key->sha256()));
        }
        current = next;
        catalogue = *updated;
    }
}

TEST_CASE("two caller keys may exchange their digests in one delta")
{
    proto::Manifest from = samples::exampleManifest(1);
    proto::Manifest to = from;
    to.set_version(2);
    std::vector<proto::CallerKey *> keys;
    for (proto::Entity &entity : *to.mutable_entities()) {
        if (entity.has_caller_key()) {
            keys.push_back(entity.mutable_caller_key());
        }
    }
    REQUIRE(keys.size() == 2);
    keys[0]->mutable_sha256()->swap(*keys[1]->mutable_sha256());
    const auto updated = Catalogue(from).updated(diffManifests(from, to));
    REQUIRE(updated.ok());
    CHECK((*updated)->callerKeyByDigest(core::sha256Of("demo-key-a"))->id() == "prestamar-app");
    CHECK((*updated)->callerKeyByDigest(core::sha256Of("demo-key-b"))->id() == "cuotabierta-web");
}

TEST_CASE("a catalogue refuses a delta that starts at another version")
{
    const Catalogue catalogue(samples::exampleManifest(5));
    proto::ManifestDelta delta;
    delta.set_from_version(4);
    delta.set_to_version(6);
    CHECK(core::errorCodeOf(catalogue.updated(delta).status()) == core::ErrorCode::VersionConflict);
}

TEST_CASE("zeros of the policy are replaced by the documented defaults")
{
    const Catalogue catalogue;
    const EffectivePolicy &policy = catalogue.policy();
    CHECK(policy.escrowHorizon == std::chrono::seconds(30));
    CHECK(policy.exposure.count == 65'536);
    CHECK(policy.retrySharePercent == 10);
    CHECK(policy.outOfContactServe == core::Duration::zero());
    CHECK(Catalogue(samples::exampleManifest(1)).policy().exposure.count == 4096);
}
